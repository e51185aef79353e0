//! Rate limit for log lines about requests.

use std::time::{Duration, Instant};

/// Kind of a log line. Each kind has its own limit, so that a flood of one kind does not suppress the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogKind {
    /// A request that was served successfully.
    Served,
    /// An event of a request that was refused, failed, aborted or late.
    Failed,
}

/// Decision on one log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogDecision {
    /// Whether the line is within the limit.
    pub allowed: bool,
    /// Suppressed lines of the previous window (served, failed), if there are any and this line starts a new window.
    pub suppressed_before: Option<[u32; 2]>,
}

/// Counts the lines of each kind in windows of one second and suppresses those above the limit.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    window_start: Instant,
    written: [u32; 2],
    suppressed: [u32; 2],
    suppressed_total: u64,
}

impl LogRateLimiter {
    /// Starts the first window.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            written: [0; 2],
            suppressed: [0; 2],
            suppressed_total: 0,
        }
    }

    /// Counts a line of `kind` and decides whether it is written.
    pub fn check(&mut self, kind: LogKind, now: Instant) -> LogDecision {
        let mut suppressed_before = None;
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            suppressed_before = Some(self.suppressed).filter(|it| *it != [0, 0]);
            *self = Self {
                suppressed_total: self.suppressed_total,
                ..Self::new(now)
            };
        }
        let (index, limit) = match kind {
            LogKind::Served => (0, MAX_SERVED_LINES),
            LogKind::Failed => (1, MAX_FAILED_LINES),
        };
        let allowed = self.written[index] < limit;
        if allowed {
            self.written[index] += 1;
        } else {
            self.suppressed[index] += 1;
            self.suppressed_total += 1;
        }
        LogDecision {
            allowed,
            suppressed_before,
        }
    }

    /// Returns the number of lines suppressed since the process started.
    pub fn suppressed_total(&self) -> u64 {
        self.suppressed_total
    }
}

/// Length of a counting window.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum lines per window about served requests: a few times the requests of an entry under normal load.
const MAX_SERVED_LINES: u32 = 100;

/// Maximum lines per window about failed requests: several for each request of an entry under twice its normal load.
const MAX_FAILED_LINES: u32 = 400;
