//! Request and response bodies that are empty or buffered, and how bodies are read.

use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators};
use hyper::body;

/// The body type of responses and of outgoing requests.
pub type HttpBody = combinators::BoxBody<Bytes, std::io::Error>;

/// Returns an empty body.
pub fn empty() -> HttpBody {
    Empty::new().map_err(unreachable_error).boxed()
}

/// Returns a body with the content `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(unreachable_error).boxed()
}

/// Reads a complete body of at most `max_bytes` within `timeout`.
///
/// # Errors
///
/// Returns `InvalidData` if the body exceeds `max_bytes`, `TimedOut` if it is not complete in time, or the
/// error of the connection.
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
            "the body was not complete in time",
        )),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            "the body exceeds the size limit",
        )),
        Ok(Err(err)) => Err(std::io::Error::other(err)),
    }
}

/// Reads a complete body of at most `max_bytes`; fails if no data arrives for `idle_timeout`.
///
/// There is no limit on the total time, because a large body takes long over a slow link, and retrying the
/// request would only add the traffic of another copy to that link.
///
/// # Errors
///
/// Returns the same errors as [`read_limited`].
pub async fn read_with_idle_timeout<B>(
    mut body: B,
    max_bytes: usize,
    idle_timeout: time::Duration,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut bytes = bytes::BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Err(_) => {
                return Err(std::io::Error::new(
                    std::io::ErrorKind::TimedOut,
                    "no data of the body arrived within the idle timeout",
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
                "the body exceeds the size limit",
            ));
        }
        bytes.extend_from_slice(&data);
    }
}

fn unreachable_error(it: convert::Infallible) -> std::io::Error {
    match it {}
}
