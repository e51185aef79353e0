//! Token bucket rate limiter.

use std::time::{Duration, Instant};

/// Limits bytes to a rate with bursts of limited size. Callers pass in the current time.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    bytes_per_s: f64,
    burst_bytes: f64,
    /// Negative while bytes are reserved ahead of time.
    available_bytes: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: Instant) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            available_bytes: burst_bytes,
            refilled_at: now,
        }
    }

    /// Changes the rate, starting at `now`.
    pub fn set_rate(&mut self, bytes_per_s: f64, now: Instant) {
        self.refill(now);
        self.bytes_per_s = bytes_per_s;
    }

    /// Reserves `bytes`, possibly ahead of time, and returns how long to wait before sending them.
    ///
    /// Reserving instead of refusing preserves the order of waiting callers and makes a second call unnecessary.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Duration {
        self.refill(now);
        self.available_bytes -= bytes as f64;
        if self.available_bytes >= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(-self.available_bytes / self.bytes_per_s).unwrap_or(MAX_WAIT)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.available_bytes =
            (self.available_bytes + passed.as_secs_f64() * self.bytes_per_s).min(self.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Wait returned if the rate is too low for a representable duration.
const MAX_WAIT: Duration = Duration::from_secs(3600);
