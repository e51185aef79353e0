//! Back-off of one source.

use std::time::{Duration, Instant};

/// Keeps a failing source unused for a time that doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl SourceBackoff {
    /// Pause after the first failure.
    pub const FIRST_PAUSE: Duration = Duration::from_millis(200);
    /// Longest pause.
    pub const LONGEST_PAUSE: Duration = Duration::from_secs(10);

    /// Notes a failure; a source that names a time by itself is left alone for at least that long.
    pub fn failed(&mut self, now: Instant, retry_after: Option<Duration>) {
        let pause = Self::FIRST_PAUSE
            .saturating_mul(1 << self.failures.min(MAX_DOUBLINGS))
            .min(Self::LONGEST_PAUSE)
            .max(retry_after.unwrap_or_default());
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + pause);
    }

    /// Notes a success, which ends the pause.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Tells whether the source may be used.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }
}

/// Doublings after which the longest pause is certainly reached.
const MAX_DOUBLINGS: u32 = 8;
