//! Limits that protect a listener from its peers.

use std::time::Duration;

use crate::head_error::HeadErrorHandler;

/// What a listener accepts before it refuses or cuts a connection.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Open connections; one more is closed at once.
    pub max_connections: usize,
    /// Header fields of one request; more are answered with 431.
    pub max_headers: usize,
    /// Bytes of the request line and headers together.
    pub max_header_bytes: usize,
    /// Time for a request's headers to arrive, counted from the first wait for them.
    pub header_timeout: Duration,
    /// Answers requests that break a limit before a handler sees them; without it they get a bare status.
    pub head_error_handler: Option<HeadErrorHandler>,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_headers: 64,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            head_error_handler: None,
        }
    }
}
