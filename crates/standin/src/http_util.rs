//! Helpers for HTTP requests and responses, shared by all stand-ins.

use std::time::Duration;

use bytes::Bytes;
use httpio::{HttpBody, Incoming, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time in which a part of a body is written to its connection.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Path at which stand-ins accept fault settings.
pub(crate) const FAULTS_PATH: &str = "/standin/faults";

/// Path at which stand-ins return their counters.
pub(crate) const COUNTERS_PATH: &str = "/standin/counters";

/// Creates a response with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<HttpBody> {
    let body = serde_json::to_vec(value).expect("responses of stand-ins are serializable");
    let mut response = Response::new(httpio::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a plain text response.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<HttpBody> {
    let mut response = Response::new(httpio::full(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Creates a response that closes the connection before the first byte of the body is sent.
pub(crate) fn aborted() -> Response<HttpBody> {
    let (_sender, body) = httpio::stream(1);
    Response::new(body)
}

/// How a response ends that [`with_part_of_body`] sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartEnd {
    /// A chunked response whose last chunk is missing.
    ChunkMissing,
    /// A response with neither a length nor chunks, whose connection is closed in order.
    UnframedClose,
    /// A response with neither a length nor chunks, whose connection is reset.
    UnframedReset,
}

/// Replaces the body of a response by a part of it.
pub(crate) fn with_part_of_body(
    mut response: Response<HttpBody>,
    part: Bytes,
    end: PartEnd,
) -> Response<HttpBody> {
    let (sender, body) = httpio::stream(1);
    tokio::spawn(async move {
        let is_sent = sender.send(part).await.is_ok();
        // `hyper` discards what it has not written yet when a body is aborted.
        tokio::time::sleep(FLUSH_DELAY).await;
        if is_sent && end == PartEnd::UnframedClose {
            sender.finish();
        }
    });
    *response.body_mut() = body;
    if end != PartEnd::ChunkMissing {
        // `hyper` sends a body of unknown length without chunks only in HTTP/1.0 responses.
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    response
}

/// Reads the body of `request`.
pub(crate) async fn read_body(request: Request<Incoming>) -> std::io::Result<Bytes> {
    httpio::read_limited(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await
}

/// Parses the body of `request` as JSON, or returns an error response if it is malformed.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<HttpBody>>> {
    let bad_request = |message: String| Box::new(text(StatusCode::BAD_REQUEST, &message));
    let body = read_body(request)
        .await
        .map_err(|err| bad_request(err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| bad_request(err.to_string()))
}

/// Returns the value of header `name`, or `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the decoded value of the query parameter `name`.
pub(crate) fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Parses the `Range` header for a resource of `total` bytes. Without the header, returns the entire resource.
///
/// Returns `None` if the header is malformed or the range is outside the resource.
pub(crate) fn byte_range(request: &Request<Incoming>, total: u64) -> Option<ByteRange> {
    let Some(value) = header_text(request, "range") else {
        return Some(ByteRange {
            start: 0,
            len: total,
            partial: false,
        });
    };
    let (start, end) = value.strip_prefix("bytes=")?.split_once('-')?;
    let start: u64 = start.parse().ok()?;
    let end: u64 = match end {
        "" => total.checked_sub(1)?,
        _ => end.parse().ok()?,
    };
    let end = end.min(total.checked_sub(1)?);
    (start <= end).then(|| ByteRange {
        start,
        len: end - start + 1,
        partial: true,
    })
}

/// A requested range of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ByteRange {
    pub(crate) start: u64,
    pub(crate) len: u64,
    pub(crate) partial: bool,
}

impl ByteRange {
    /// Sets the `Content-Length` header and, for a partial response, the status and the `Content-Range` header.
    pub(crate) fn set_headers(&self, total: u64, response: &mut Response<HttpBody>) {
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, self.len.into());
        if !self.partial {
            return;
        }
        let value = format!(
            "bytes {}-{}/{total}",
            self.start,
            self.start + self.len.max(1) - 1
        );
        let value =
            header::HeaderValue::try_from(value).expect("digits are valid header characters");
        headers.insert(header::CONTENT_RANGE, value);
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
}
