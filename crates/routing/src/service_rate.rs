//! Estimate of the rate at which targets accept work from one entry.

use std::time::{Duration, Instant};

/// Estimates the capacity as the maximum work per window. Only windows in which requests were queued throughout lower
/// the estimate, because the throughput of an idle system is no measure of its capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRate {
    estimate: Option<f64>,
    window: Option<RateWindow>,
}

#[derive(Clone, Copy, Debug)]
struct RateWindow {
    start: Instant,
    served: u64,
    is_backlogged: bool,
}

impl ServiceRate {
    /// Returns the estimate in cost per second, or `None` before the first window has ended.
    pub(crate) fn cost_per_second(&self) -> Option<f64> {
        self.estimate
    }

    /// Records dispatched work; `is_backlogged` is whether other requests were queued at that time.
    pub(crate) fn on_served(&mut self, now: Instant, cost: u32, is_backlogged: bool) {
        let window = self.window.get_or_insert(RateWindow {
            start: now,
            served: 0,
            is_backlogged: true,
        });
        window.served += u64::from(cost);
        window.is_backlogged &= is_backlogged;
        let elapsed = now.saturating_duration_since(window.start);
        if elapsed < WINDOW {
            return;
        }
        let rate = window.served as f64 / elapsed.as_secs_f64();
        let was_backlogged = window.is_backlogged;
        self.window = None;
        self.estimate = Some(match self.estimate {
            Some(old) if rate < old && was_backlogged => (old + rate) / 2.0,
            Some(old) => old.max(rate),
            None => rate,
        });
    }

    /// Subtracts recorded work that a target did not accept.
    pub(crate) fn on_refused(&mut self, cost: u32) {
        if let Some(window) = &mut self.window {
            window.served = window.served.saturating_sub(u64::from(cost));
        }
    }
}

/// Length of the measurement window.
const WINDOW: Duration = Duration::from_secs(1);
