//! The budget of repeated sends to one service.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Counts first sends and repeats in a sliding window and allows a repeat while its share is not used up.
///
/// Every entry holds its own share, so that the sum over all entries keeps the bound in any window without a message
/// between them.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Allows `ratio` repeats for each first send within `window`, and `allowance` more.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            window,
            ratio,
            allowance,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn first(&mut self, now: Instant) {
        self.expire(now);
        self.firsts.push_back(now);
    }

    /// Takes one repeat from the budget, or returns `false` when none is left.
    pub fn try_repeat(&mut self, now: Instant) -> bool {
        self.expire(now);
        if self.left() < 1.0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Returns the repeats that are left at `now`.
    pub fn left_at(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.left()
    }

    fn left(&self) -> f64 {
        self.firsts.len() as f64 * self.ratio + self.allowance - self.repeats.len() as f64
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        let is_old = |it: &Instant| now.saturating_duration_since(*it) > window;
        while self.firsts.front().is_some_and(is_old) {
            self.firsts.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
