//! Limits that protect a server from its clients.

use std::time::Duration;

use crate::head_error::HeadErrorHandler;

/// The limits beyond which a server rejects requests or closes connections.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; any further connection is closed immediately.
    pub max_connections: usize,
    /// Maximum number of header fields of a request; a request with more receives the status 431.
    pub max_headers: usize,
    /// Maximum total size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for receiving the headers of a request, measured from when the server starts to wait for them.
    pub header_timeout: Duration,
    /// Creates the responses to requests that are rejected before they reach the handler; without it, these responses
    /// consist of a status only.
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
