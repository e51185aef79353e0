//! Request and response bodies that are empty or buffered, and how bodies are read.

use std::pin::pin;
use std::{convert, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, combinators};
use hyper::body;

use crate::buffer_budget::{BufferBudget, BufferShare};
use crate::client_account::ClientHandle;

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
    within_timeout(timeout, read_frames(pin!(body), max_bytes, None, None)).await
}

/// Reads a complete body as [`read_limited`] does, in memory that it shares with other bodies.
///
/// # Errors
///
/// Returns the errors of [`read_limited`], but `QuotaExceeded` for a body that had to wait because others left too little of
/// `budget`: it may have failed because nobody read it. A body that exceeds the budget fails in the same way if nothing of it
/// arrives for half a second, since others wait for it.
pub async fn read_within_budget<B>(
    body: B,
    max_bytes: usize,
    timeout: time::Duration,
    budget: &BufferBudget,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    read_within_share(body, max_bytes, timeout, &mut budget.empty_share()).await
}

async fn read_within_share<B>(
    body: B,
    max_bytes: usize,
    timeout: time::Duration,
    share: &mut BufferShare,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let body = pin!(body);
    let read = read_frames(body, max_bytes, None, Some(share));
    let bytes = within_timeout(timeout, read).await;
    bytes.map_err(|err| {
        if share.has_waited() {
            std::io::Error::new(std::io::ErrorKind::QuotaExceeded, err)
        } else {
            err
        }
    })
}

/// Reads a complete body as [`read_within_budget`] does, for the response to `client`. The memory is held until the bytes have been
/// written to the connection of the client, which may read them slowly.
///
/// # Errors
///
/// Returns the errors of [`read_within_budget`].
pub async fn read_for_client<B>(
    body: B,
    max_bytes: usize,
    timeout: time::Duration,
    budget: &BufferBudget,
    client: ClientHandle,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut share = budget.empty_share().for_client(Some(client));
    let bytes = read_within_share(body, max_bytes, timeout, &mut share).await?;
    Ok(if share.is_empty() {
        bytes
    } else {
        Bytes::from_owner(SharedBytes {
            bytes,
            _share: share,
        })
    })
}

/// Bytes and the share of a budget that they take up.
struct SharedBytes {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a complete body as [`read_limited`] does, in memory of `share`, which the caller keeps for as long as it keeps the body.
///
/// # Errors
///
/// Returns the errors of [`read_limited`], and `QuotaExceeded` if other bodies leave too little memory. A body whose length is
/// known fails before any of it has been read.
pub async fn read_into_share<B>(
    body: B,
    max_bytes: usize,
    timeout: time::Duration,
    share: &mut BufferShare,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let length = body.size_hint().exact();
    let length = length.and_then(|it| usize::try_from(it).ok());
    let read = async {
        if let Some(length) = length.filter(|it| *it <= max_bytes)
            && !share.extend_to(length).await
        {
            return Err(out_of_budget());
        }
        read_frames(pin!(body), max_bytes, None, Some(share)).await
    };
    within_timeout(timeout, read).await
}

/// Reads a complete body of at most `max_bytes`; fails if it neither ends nor makes progress for `idle_timeout`.
///
/// A server that sends a byte now and then makes no progress. There is no limit on the total time, because a large body
/// takes long over a slow link, and retrying the request would only add the traffic of another copy to that link.
///
/// # Errors
///
/// Returns the same errors as [`read_limited`].
pub async fn read_with_idle_timeout<B>(
    body: B,
    max_bytes: usize,
    idle_timeout: time::Duration,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    read_frames(body, max_bytes, Some(idle_timeout), None).await
}

/// Copies the frames of a body to one buffer. A small frame may keep the much larger buffer of its connection alive, so
/// frames must not be collected.
async fn read_frames<B>(
    mut body: B,
    max_bytes: usize,
    idle_timeout: Option<time::Duration>,
    mut share: Option<&mut BufferShare>,
) -> std::io::Result<Bytes>
where
    B: body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut bytes = Vec::new();
    let mut window = idle_timeout.map(|it| (tokio::time::Instant::now() + it, 0));
    loop {
        let excess_end = share
            .as_ref()
            .filter(|it| it.holds_excess())
            .map(|_| tokio::time::Instant::now() + EXCESS_IDLE_TIMEOUT);
        let frame = match excess_end.or(window.map(|it| it.0)) {
            Some(end) => tokio::time::timeout_at(end, body.frame())
                .await
                .map_err(|_| {
                    std::io::Error::new(
                        std::io::ErrorKind::TimedOut,
                        "the body made no progress within the idle timeout",
                    )
                })?,
            None => body.frame().await,
        };
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        let Ok(data) = frame.map_err(std::io::Error::other)?.into_data() else {
            continue;
        };
        if let (Some((end, received)), Some(timeout)) = (&mut window, idle_timeout) {
            *received += data.len();
            if *received >= MIN_WINDOW_BYTES {
                (*end, *received) = (tokio::time::Instant::now() + timeout, 0);
            }
        }
        let len = bytes.len() + data.len();
        if len > max_bytes {
            return Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                "the body exceeds the size limit",
            ));
        }
        if len > bytes.capacity() {
            let capacity = len.max((2 * bytes.capacity()).min(max_bytes));
            if let Some(share) = &mut share
                && !share.extend_to(capacity).await
            {
                return Err(out_of_budget());
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
}

async fn within_timeout(
    timeout: time::Duration,
    read: impl Future<Output = std::io::Result<Bytes>>,
) -> std::io::Result<Bytes> {
    tokio::time::timeout(timeout, read)
        .await
        .unwrap_or_else(|_| {
            Err(std::io::Error::new(
                std::io::ErrorKind::TimedOut,
                "the body was not complete in time",
            ))
        })
}

/// Idle timeout of the body that exceeds the budget.
const EXCESS_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Minimum number of bytes that arrive within an idle timeout while a body makes progress, far fewer than a narrow link
/// carries.
const MIN_WINDOW_BYTES: usize = 1024;

fn out_of_budget() -> std::io::Error {
    std::io::Error::new(
        std::io::ErrorKind::QuotaExceeded,
        "other bodies leave too little memory for the body",
    )
}

fn unreachable_error(it: convert::Infallible) -> std::io::Error {
    match it {}
}
