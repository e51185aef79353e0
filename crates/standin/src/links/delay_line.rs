//! A channel that delivers bytes with a delay.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// The sending end of a line. Dropping it closes the line once the bytes in flight are delivered.
#[derive(Debug)]
pub(crate) struct DelayLine {
    sender: mpsc::Sender<(Instant, Bytes)>,
}

/// The receiving end of a line.
#[derive(Debug)]
pub(crate) struct DelayLineReceiver {
    receiver: mpsc::Receiver<(Instant, Bytes)>,
}

/// Maximum number of segments in flight.
const MAX_SEGMENTS_IN_FLIGHT: usize = 64;

impl DelayLine {
    /// Creates a line and returns both ends.
    pub(crate) fn new() -> (Self, DelayLineReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_SEGMENTS_IN_FLIGHT);
        (Self { sender }, DelayLineReceiver { receiver })
    }

    /// Sends `segment`, which is delivered after `delay`. Fails if the receiving end was dropped.
    pub(crate) async fn send(&self, segment: Bytes, delay: Duration) -> io::Result<()> {
        self.sender
            .send((Instant::now() + delay, segment))
            .await
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

impl DelayLineReceiver {
    /// Writes delivered segments to `writer`, and shuts it down when the line is closed.
    pub(crate) async fn deliver<W: AsyncWrite + Unpin>(mut self, mut writer: W) -> io::Result<()> {
        while let Some((at, segment)) = self.receiver.recv().await {
            if at > Instant::now() {
                tokio::time::sleep_until(at.into()).await;
            }
            writer.write_all(&segment).await?;
        }
        writer.shutdown().await
    }
}
