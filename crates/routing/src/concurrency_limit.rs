//! Adaptive concurrency limit of a target.

use std::time::{Duration, Instant};

/// Latencies above which a target is considered overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Maximum time to first token, or response time of a plain service.
    pub first_token: Duration,
    /// Maximum time between two tokens.
    pub token_gap: Duration,
}

impl Default for LatencyTargets {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(430),
            token_gap: Duration::from_millis(49),
        }
    }
}

/// AIMD limit: additive increase while latencies meet their targets, multiplicative decrease otherwise.
///
/// In an engine with continuous batching, each additional request slows down all others. The limit therefore controls
/// both the time to first token and the token gap.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    targets: LatencyTargets,
    bounds: (u32, u32),
    limit: f64,
    window: Option<LimitWindow>,
}

#[derive(Clone, Debug)]
struct LimitWindow {
    start: Instant,
    samples: u32,
    late: u32,
    max_in_flight: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `initial` and stays between `min` and `max`.
    pub fn new(targets: LatencyTargets, initial: u32, min: u32, max: u32) -> Self {
        let min = min.max(1);
        let max = max.max(min);
        Self {
            targets,
            bounds: (min, max),
            limit: f64::from(initial.clamp(min, max)),
            window: None,
        }
    }

    /// Returns the maximum number of requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the latency targets.
    pub fn targets(&self) -> LatencyTargets {
        self.targets
    }

    /// Records a time to first token with `in_flight` requests in flight.
    pub fn on_first_token(&mut self, now: Instant, latency: Duration, in_flight: u32) {
        let late = latency > self.targets.first_token;
        self.on_sample(now, late, in_flight);
    }

    /// Records the time between two tokens with `in_flight` requests in flight.
    pub fn on_token_gap(&mut self, now: Instant, gap: Duration, in_flight: u32) {
        let late = gap > self.targets.token_gap;
        self.on_sample(now, late, in_flight);
    }

    fn on_sample(&mut self, now: Instant, late: bool, in_flight: u32) {
        let window = self.window.get_or_insert(LimitWindow {
            start: now,
            samples: 0,
            late: 0,
            max_in_flight: 0,
        });
        window.samples += 1;
        window.late += u32::from(late);
        window.max_in_flight = window.max_in_flight.max(in_flight);
        if now.saturating_duration_since(window.start) < WINDOW || window.samples < MIN_SAMPLES {
            return;
        }
        let window = self.window.take().expect("the window was set above");
        self.adjust(&window);
    }

    fn adjust(&mut self, window: &LimitWindow) {
        let late_share = f64::from(window.late) / f64::from(window.samples);
        let max_in_flight = f64::from(window.max_in_flight);
        if late_share > MAX_LATE_SHARE {
            // The observed concurrency, which may be below the limit, was enough to miss the latency targets, so the
            // limit must fall below it.
            self.limit = self.limit.min(max_in_flight) * DECREASE;
        } else if max_in_flight + 1.0 >= self.limit {
            self.limit += INCREASE;
        }
        let (min, max) = self.bounds;
        self.limit = self.limit.clamp(f64::from(min), f64::from(max));
    }
}

/// Minimum length of a measurement window, after which the limit is adjusted.
const WINDOW: Duration = Duration::from_millis(250);

/// Minimum number of samples in a window.
const MIN_SAMPLES: u32 = 8;

/// Maximum share of late samples: the targets apply to the 95th percentile.
const MAX_LATE_SHARE: f64 = 0.05;

/// Factor of a multiplicative decrease.
const DECREASE: f64 = 0.9;

/// Summand of an additive increase.
const INCREASE: f64 = 1.0;
