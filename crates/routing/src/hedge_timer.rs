//! Delay after which a lookup is hedged, that is, sent a second time without waiting for the first response.

use std::time::Duration;

use crate::call_kind::CallKind;

/// Estimates the 95th percentile of lookup latencies. Past it, a second (hedged) request is likely to be faster than
/// the first.
#[derive(Clone, Debug)]
pub struct HedgeTimer {
    p95: Duration,
}

impl Default for HedgeTimer {
    fn default() -> Self {
        Self { p95: INITIAL_P95 }
    }
}

impl HedgeTimer {
    /// Records the latency of a lookup.
    ///
    /// The estimate moves up by 19 steps for a slower lookup and down by one step otherwise, so that it converges to a
    /// value that 1 in 20 lookups exceed.
    pub fn on_response(&mut self, latency: Duration) {
        let step = (self.p95 / STEP_DIVISOR).max(MIN_STEP);
        self.p95 = if latency > self.p95 {
            self.p95 + step * 19
        } else {
            self.p95.saturating_sub(step).max(MIN_P95)
        };
    }

    /// Returns the delay before a hedged request, or `None` if the call is not a lookup or too little time remains.
    pub fn delay(&self, kind: CallKind, time_remaining: Duration) -> Option<Duration> {
        (kind == CallKind::Lookup && self.p95 * 2 < time_remaining).then_some(self.p95)
    }
}

/// Initial estimate.
const INITIAL_P95: Duration = Duration::from_millis(100);

/// Lower bound of the estimate.
const MIN_P95: Duration = Duration::from_millis(2);

/// Divisor that determines the step size in proportion to the estimate.
const STEP_DIVISOR: u32 = 200;

/// Lower bound of the step size.
const MIN_STEP: Duration = Duration::from_micros(10);
