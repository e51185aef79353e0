//! Counters of started, finished and cancelled runs by key.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

/// Numbers of started, finished and cancelled runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunCount {
    /// Number of started runs.
    pub started: u32,
    /// Number of runs that completed.
    pub finished: u32,
    /// Number of runs that were aborted before completion.
    pub cancelled: u32,
}

/// Counts runs by key, such as a request ID, an idempotency key or a prompt.
#[derive(Clone, Debug, Default)]
pub struct RunCounters {
    counts: BTreeMap<String, RunCount>,
    start_times: Vec<Instant>,
}

impl RunCounters {
    /// Returns the counts of `key`.
    pub fn get(&self, key: &str) -> RunCount {
        self.counts.get(key).copied().unwrap_or_default()
    }

    /// Iterates over all keys with their counts, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, RunCount)> {
        self.counts
            .iter()
            .map(|(key, count)| (key.as_str(), *count))
    }

    /// Returns the number of runs that started after `since`.
    pub fn started_after(&self, since: Instant) -> usize {
        self.start_times.iter().filter(|it| **it > since).count()
    }

    /// Returns the total number of started runs.
    pub fn started(&self) -> usize {
        self.start_times.len()
    }

    /// Returns the number of keys with more than one started run.
    pub fn keys_started_twice(&self) -> usize {
        self.counts.values().filter(|it| it.started > 1).count()
    }

    pub(crate) fn start(&mut self, key: &str, now: Instant) -> u32 {
        self.start_times.push(now);
        let count = self.counts.entry(key.to_owned()).or_default();
        count.started += 1;
        count.started
    }

    pub(crate) fn finish(&mut self, key: &str) {
        self.counts.entry(key.to_owned()).or_default().finished += 1;
    }

    pub(crate) fn cancel(&mut self, key: &str) {
        self.counts.entry(key.to_owned()).or_default().cancelled += 1;
    }
}
