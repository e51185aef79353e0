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

    /// Returns the version that a replica is to load next if it serves version `serving`, or none.
    ///
    /// This is the newest version or the one before it, whichever leaves the replica without an allowed version for less
    /// time: finishing the previous version costs a further load and delays the newest one, skipping it leaves nothing
    /// to serve if the newest one arrives too late. `staged_share` returns the share of the pieces of a version that are
    /// staged. See `docs/decisions/0044-versions-in-a-row.md`.
    pub fn version_to_load(
        &self,
        serving: Option<u64>,
        staged_share: impl Fn(u64) -> f64,
        now: Instant,
    ) -> u64 {
        let mut newest_first = self.declared.iter().rev();
        let Some((newest, newest_declared)) = newest_first.next() else {
            return serving.unwrap_or_default();
        };
        let previous = newest_first.next().map(|it| *it.0);
        let Some(previous) = previous.filter(|it| serving < Some(*it)) else {
            return *newest;
        };
        let serving_ends = serving.and_then(|it| self.deadline(it)).unwrap_or(now);
        let switch = *newest_declared + self.switch_time;
        let transfer_time = self.switch_time / TRANSFER_DIVISOR;
        let whole_at = |version: u64, start: Instant| {
            start + transfer_time.mul_f64(1.0 - staged_share(version).clamp(0.0, 1.0))
        };
        let previous_whole = whole_at(previous, now);
        if previous_whole + LOAD_TIME >= switch {
            return *newest;
        }
        let newest_after_previous = whole_at(*newest, previous_whole + LOAD_TIME);
        let skip_cost =
            LOAD_TIME + whole_at(*newest, now).saturating_duration_since(serving_ends.max(now));
        let finish_cost = 2 * LOAD_TIME
            + previous_whole.saturating_duration_since(serving_ends.max(now))
            + newest_after_previous.saturating_duration_since(switch);
        if finish_cost < skip_cost {
            previous
        } else {
            *newest
        }
    }
}

/// Part of the switch time that a transfer takes if nothing disturbs it.
const TRANSFER_DIVISOR: u32 = 2;

/// Time for which a replica takes no requests during a load, because the streams in progress end first.
const LOAD_TIME: Duration = Duration::from_millis(1000);

/// Maximum number of stored versions; older ones took effect long ago.
const MAX_VERSIONS: usize = 8;
