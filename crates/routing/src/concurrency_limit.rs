//! How many requests a target works on at once.

use std::time::{Duration, Instant};

/// Latencies above which a target has too much to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Longest time to the first token, or to the answer of a plain service.
    pub first_token: Duration,
    /// Longest time between two tokens.
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

/// Additive increase while latencies hold, multiplicative decrease when they do not.
///
/// An engine that batches continuously answers every request more slowly when it takes one too many, so the limit is
/// what keeps the first token and the token gap near their targets.
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
    busiest: u32,
}

impl ConcurrencyLimit {
    /// Starts at `initial`, and stays within `min` and `max`.
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

    /// Returns the number of requests that may be in progress at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the latencies that the limit defends.
    pub fn targets(&self) -> LatencyTargets {
        self.targets
    }

    /// Takes in the time to a first token while `in_flight` requests were in progress.
    pub fn on_first_token(&mut self, now: Instant, latency: Duration, in_flight: u32) {
        let late = latency > self.targets.first_token;
        self.on_sample(now, late, in_flight);
    }

    /// Takes in the time between two tokens while `in_flight` requests were in progress.
    pub fn on_token_gap(&mut self, now: Instant, gap: Duration, in_flight: u32) {
        let late = gap > self.targets.token_gap;
        self.on_sample(now, late, in_flight);
    }

    fn on_sample(&mut self, now: Instant, late: bool, in_flight: u32) {
        let window = self.window.get_or_insert(LimitWindow {
            start: now,
            samples: 0,
            late: 0,
            busiest: 0,
        });
        window.samples += 1;
        window.late += u32::from(late);
        window.busiest = window.busiest.max(in_flight);
        if now.saturating_duration_since(window.start) < WINDOW || window.samples < MIN_SAMPLES {
            return;
        }
        let window = self.window.take().expect("the window was filled above");
        self.adjust(&window);
    }

    fn adjust(&mut self, window: &LimitWindow) {
        let late_share = f64::from(window.late) / f64::from(window.samples);
        let busiest = f64::from(window.busiest);
        if late_share > MAX_LATE_SHARE {
            // Fewer requests than the limit were enough to be late, so the limit falls below what was in progress.
            self.limit = self.limit.min(busiest) * DECREASE;
        } else if busiest + 1.0 >= self.limit {
            self.limit += INCREASE;
        }
        let (min, max) = self.bounds;
        self.limit = self.limit.clamp(f64::from(min), f64::from(max));
    }
}

/// Time over which samples are gathered before the limit moves.
const WINDOW: Duration = Duration::from_millis(250);

/// Samples that a window needs at least.
const MIN_SAMPLES: u32 = 8;

/// Share of samples that may be late: the targets hold for 95 in 100.
const MAX_LATE_SHARE: f64 = 0.05;

/// Factor of a decrease.
const DECREASE: f64 = 0.9;

/// Requests added by an increase.
const INCREASE: f64 = 1.0;
