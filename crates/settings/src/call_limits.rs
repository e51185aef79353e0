//! Limits of an entry.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::setting_problem::SettingProblem;
use crate::walker::Section;

/// What an entry takes from callers; the defaults fit a host with 1 GiB of memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Open connections of callers.
    pub max_connections: usize,
    /// Requests in progress, streamed answers included.
    pub max_streams: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Header fields of a request.
    pub max_headers: usize,
    /// Bytes of the request line and headers together.
    pub max_header_bytes: usize,
    /// Time for a request's headers to arrive.
    pub header_timeout: Duration,
    /// Time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Time for an answer when the caller names none.
    pub default_deadline: Duration,
    /// Requests that wait for a target.
    pub queue_length: usize,
    /// How long a caller may keep the list of entries.
    pub directory_ttl: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_streams: 2048,
            max_body_bytes: 1024 * 1024,
            max_headers: 64,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            default_deadline: Duration::from_secs(120),
            queue_length: 256,
            directory_ttl: Duration::from_secs(30),
        }
    }
}

impl CallLimits {
    pub(crate) fn read(mut section: Section<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            max_connections: section.count_or("max_connections", COUNTS, default.max_connections),
            max_streams: section.count_or("max_streams", COUNTS, default.max_streams),
            max_body_bytes: section.count_or("max_body_bytes", BODY_BYTES, default.max_body_bytes),
            max_headers: section.count_or("max_headers", HEADERS, default.max_headers),
            max_header_bytes: section.count_or(
                "max_header_bytes",
                HEADER_BYTES,
                default.max_header_bytes,
            ),
            header_timeout: section.millis_or("header_timeout_ms", TIMES, default.header_timeout),
            body_timeout: section.millis_or("body_timeout_ms", TIMES, default.body_timeout),
            default_deadline: section.millis_or(
                "default_deadline_ms",
                TIMES,
                default.default_deadline,
            ),
            queue_length: section.count_or("queue_length", QUEUES, default.queue_length),
            directory_ttl: section.millis_or("directory_ttl_ms", TIMES, default.directory_ttl),
        };
        if section.finish() {
            limits.check(&section);
        }
        limits
    }

    fn check(&self, section: &Section<'_>) {
        if self.max_streams > self.max_connections {
            let message = format!(
                "{} is more than max_connections ({}), and each stream needs a connection",
                self.max_streams, self.max_connections
            );
            section.report_at("max_streams", SettingProblem::Contradiction(message));
        }
        if self.queue_length > self.max_streams {
            let message = format!(
                "{} is more than max_streams ({}), and a waiting request counts as a stream",
                self.queue_length, self.max_streams
            );
            section.report_at("queue_length", SettingProblem::Contradiction(message));
        }
        if self.body_timeout > self.default_deadline {
            let message = format!(
                "{} ms is more than default_deadline_ms ({} ms), so a slow body would outlive its request",
                self.body_timeout.as_millis(),
                self.default_deadline.as_millis()
            );
            section.report_at("body_timeout_ms", SettingProblem::Contradiction(message));
        }
    }
}

/// Allowed numbers of connections or streams.
pub(crate) const COUNTS: RangeInclusive<u64> = 1..=1_000_000;

/// Allowed sizes of a body in bytes.
pub(crate) const BODY_BYTES: RangeInclusive<u64> = 1024..=1024 * 1024 * 1024;

/// Allowed numbers of header fields.
pub(crate) const HEADERS: RangeInclusive<u64> = 8..=1024;

/// Allowed sizes of headers in bytes; `hyper` takes no smaller buffer.
pub(crate) const HEADER_BYTES: RangeInclusive<u64> = 8192..=1024 * 1024;

/// Allowed timeouts in milliseconds.
pub(crate) const TIMES: RangeInclusive<u64> = 10..=3_600_000;

/// Allowed lengths of a queue; 0 refuses at once when no target is free.
const QUEUES: RangeInclusive<u64> = 0..=1_000_000;
