//! How the end of a response body is marked.

use hyper::body::{Body, Incoming};
use hyper::{Response, header};

/// How the end of a response body is marked (RFC 9112, section 6.3).
///
/// With a length or chunks, `hyper` reports a body that ends early as an error. With neither, the body ends with its
/// connection, and only a reset of the connection is reported as an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By the `Content-Length` header, or there is no body.
    Length,
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read.
    pub fn of(response: &Response<Incoming>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(header::TRANSFER_ENCODING);
        let last_coding = codings.iter().next_back().and_then(|it| it.to_str().ok());
        let is_chunked = last_coding
            .and_then(|it| it.rsplit(',').next())
            .is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
        if is_chunked {
            Self::Chunked
        } else {
            Self::Connection
        }
    }

    /// Returns the name of the framing in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
