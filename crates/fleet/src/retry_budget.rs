//! Retry budget of one service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Counts requests and retries in a sliding window and allows retries up to a ratio of the requests.
///
/// Each entry enforces its own share, so the total over all entries stays within the bound in any window without
/// coordination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Allows `ratio` retries per request within `window`, plus `allowance`.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            window,
            ratio,
            allowance,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget, or returns `false` if the budget is exhausted.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.expire(now);
        if self.remaining() < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the number of retries available at `now`.
    pub fn remaining_at(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.remaining()
    }

    fn remaining(&self) -> f64 {
        self.requests.len() as f64 * self.ratio + self.allowance - self.retries.len() as f64
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |it: &Instant| now.saturating_duration_since(*it) > window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}
