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
    /// This is the newest version, or the one before it if its transfer has most likely progressed: if the origin became
    /// unavailable now, a version that is almost transferred could be served long before one that has just been
    /// declared. If `has_holder` says that a replica already serves the newest version, that one is transferred within
    /// seconds, while the one before it may no longer be served by any. `has_progress` says whether the agent has pieces of
    /// a version, or a replica serves it: a version that was declared while nobody could learn of it has no head start,
    /// and agents that know it would be separated from those that do not.
    pub fn version_to_load(
        &self,
        serving: Option<u64>,
        has_holder: impl Fn(u64) -> bool,
        has_progress: impl Fn(u64) -> bool,
        now: Instant,
    ) -> u64 {
        let mut newest_first = self.declared.iter().rev();
        let Some((newest, newest_declared)) = newest_first.next() else {
            return serving.unwrap_or_default();
        };
        let Some((previous, previous_declared)) = newest_first.next() else {
            return *newest;
        };
        let head_start = newest_declared.saturating_duration_since(*previous_declared);
        let reserve = self.switch_time / LOAD_RESERVE_DIVISOR;
        let is_last_chance = now + reserve >= *newest_declared + self.switch_time;
        let is_served = serving >= Some(*previous);
        let is_too_early = head_start < self.switch_time / MIN_HEAD_START_DIVISOR;
        let is_hopeless = is_served || is_last_chance || is_too_early;
        if is_hopeless || has_holder(*newest) || !has_progress(*previous) {
            *newest
        } else {
            *previous
        }
    }
}

/// Part of the switch time that a version must have been declared before the newest one to be loaded first. Deadlines
/// leave time for about three transfers from the origin, so this is a third of a transfer.
const MIN_HEAD_START_DIVISOR: u32 = 10;

/// Part of the switch time before the newest version takes effect in which the one before it is not worth loading any
/// more: replicas need about as long to load staged weights.
const LOAD_RESERVE_DIVISOR: u32 = 16;

/// Maximum number of stored versions; older ones took effect long ago.
const MAX_VERSIONS: usize = 8;
