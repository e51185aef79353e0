//! Load reports of an engine, which are published with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A load report as an engine publishes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Number of requests in the batch.
    pub in_flight: usize,
    /// Number of requests waiting for a slot in the batch.
    pub waiting: usize,
    /// Estimated number of tokens generated per second by all requests in the batch.
    pub tokens_per_s: f64,
    /// Used fraction of the prefix cache, from 0 to 1.
    pub kv_used_share: f64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Recent load reports. The newest one that is at least as old as the lag is published.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, EngineLoadReport)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            reports: VecDeque::new(),
        }
    }

    /// Returns the interval at which reports should be recorded: a quarter of the lag, between 20 ms and 250 ms.
    pub(crate) fn recording_interval(&self) -> Duration {
        (self.lag / 4).clamp(Duration::from_millis(20), Duration::from_millis(250))
    }

    /// Records a report and drops those that are too old to be published again.
    pub(crate) fn record(&mut self, report: EngineLoadReport, now: Instant) {
        self.reports.push_back((now, report));
        while self.reports.len() > 2 && now.duration_since(self.reports[1].0) >= self.lag {
            self.reports.pop_front();
        }
    }

    /// Returns the report to publish at `now`, or an empty one if no report is old enough.
    pub(crate) fn published(&self, now: Instant) -> EngineLoadReport {
        let old_enough = |it: &&(Instant, EngineLoadReport)| now.duration_since(it.0) >= self.lag;
        let Some((recorded_at, report)) = self.reports.iter().rfind(old_enough) else {
            return EngineLoadReport::default();
        };
        EngineLoadReport {
            age_ms: now.duration_since(*recorded_at).as_millis() as u64,
            ..*report
        }
    }
}
