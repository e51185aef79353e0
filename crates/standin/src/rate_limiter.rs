//! A token bucket rate limiter.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A token bucket that can be shared by many connections. A reservation returns a time instead of blocking.
///
/// Each reservation is scheduled after the previous ones, so that the rate holds for any number of connections without
/// a queue of waiters.
#[derive(Debug)]
pub struct RateLimiter {
    inner: Mutex<LimiterState>,
}

#[derive(Debug)]
struct LimiterState {
    per_second: Option<f64>,
    burst: Duration,
    next_free: Option<Instant>,
}

impl RateLimiter {
    /// Creates a bucket that refills with `per_second` units per second, or is unlimited if `None`. Its capacity is the
    /// number of units that refill within `burst`.
    pub fn new(per_second: Option<f64>, burst: Duration) -> Self {
        let state = LimiterState {
            per_second,
            burst,
            next_free: None,
        };
        Self {
            inner: Mutex::new(state),
        }
    }

    /// Changes the rate of later reservations.
    pub fn set_rate(&self, per_second: Option<f64>) {
        self.state().per_second = per_second;
    }

    /// Reserves `units` and returns the time at which they may be used.
    pub fn reserve(&self, units: u64, now: Instant) -> Instant {
        let mut state = self.state();
        let Some(cost) = state.cost(units) else {
            return now;
        };
        let earliest = now.checked_sub(state.burst).unwrap_or(now);
        let start = state.next_free.unwrap_or(earliest).max(earliest);
        state.next_free = Some(start + cost);
        (start + cost).max(now)
    }

    /// Takes `units` if they are available now, and returns whether it did.
    pub fn try_acquire(&self, units: u64, now: Instant) -> bool {
        let mut state = self.state();
        let Some(cost) = state.cost(units) else {
            return true;
        };
        let earliest = now.checked_sub(state.burst).unwrap_or(now);
        let end = state.next_free.unwrap_or(earliest).max(earliest) + cost;
        if end > now {
            return false;
        }
        state.next_free = Some(end);
        true
    }

    fn state(&self) -> std::sync::MutexGuard<'_, LimiterState> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the bucket lock")
    }
}

impl LimiterState {
    fn cost(&self, units: u64) -> Option<Duration> {
        let per_second = self.per_second?;
        Some(Duration::from_secs_f64(
            units as f64 / per_second.max(f64::MIN_POSITIVE).max(1e-3),
        ))
    }
}
