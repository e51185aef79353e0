//! Bodies of requests and answers: empty, whole, or sent piece by piece.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators};
use hyper::body::{self, Frame};
use tokio::sync::mpsc;

/// The body of every answer and outgoing request.
pub type HttpBody = combinators::BoxBody<Bytes, std::io::Error>;

/// The sending half of a streamed body; a failed send means that the reader went away.
///
/// Dropping it ends the body as a whole one. Sending an `Err` cuts the connection instead, so that the reader can
/// tell an aborted body from a whole one.
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>;

/// Returns a body without bytes.
pub fn empty() -> HttpBody {
    Empty::new().map_err(never).boxed()
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Returns a body that is fed through a channel of `depth` pieces; each piece is flushed at once.
pub fn stream(depth: usize) -> (BodySender, HttpBody) {
    let (sender, mut receiver) = mpsc::channel(depth);
    let pieces = futures::stream::poll_fn(move |cx| receiver.poll_recv(cx));
    (sender, BodyExt::boxed(StreamBody::new(pieces)))
}

/// Reads a whole body of at most `max_bytes`, giving up when it has not ended after `timeout`.
///
/// # Errors
///
/// `InvalidData` when the body is larger, `TimedOut` when it is slower, otherwise what the connection reported.
pub async fn read_limited<B>(
    body: B,
    max_bytes: usize,
    timeout: time::Duration,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = http_body_util::Limited::new(body, max_bytes);
    match tokio::time::timeout(timeout, limited.collect()).await {
        Err(_) => Err(std::io::Error::new(
            std::io::ErrorKind::TimedOut,
            "the body did not end in time",
        )),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            "the body is larger than the limit",
        )),
        Ok(Err(err)) => Err(std::io::Error::other(err)),
    }
}

/// Reads a whole body of at most `max_bytes`, giving up when nothing of it arrives for `silence`.
///
/// A large body over a slow link takes its time; giving it up and asking again would only fill the link with more copies.
///
/// # Errors
///
/// As [`read_limited`].
pub async fn read_with_idle_timeout<B>(
    mut body: B,
    max_bytes: usize,
    silence: time::Duration,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut bytes = bytes::BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(silence, body.frame()).await {
            Err(_) => {
                return Err(std::io::Error::new(
                    std::io::ErrorKind::TimedOut,
                    "the body stopped",
                ));
            }
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(frame)) => frame.map_err(std::io::Error::other)?,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                "the body is larger than the limit",
            ));
        }
        bytes.extend_from_slice(&data);
    }
}

fn never(it: convert::Infallible) -> std::io::Error {
    match it {}
}
