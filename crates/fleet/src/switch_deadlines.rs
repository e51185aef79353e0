//! Until when a replica must serve the declared versions of its model's weights.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Declared versions of one model with the time at which each became known.
#[derive(Clone, Debug)]
pub struct SwitchDeadlines {
    switch_time: Duration,
    declared: BTreeMap<u64, Instant>,
}

impl SwitchDeadlines {
    /// Creates a record in which requests begin on nothing older than a version `switch_time` after it was declared.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_time,
            declared: BTreeMap::new(),
        }
    }

    /// Notes that `version` is known to be declared since `known`.
    pub fn declare(&mut self, version: u64, known: Instant) {
        let time = self.declared.entry(version).or_insert(known);
        *time = known.min(*time);
        while self.declared.len() > KEPT_VERSIONS {
            self.declared.pop_first();
        }
    }

    /// Notes that `version` was declared at an unknown time, so that it may be in force already.
    pub fn declare_old(&mut self, version: u64, now: Instant) {
        self.declare(version, now.checked_sub(self.switch_time).unwrap_or(now));
    }

    /// Returns the time from which a replica that serves `serving` is of no use: the first newer version is in force,
    /// also when it is skipped for one that is newer still.
    pub fn deadline(&self, serving: u64) -> Option<Instant> {
        let (_, declared) = self.declared.range(serving + 1..).next()?;
        Some(*declared + self.switch_time)
    }

    /// Says whether fetching `version` is of use: it is the newest one, or the newest one cannot be there before this one
    /// is in force.
    pub fn is_wanted(&self, version: u64, now: Instant) -> bool {
        let is_newest = self.declared.keys().next_back() <= Some(&version);
        let left = version.checked_sub(1).and_then(|it| self.deadline(it));
        let left = left.map(|it| it.saturating_duration_since(now));
        is_newest || left.is_some_and(|it| it < self.switch_time / 2)
    }
}

/// Versions that are remembered; older ones are long in force.
const KEPT_VERSIONS: usize = 8;
