//! When a lookup is sent a second time.

use std::time::Duration;

use crate::call_kind::CallKind;

/// Tracks how long lookups take and names the delay after which a second one is likely to be the faster.
#[derive(Clone, Debug)]
pub struct HedgeTimer {
    slow: Duration,
}

impl Default for HedgeTimer {
    fn default() -> Self {
        Self { slow: INITIAL_SLOW }
    }
}

impl HedgeTimer {
    /// Takes in the time that a lookup took.
    ///
    /// The estimate moves up by 19 steps for a slower one and down by one for a faster one, so that it settles where
    /// 1 in 20 is slower.
    pub fn on_answer(&mut self, latency: Duration) {
        let step = (self.slow / STEP_DIVISOR).max(MIN_STEP);
        self.slow = if latency > self.slow {
            self.slow + step * 19
        } else {
            self.slow.saturating_sub(step).max(MIN_SLOW)
        };
    }

    /// Returns the delay before a hedge, or `None` when the call must not be sent twice or the time does not allow it.
    pub fn delay(&self, kind: CallKind, left: Duration) -> Option<Duration> {
        (kind == CallKind::Lookup && self.slow * 2 < left).then_some(self.slow)
    }
}

/// Estimate before any answer was seen.
const INITIAL_SLOW: Duration = Duration::from_millis(100);

/// Lower bound of the estimate.
const MIN_SLOW: Duration = Duration::from_millis(2);

/// Part of the estimate that one step moves it by.
const STEP_DIVISOR: u32 = 200;

/// Smallest step.
const MIN_STEP: Duration = Duration::from_micros(10);
