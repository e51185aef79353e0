//! Counts of what ran.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

/// How often some work was started, finished and cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunCount {
    /// Runs that were started.
    pub started: u32,
    /// Runs that came to their end.
    pub finished: u32,
    /// Runs that were given up in between.
    pub cancelled: u32,
}

/// Counts runs by a key: a request id, an idempotency key or a prompt.
#[derive(Clone, Debug, Default)]
pub struct RunCounters {
    counts: BTreeMap<String, RunCount>,
    starts: Vec<Instant>,
}

impl RunCounters {
    /// Returns the count under `key`.
    pub fn get(&self, key: &str) -> RunCount {
        self.counts.get(key).copied().unwrap_or_default()
    }

    /// Iterates over all keys and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (&str, RunCount)> {
        self.counts
            .iter()
            .map(|(key, count)| (key.as_str(), *count))
    }

    /// Returns the number of runs that started after `since`.
    pub fn started_after(&self, since: Instant) -> usize {
        self.starts.iter().filter(|it| **it > since).count()
    }

    /// Returns the number of runs that started.
    pub fn started(&self) -> usize {
        self.starts.len()
    }

    /// Returns the number of keys under which more than one run started.
    pub fn keys_started_twice(&self) -> usize {
        self.counts.values().filter(|it| it.started > 1).count()
    }

    pub(crate) fn start(&mut self, key: &str, now: Instant) -> u32 {
        self.starts.push(now);
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
