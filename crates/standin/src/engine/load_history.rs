//! The load that an engine reports, which lags.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A load report as an engine gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Requests in the batch.
    pub in_flight: usize,
    /// Requests that wait for a place.
    pub waiting: usize,
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Share of the KV cache that is used.
    pub kv_used_share: f64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Past reports, of which the one as old as the lag is shown.
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

    /// Returns the time between two reports that are worth recording.
    pub(crate) fn interval(&self) -> Duration {
        (self.lag / 4).clamp(Duration::from_millis(20), Duration::from_millis(250))
    }

    pub(crate) fn record(&mut self, report: EngineLoadReport, now: Instant) {
        self.reports.push_back((now, report));
        while self.reports.len() > 2 && now.duration_since(self.reports[1].0) >= self.lag {
            self.reports.pop_front();
        }
    }

    pub(crate) fn shown(&self, now: Instant) -> EngineLoadReport {
        let old_enough = |it: &&(Instant, EngineLoadReport)| now.duration_since(it.0) >= self.lag;
        let Some((at, report)) = self.reports.iter().rfind(old_enough) else {
            return EngineLoadReport::default();
        };
        EngineLoadReport {
            age_ms: now.duration_since(*at).as_millis() as u64,
            ..*report
        }
    }
}
