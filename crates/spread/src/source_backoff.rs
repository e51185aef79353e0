//! Exponential backoff for a source of chunks.

use std::time::{Duration, Instant};

/// Excludes a failing source for a delay that doubles with each consecutive failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceBackoff {
    consecutive_failures: u32,
    retry_at: Option<Instant>,
}

impl SourceBackoff {
    /// Delay after the first failure.
    pub const INITIAL_DELAY: Duration = Duration::from_millis(200);
    /// Upper bound of the exponential delay.
    pub const MAX_DELAY: Duration = Duration::from_secs(10);

    /// Records a failure. The delay is at least `retry_after` if the source specified one.
    pub fn record_failure(&mut self, now: Instant, retry_after: Option<Duration>) {
        let delay = Self::INITIAL_DELAY
            .saturating_mul(1 << self.consecutive_failures.min(MAX_DOUBLINGS))
            .min(Self::MAX_DELAY)
            .max(retry_after.unwrap_or_default());
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = Some(now + delay);
    }

    /// Records a success, which resets the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the source may be used.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }
}

/// Cap on the exponent of the delay; [`SourceBackoff::MAX_DELAY`] is reached before it.
const MAX_DOUBLINGS: u32 = 8;
