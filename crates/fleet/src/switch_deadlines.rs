//! Deadlines by which a replica must serve newly declared versions of its weights.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_interval::StoreInterval;

/// What an agent has and fetches while versions are declared in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionPlan {
    /// Version whose pieces are staged at the replica.
    pub staged: u64,
    /// Newer version whose pieces are kept in the agent's memory meanwhile. The origin sends them only after the last piece of
    /// the staged version, whose deadline is earlier.
    pub ahead: Option<u64>,
}

/// Shares of the pieces of a version, in 0..1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PieceShares {
    /// Share that this agent has.
    pub own: f64,
    /// Share that this agent or one of its neighbors has, which needs no origin.
    pub swarm: f64,
}

/// Declared versions of one model, with the bounds of the time of each declaration on the store's clock.
#[derive(Clone, Debug)]
pub struct SwitchDeadlines {
    /// Time from a declaration until entries stop using older weights.
    switch_time: Duration,
    transfer_time: Duration,
    /// Time that the link of the origin takes for one copy.
    copy_time: Duration,
    declared: BTreeMap<u64, StoreInterval>,
}

impl SwitchDeadlines {
    /// Creates a record in which requests must not start on older versions from `switch_bound` after a declaration on, and
    /// entries stop sending them `reserve` earlier.
    pub fn new(switch_bound: Duration, reserve: Duration) -> Self {
        Self {
            switch_time: switch_bound.saturating_sub(reserve),
            transfer_time: switch_bound / TRANSFER_DIVISOR,
            copy_time: switch_bound / TRANSFER_DIVISOR,
            declared: BTreeMap::new(),
        }
    }

    /// Sets the time that the origin's link takes for one copy. Without it, a copy takes half of the time until the bound.
    pub fn set_copy_time(&mut self, copy_time: Duration) {
        self.copy_time = copy_time;
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

    /// Returns what an agent stages and fetches if its replica serves version `serving`, earliest deadline first.
    ///
    /// The previous version is staged first if the newest one can still be whole by its own switch afterwards, or if the
    /// swarm has all pieces of the previous one, which then takes nothing from the newest one. Otherwise only the newest
    /// one is fetched. `shares` returns what is known of the pieces of a version, and `now` is the latest time that the
    /// store's clock can show. A replica whose version has ended follows [`Self::version_to_load`].
    pub fn plan(
        &self,
        serving: Option<u64>,
        shares: impl Fn(u64) -> PieceShares,
        now: Option<Duration>,
    ) -> VersionPlan {
        let only = |staged| VersionPlan {
            staged,
            ahead: None,
        };
        let mut newest_first = self.declared.iter().rev();
        let newest = newest_first.next();
        let previous = newest_first.next().map(|it| *it.0);
        let previous = previous.filter(|it| serving < Some(*it));
        let ends = serving.and_then(|it| self.deadline(it));
        let (Some((newest, declared)), Some(previous), Some(ends), Some(now)) =
            (newest, previous, ends, now.filter(|it| ends > Some(*it)))
        else {
            return only(self.version_to_load(serving, |it| shares(it).own, now));
        };
        let (older, newer) = (shares(previous), shares(*newest));
        let is_whole = |share: f64| share >= 1.0;
        let is_superseded = is_whole(newer.swarm) && !is_whole(older.own);
        if is_whole(newer.own) || is_superseded {
            return only(*newest);
        }
        let switch = self.switch(*declared);
        let rest = self.origin_time(older.swarm);
        let spread = if is_whole(older.own) {
            Duration::ZERO
        } else {
            SPREAD_TIME
        };
        let is_useful = now + rest + spread + LOAD_TIME < switch;
        let newest_whole = now + rest + self.origin_time(newer.swarm) + SPREAD_TIME;
        let is_affordable = is_whole(older.swarm) || newest_whole + LOAD_TIME <= switch;
        // Nothing is gained before the served version ends, so a previous version that ends with it is of no use.
        if !is_useful || !is_affordable || ends >= switch {
            return only(*newest);
        }
        VersionPlan {
            staged: previous,
            ahead: is_whole(older.swarm).then_some(*newest),
        }
    }

    /// Returns whether a staged `version` is to be loaded now; `position` is the rollout position in 0..1.
    ///
    /// The newest version is always loaded. An older one is loaded only if the newest one, of which the swarm has
    /// `newest_share`, will not be whole before the served version ends, because each load costs the replica
    /// requests. These loads are spread over the last seconds before that end.
    pub fn is_load_due(
        &self,
        serving: Option<u64>,
        version: u64,
        newest_share: f64,
        position: f64,
        now: Option<Duration>,
    ) -> bool {
        let ends = serving.and_then(|it| self.deadline(it));
        let (Some(ends), Some(now)) = (ends, now) else {
            return true;
        };
        let window = INSURANCE_WINDOW.mul_f64(1.0 - position.clamp(0.0, 1.0));
        let newest_whole = now + self.origin_time(newest_share) + SPREAD_TIME;
        let is_last_chance = now + LOAD_TIME + window >= ends;
        !self.has_successor(version) || (is_last_chance && newest_whole > ends)
    }

    /// Returns whether a version newer than `version` is declared.
    pub fn has_successor(&self, version: u64) -> bool {
        self.declared.range(version + 1..).next().is_some()
    }

    /// Returns the time that the origin takes for the rest of a version of which `share` has been sent.
    fn origin_time(&self, share: f64) -> Duration {
        self.copy_time.mul_f64(1.0 - share.clamp(0.0, 1.0))
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

/// Time that the last piece takes from the origin to all agents, some six steps between them.
const SPREAD_TIME: Duration = Duration::from_millis(1000);

/// Time over which the loads of a version that has a successor are spread; two load times, so that at most half of the
/// replicas load at once.
const INSURANCE_WINDOW: Duration = Duration::from_millis(2000);

/// Maximum number of stored versions; older ones took effect long ago.
const MAX_VERSIONS: usize = 8;
