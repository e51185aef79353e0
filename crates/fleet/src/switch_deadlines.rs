//! Deadlines by which a replica must serve newly declared versions of its weights.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Declared versions of one model, with the time at which each became known.
#[derive(Clone, Debug)]
pub struct SwitchDeadlines {
    switch_time: Duration,
    declared: BTreeMap<u64, Instant>,
}

impl SwitchDeadlines {
    /// Creates a record in which a version takes effect `switch_time` after its declaration: from then on, requests do
    /// not start on older versions.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_time,
            declared: BTreeMap::new(),
        }
    }

    /// Records that the declaration of `version` was known at `known_since`.
    pub fn declare(&mut self, version: u64, known_since: Instant) {
        let time = self.declared.entry(version).or_insert(known_since);
        *time = known_since.min(*time);
        while self.declared.len() > MAX_VERSIONS {
            self.declared.pop_first();
        }
    }

    /// Records that `version` was declared at an unknown time, so it may already have taken effect.
    pub fn declare_at_unknown_time(&mut self, version: u64, now: Instant) {
        self.declare(version, now.checked_sub(self.switch_time).unwrap_or(now));
    }

    /// Returns the time from which a replica that serves version `serving` is too old: the first newer version takes
    /// effect, even if this replica skips it in favour of an even newer one.
    pub fn deadline(&self, serving: u64) -> Option<Instant> {
        let (_, declared) = self.declared.range(serving + 1..).next()?;
        Some(*declared + self.switch_time)
    }

    /// Returns whether `version` is worth fetching: it is the newest version, or it takes effect so soon that the
    /// newest version cannot be fetched before.
    pub fn should_fetch(&self, version: u64, now: Instant) -> bool {
        let is_newest = self.declared.keys().next_back() <= Some(&version);
        let remaining = version.checked_sub(1).and_then(|it| self.deadline(it));
        let remaining = remaining.map(|it| it.saturating_duration_since(now));
        is_newest || remaining.is_some_and(|it| it < self.switch_time / 2)
    }
}

/// Maximum number of stored versions; older ones took effect long ago.
const MAX_VERSIONS: usize = 8;
