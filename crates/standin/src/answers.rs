//! Answers and request parts that all stand-ins share.

use std::time::Duration;

use bytes::Bytes;
use httpio::{HttpBody, Incoming, Request, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Longest wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Path at which every stand-in takes its faults.
pub(crate) const FAULTS_PATH: &str = "/standin/faults";

/// Path at which every stand-in tells its counters.
pub(crate) const COUNTERS_PATH: &str = "/standin/counters";

/// Answers with `value` as JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<HttpBody> {
    let body = serde_json::to_vec(value).expect("the answers of stand-ins are plain data");
    let mut response = Response::new(httpio::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Answers with `text` alone.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<HttpBody> {
    let mut response = Response::new(httpio::full(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Cuts the connection before a byte of the answer is sent.
pub(crate) fn lost() -> Response<HttpBody> {
    let (sender, body) = httpio::stream(1);
    let error = std::io::Error::other("the answer is lost on purpose");
    sender
        .try_send(Err(error))
        .expect("a fresh channel has room");
    Response::new(body)
}

/// Reads the whole body of `request`.
pub(crate) async fn read_body(request: Request<Incoming>) -> std::io::Result<Bytes> {
    httpio::read_limited(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await
}

/// Reads the body of `request` as JSON, or returns the answer to a malformed one.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<HttpBody>>> {
    let refuse = |message: String| Box::new(text(StatusCode::BAD_REQUEST, &message));
    let body = read_body(request)
        .await
        .map_err(|err| refuse(err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| refuse(err.to_string()))
}

/// Returns the value of header `name`, or nothing when it is absent or not text.
pub(crate) fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the decoded value of query parameter `name`.
pub(crate) fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// Returns the first byte and the length that the `Range` header asks for, the whole of `total` without one.
///
/// Nothing is returned for a range that does not lie within the data.
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

/// A part of some bytes that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ByteRange {
    pub(crate) start: u64,
    pub(crate) len: u64,
    pub(crate) partial: bool,
}

impl ByteRange {
    /// Completes the head of the answer with status, length and `Content-Range`.
    pub(crate) fn describe(&self, total: u64, response: &mut Response<HttpBody>) {
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
        let value = header::HeaderValue::try_from(value).expect("numbers are header characters");
        headers.insert(header::CONTENT_RANGE, value);
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
}
