//! Deadlines by which a replica must serve newly declared versions of its weights.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_interval::StoreInterval;

/// Declared versions of one model, with the bounds of the time of each declaration on the store's clock.
#[derive(Clone, Debug)]
pub struct SwitchDeadlines {
    /// Time from a declaration until entries stop using older weights.
    switch_time: Duration,
    transfer_time: Duration,
    declared: BTreeMap<u64, StoreInterval>,
}

impl SwitchDeadlines {
    /// Creates a record in which requests must not start on older versions from `switch_bound` after a declaration on, and
    /// entries stop sending them `reserve` earlier.
    pub fn new(switch_bound: Duration, reserve: Duration) -> Self {
        Self {
            switch_time: switch_bound.saturating_sub(reserve),
            transfer_time: switch_bound / TRANSFER_DIVISOR,
            declared: BTreeMap::new(),
        }
    }

    /// Records that `version` was declared at some time in `declared`.
    pub fn declare(&mut self, version: u64, declared: StoreInterval) {
        let known = self.declared.entry(version).or_insert(declared);
        *known = known.merge(declared);
        while self.declared.len() > MAX_VERSIONS {
            self.declared.pop_first();
        }
    }

    /// Returns the time on the store's clock from which a replica that serves version `serving` gets no more requests: the first
    /// newer version is about to take effect, even if this replica skips it in favour of an even newer one.
    pub fn deadline(&self, serving: u64) -> Option<Duration> {
        let (_, declared) = self.declared.range(serving + 1..).next()?;
        Some(self.switch(*declared))
    }

    /// Returns the time on the store's clock at which entries stop using versions before one that was declared at `declared`.
    fn switch(&self, declared: StoreInterval) -> Duration {
        Duration::from_millis(declared.not_before_ms).saturating_add(self.switch_time)
    }

    /// Returns the version that a replica is to load next if it serves version `serving`, or none.
    ///
    /// This is the newest version or the one before it, whichever leaves the replica without an allowed version for less
    /// time: finishing the previous version costs a further load and delays the newest one, skipping it leaves nothing
    /// to serve if the newest one arrives too late. `staged_share` returns the share of the pieces of a version that are
    /// staged, and `now` is the latest time that the store's clock can show; without it, the newest one is loaded. See `docs/decisions/0044-versions-in-a-row.md`.
    pub fn version_to_load(
        &self,
        serving: Option<u64>,
        staged_share: impl Fn(u64) -> f64,
        now: Option<Duration>,
    ) -> u64 {
        let mut newest_first = self.declared.iter().rev();
        let Some((newest, newest_declared)) = newest_first.next() else {
            return serving.unwrap_or_default();
        };
        let previous = newest_first.next().map(|it| *it.0);
        let previous = previous.filter(|it| serving < Some(*it));
        let (Some(previous), Some(now)) = (previous, now) else {
            return *newest;
        };
        let serving_ends = serving.and_then(|it| self.deadline(it)).unwrap_or(now);
        let switch = self.switch(*newest_declared);
        let whole_at = |version: u64, start: Duration| {
            start
                + self
                    .transfer_time
                    .mul_f64(1.0 - staged_share(version).clamp(0.0, 1.0))
        };
        let previous_whole = whole_at(previous, now);
        if previous_whole + LOAD_TIME >= switch {
            return *newest;
        }
        let newest_after_previous = whole_at(*newest, previous_whole + LOAD_TIME);
        let skip_cost = LOAD_TIME + whole_at(*newest, now).saturating_sub(serving_ends.max(now));
        let finish_cost = 2 * LOAD_TIME
            + previous_whole.saturating_sub(serving_ends.max(now))
            + newest_after_previous.saturating_sub(switch);
        if finish_cost < skip_cost {
            previous
        } else {
            *newest
        }
    }
}

/// Part of the time from a declaration to its bound that a transfer takes if nothing disturbs it.
const TRANSFER_DIVISOR: u32 = 2;

/// Time for which a replica takes no requests during a load, because the streams in progress end first.
const LOAD_TIME: Duration = Duration::from_millis(1000);

/// Maximum number of stored versions; older ones took effect long ago.
const MAX_VERSIONS: usize = 8;
