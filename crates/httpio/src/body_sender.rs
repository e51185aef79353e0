//! The sending half of a streamed body.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::body::HttpBody;

/// The sending half of a streamed body.
///
/// The body is complete only after [`BodySender::finish`]. Dropping the sender aborts the body, so that a response whose
/// task fails or returns early never looks complete: its connection ends without the last chunk.
#[derive(Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Bytes>,
    is_finished: Arc<AtomicBool>,
}

/// The peer has closed the connection on which a body was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerDisconnected;

impl fmt::Display for PeerDisconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer has closed the connection")
    }
}

impl std::error::Error for PeerDisconnected {}

impl BodySender {
    /// Sends a part of the body, which is flushed immediately. Waits while the peer is slow.
    ///
    /// # Errors
    ///
    /// [`PeerDisconnected`] if the peer has closed the connection.
    pub async fn send(&self, bytes: Bytes) -> Result<(), PeerDisconnected> {
        self.sender.send(bytes).await.map_err(|_| PeerDisconnected)
    }

    /// Waits until the peer closes the connection.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Completes the body.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }
}

/// Returns a streamed body and its sender; the channel between them holds up to `capacity` parts.
pub fn stream(capacity: usize) -> (BodySender, HttpBody) {
    let (sender, mut receiver) = mpsc::channel(capacity);
    let is_finished = Arc::new(AtomicBool::new(false));
    let body_sender = BodySender {
        sender,
        is_finished: is_finished.clone(),
    };
    let frames = futures::stream::poll_fn(move |cx| {
        receiver.poll_recv(cx).map(|it| match it {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if is_finished.load(Ordering::Acquire) => None,
            None => Some(Err(std::io::Error::other("the body was aborted"))),
        })
    });
    (body_sender, BodyExt::boxed(StreamBody::new(frames)))
}
