//! Requests whose head never becomes whole.

use hyper::Response;

/// Why a request cannot be handed to the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The request line or a header is malformed.
    Malformed,
    /// The request line and headers are larger or more than the limit.
    TooLarge,
    /// The request line and headers did not arrive in time.
    TooSlow,
}

/// Makes the answer to a request that no handler will see; the connection is closed after it.
pub type HeadErrorHandler = fn(HeadError) -> Response<String>;

impl HeadError {
    /// Recognises the answers that `hyper` writes by itself: a bare status without a body.
    pub(crate) fn of_automatic_answer(bytes: &[u8]) -> Option<Self> {
        let known = [
            (&b"HTTP/1.1 400 "[..], Self::Malformed),
            (&b"HTTP/1.1 414 "[..], Self::TooLarge),
            (&b"HTTP/1.1 431 "[..], Self::TooLarge),
        ];
        let (_, fault) = known.iter().find(|(start, _)| bytes.starts_with(start))?;
        let head = std::str::from_utf8(bytes).ok()?;
        let mut headers = head.strip_suffix("\r\n\r\n")?.lines().skip(1);
        headers
            .all(|it| AUTOMATIC_HEADERS.iter().any(|name| it.starts_with(name)))
            .then_some(*fault)
    }
}

/// Writes `answer` out as the last one of a connection.
pub(crate) fn last_answer_bytes(answer: &Response<String>) -> Vec<u8> {
    let status = answer.status();
    let reason = status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).into_bytes();
    for (name, value) in answer.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let body = answer.body();
    let end = format!(
        "content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    bytes.extend_from_slice(end.as_bytes());
    bytes
}

/// The only headers of answers that `hyper` writes by itself.
const AUTOMATIC_HEADERS: [&str; 3] = ["content-length: 0", "connection: close", "date: "];
