//! A budget of bytes over time.

use std::time::{Duration, Instant};

/// Lets bytes through at a rate, with a burst of limited size; `now` is passed in with each call.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    bytes_per_s: f64,
    burst_bytes: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: Instant) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            level: burst_bytes,
            at: now,
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, bytes_per_s: f64, now: Instant) {
        self.refill(now);
        self.bytes_per_s = bytes_per_s;
    }

    /// Takes `bytes`, going into debt, and returns how long to wait before they may be sent.
    ///
    /// Debt rather than refusal keeps the order of those who wait and needs no second call.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Duration {
        self.refill(now);
        self.level -= bytes as f64;
        if self.level >= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(-self.level / self.bytes_per_s).unwrap_or(LONGEST_WAIT)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        self.level = (self.level + passed.as_secs_f64() * self.bytes_per_s).min(self.burst_bytes);
        self.at = self.at.max(now);
    }
}

/// The wait where the rate is too small to compute one.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
