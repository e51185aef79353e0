//! Errors in the head (request line and headers) of a request.

use hyper::Response;

/// Why a request was rejected before it reached the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The request line or a header is malformed.
    Malformed,
    /// The size of the request line and headers, or the number of headers, exceeds the limit.
    TooLarge,
    /// The request line and headers did not arrive in time.
    TooSlow,
}

/// Returns the response to a request with a head error. The connection is closed after the response.
pub type HeadErrorHandler = fn(HeadError) -> Response<String>;

impl HeadError {
    /// Returns the error for which `hyper` generated the response `bytes`, which has a status and no body.
    /// Returns `None` for any other response.
    pub(crate) fn from_generated_response(bytes: &[u8]) -> Option<Self> {
        let status_lines = [
            (&b"HTTP/1.1 400 "[..], Self::Malformed),
            (&b"HTTP/1.1 414 "[..], Self::TooLarge),
            (&b"HTTP/1.1 431 "[..], Self::TooLarge),
        ];
        let (_, error) = status_lines
            .iter()
            .find(|(prefix, _)| bytes.starts_with(prefix))?;
        let head = std::str::from_utf8(bytes).ok()?;
        let mut headers = head.strip_suffix("\r\n\r\n")?.lines().skip(1);
        headers
            .all(|it| GENERATED_HEADERS.iter().any(|name| it.starts_with(name)))
            .then_some(*error)
    }
}

/// Encodes `response` as the last response of its connection.
pub(crate) fn encode_final_response(response: &Response<String>) -> Vec<u8> {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let body = response.body();
    let tail = format!(
        "content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    bytes.extend_from_slice(tail.as_bytes());
    bytes
}

/// The only headers of the error responses that `hyper` generates.
const GENERATED_HEADERS: [&str; 3] = ["content-length: 0", "connection: close", "date: "];
