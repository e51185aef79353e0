//! Limits of an entry on connections and requests from callers.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::setting_error_kind::SettingErrorKind;
use crate::walker::Section;

/// Limits on connections and requests from callers; the defaults suit a host with 1 GiB of memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum number of requests in flight, including queued requests and streamed responses.
    pub max_streams: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of all request bodies together that are held at the same time, beside 64 KiB of each.
    pub max_held_body_bytes: usize,
    /// Maximum number of header fields of a request.
    pub max_headers: usize,
    /// Maximum total size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for receiving the request headers.
    pub header_timeout: Duration,
    /// Timeout for receiving the request body.
    pub body_timeout: Duration,
    /// Deadline of a request if the caller sets none.
    pub default_deadline: Duration,
    /// Maximum number of requests queued for a target.
    pub queue_length: usize,
    /// How long a caller may cache the list of entries.
    pub directory_ttl: Duration,
    /// Maximum number of open connections from operators.
    pub max_operator_connections: usize,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_streams: 2048,
            max_body_bytes: 1024 * 1024,
            max_held_body_bytes: DEFAULT_HELD_BODY_BYTES,
            max_headers: 64,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            default_deadline: Duration::from_secs(120),
            queue_length: 256,
            directory_ttl: Duration::from_secs(30),
            max_operator_connections: DEFAULT_OPERATOR_CONNECTIONS,
        }
    }
}

impl CallLimits {
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
            max_streams: section.integer_or("max_streams", CONNECTION_RANGE, default.max_streams),
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
            default_deadline: section.millis_or(
                "default_deadline_ms",
                TIMEOUT_MS_RANGE,
                default.default_deadline,
            ),
            queue_length: section.integer_or(
                "queue_length",
                QUEUE_LENGTH_RANGE,
                default.queue_length,
            ),
            directory_ttl: section.millis_or(
                "directory_ttl_ms",
                TIMEOUT_MS_RANGE,
                default.directory_ttl,
            ),
            max_operator_connections: section.integer_or(
                "max_operator_connections",
                OPERATOR_CONNECTION_RANGE,
                default.max_operator_connections,
            ),
        };
        if section.finish() {
            limits.check(&section);
        }
        limits
    }

    /// Reports limits that conflict with each other.
    fn check(&self, section: &Section<'_>) {
        if self.max_streams > self.max_connections {
            let message = format!(
                "{} is more than max_connections ({}), and each stream needs a connection",
                self.max_streams, self.max_connections
            );
            section.report_at("max_streams", SettingErrorKind::ConflictingValues(message));
        }
        if self.queue_length > self.max_streams {
            let message = format!(
                "{} is more than max_streams ({}), and a waiting request counts as a stream",
                self.queue_length, self.max_streams
            );
            section.report_at("queue_length", SettingErrorKind::ConflictingValues(message));
        }
        check_held_bodies(section, self.max_held_body_bytes, self.max_body_bytes);
        if self.body_timeout > self.default_deadline {
            let message = format!(
                "{} ms is more than default_deadline_ms ({} ms), so a slow body would outlive its request",
                self.body_timeout.as_millis(),
                self.default_deadline.as_millis()
            );
            section.report_at(
                "body_timeout_ms",
                SettingErrorKind::ConflictingValues(message),
            );
        }
    }
}

/// Reports a limit of all bodies together that is below the limit of one body.
pub(crate) fn check_held_bodies(section: &Section<'_>, held_bytes: usize, body_bytes: usize) {
    if held_bytes < body_bytes {
        let message = format!(
            "{held_bytes} is less than max_body_bytes ({body_bytes}), so the largest body would always be refused"
        );
        section.report_at(
            "max_held_body_bytes",
            SettingErrorKind::ConflictingValues(message),
        );
    }
}

/// Default of `max_held_body_bytes`, a quarter of the memory of the host that the defaults suit.
pub(crate) const DEFAULT_HELD_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Default of `max_operator_connections`, several times the number of operators and monitors of a deployment.
pub(crate) const DEFAULT_OPERATOR_CONNECTIONS: usize = 64;

/// Allowed values of `max_connections` and `max_streams`.
pub(crate) const CONNECTION_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// Allowed values of `max_body_bytes`.
pub(crate) const BODY_BYTES_RANGE: RangeInclusive<u64> = 1024..=1024 * 1024 * 1024;

/// Allowed values of `max_held_body_bytes`.
pub(crate) const HELD_BODY_BYTES_RANGE: RangeInclusive<u64> = 1024..=1024 * 1024 * 1024 * 1024;

/// Allowed values of `max_operator_connections`.
pub(crate) const OPERATOR_CONNECTION_RANGE: RangeInclusive<u64> = 1..=10_000;

/// Allowed values of `max_headers`.
pub(crate) const HEADER_COUNT_RANGE: RangeInclusive<u64> = 8..=1024;

/// Allowed values of `max_header_bytes`; `hyper` requires a buffer of at least 8192 bytes.
pub(crate) const HEADER_BYTES_RANGE: RangeInclusive<u64> = 8192..=1024 * 1024;

/// Allowed values of timeouts, in milliseconds.
pub(crate) const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 10..=3_600_000;

/// Allowed values of `queue_length`; with 0, a request is refused at once if no target is available.
const QUEUE_LENGTH_RANGE: RangeInclusive<u64> = 0..=1_000_000;
