//! Limits of an agent on connections and requests from entries.

use std::time::Duration;

use crate::call_limits::{
    BODY_BYTES_RANGE, CONNECTION_RANGE, DEFAULT_HELD_BODY_BYTES, DEFAULT_OPERATOR_CONNECTIONS,
    HEADER_BYTES_RANGE, HEADER_COUNT_RANGE, HELD_BODY_BYTES_RANGE, OPERATOR_CONNECTION_RANGE,
    TIMEOUT_MS_RANGE, check_held_bodies,
};
use crate::walker::Section;

/// Limits of an agent's gate on connections and requests from entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// Maximum number of open connections from entries.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes; must not be below the limit of the entries.
    pub max_body_bytes: usize,
    /// Maximum size of all request bodies together that are held at the same time, beside 64 KiB of each.
    pub max_held_body_bytes: usize,
    /// Maximum number of header fields of a request; higher than on the entries, because they add their own fields.
    pub max_headers: usize,
    /// Maximum total size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for receiving the request headers.
    pub header_timeout: Duration,
    /// Timeout for receiving the request body.
    pub body_timeout: Duration,
    /// Maximum number of open connections from operators.
    pub max_operator_connections: usize,
}

impl Default for GateLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_body_bytes: 1024 * 1024,
            max_held_body_bytes: DEFAULT_HELD_BODY_BYTES,
            max_headers: 80,
            max_header_bytes: 20 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            max_operator_connections: DEFAULT_OPERATOR_CONNECTIONS,
        }
    }
}

impl GateLimits {
    pub(crate) fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let max_body_bytes =
            section.integer_or("max_body_bytes", BODY_BYTES_RANGE, default.max_body_bytes);
        let limits = Self {
            max_connections: section.integer_or(
                "max_connections",
                CONNECTION_RANGE,
                default.max_connections,
            ),
            max_body_bytes,
            max_held_body_bytes: section.integer_or(
                "max_held_body_bytes",
                HELD_BODY_BYTES_RANGE,
                default.max_held_body_bytes.max(max_body_bytes),
            ),
            max_headers: section.integer_or("max_headers", HEADER_COUNT_RANGE, default.max_headers),
            max_header_bytes: section.integer_or(
                "max_header_bytes",
                HEADER_BYTES_RANGE,
                default.max_header_bytes,
            ),
            header_timeout: section.millis_or(
                "header_timeout_ms",
                TIMEOUT_MS_RANGE,
                default.header_timeout,
            ),
            body_timeout: section.millis_or(
                "body_timeout_ms",
                TIMEOUT_MS_RANGE,
                default.body_timeout,
            ),
            max_operator_connections: section.integer_or(
                "max_operator_connections",
                OPERATOR_CONNECTION_RANGE,
                default.max_operator_connections,
            ),
        };
        if section.finish() {
            check_held_bodies(&section, limits.max_held_body_bytes, limits.max_body_bytes);
        }
        limits
    }
}
