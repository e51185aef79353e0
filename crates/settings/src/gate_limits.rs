//! Limits of an agent.

use std::time::Duration;

use crate::call_limits::{BODY_BYTES, COUNTS, HEADER_BYTES, HEADERS, TIMES};
use crate::walker::Section;

/// What an agent's gate takes from entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Open connections of entries.
    pub max_connections: usize,
    /// Bytes of a request's body; not below the limit of the entries.
    pub max_body_bytes: usize,
    /// Header fields of a request; a few more than the entries allow, which add their own.
    pub max_headers: usize,
    /// Bytes of the request line and headers together.
    pub max_header_bytes: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time for a request's body to arrive.
    pub body_timeout: Duration,
}

impl Default for GateLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_body_bytes: 1024 * 1024,
            max_headers: 80,
            max_header_bytes: 20 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
        }
    }
}

impl GateLimits {
    pub(crate) fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            max_connections: section.count_or("max_connections", COUNTS, default.max_connections),
            max_body_bytes: section.count_or("max_body_bytes", BODY_BYTES, default.max_body_bytes),
            max_headers: section.count_or("max_headers", HEADERS, default.max_headers),
            max_header_bytes: section.count_or(
                "max_header_bytes",
                HEADER_BYTES,
                default.max_header_bytes,
            ),
            header_timeout: section.millis_or("header_timeout_ms", TIMES, default.header_timeout),
            body_timeout: section.millis_or("body_timeout_ms", TIMES, default.body_timeout),
        };
        section.finish();
        limits
    }
}
