//! Determines which versions of the weights of a model may serve a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::store_interval::StoreInterval;
use crate::store_timeline::millis_ceil;

/// Versions that may currently serve a request for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRequirement {
    /// Newest declared version.
    pub newest: u64,
    /// Oldest version that may still serve requests.
    pub oldest_allowed: u64,
    /// Later increases of `oldest_allowed` in order, as far as they are known.
    pub pending: Vec<PendingSwitch>,
}

/// A version that has not taken effect yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingSwitch {
    /// Version that will become the oldest allowed one.
    pub version: u64,
    /// Time until then.
    pub remaining: Duration,
}

impl VersionRequirement {
    /// Returns the time after which a request must not start on `loaded` weights any more, if it is known.
    ///
    /// Every pending version counts: weights that satisfy the next one may be too old for the one after it.
    pub fn time_to_switch(&self, loaded: Option<u64>) -> Option<Duration> {
        if loaded < Some(self.oldest_allowed) {
            return Some(Duration::ZERO);
        }
        let replacing = self.pending.iter().find(|it| loaded < Some(it.version));
        replacing.map(|it| it.remaining)
    }
}

/// What a message about a declaration has changed in a [`VersionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclarationChange {
    /// The version was unknown.
    New,
    /// The bounds of its time have become narrower; they were these before.
    Narrowed(StoreInterval),
    /// The bounds of its time contradict these, which were known before; the earlier ones are kept.
    Contradicted(StoreInterval),
    /// Nothing, or the version had been replaced before.
    None,
}

/// Declared versions by model, with the bounds of the time of each declaration on the store's clock.
#[derive(Clone, Debug)]
pub struct VersionTable {
    switch_ms: u64,
    models: BTreeMap<String, BTreeMap<u64, StoreInterval>>,
    /// Versions about whose times contradictory messages have arrived.
    contradicted: BTreeSet<(String, u64)>,
}

impl VersionTable {
    /// Creates a table in which a declared version takes effect `switch_time` after its declaration.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_ms: u64::try_from(switch_time.as_millis()).unwrap_or(u64::MAX),
            models: BTreeMap::new(),
            contradicted: BTreeSet::new(),
        }
    }

    /// Records that `version` of `model` was declared at some time in `declared`.
    ///
    /// Later calls narrow the time, and supply versions that this process missed because it started after a newer version
    /// had replaced them in the store.
    pub fn declare(
        &mut self,
        model: &str,
        version: u64,
        declared: StoreInterval,
    ) -> DeclarationChange {
        let versions = self.models.entry(model.to_owned()).or_default();
        let before = versions.get(&version).copied();
        let after = before.map_or(declared, |it| it.merge(declared));
        versions.insert(version, after);
        // Versions that had been replaced by then are no longer needed. Those that may not have taken effect are kept,
        // however many there are: without them, older ones would be allowed for longer.
        let was_in_effect = |it: &StoreInterval| {
            let switch_ms = it.not_after_ms.saturating_add(self.switch_ms);
            switch_ms <= declared.not_before_ms
        };
        let newest_in_effect = versions.iter().rev().find(|it| was_in_effect(it.1));
        if let Some(oldest) = newest_in_effect.map(|it| *it.0) {
            *versions = versions.split_off(&oldest);
        }
        let Some(before) = before else {
            let is_kept = versions.contains_key(&version);
            return if is_kept {
                DeclarationChange::New
            } else {
                DeclarationChange::None
            };
        };
        if before.contradicts(declared) {
            let is_first = self.contradicted.insert((model.to_owned(), version));
            if is_first || before != after {
                return DeclarationChange::Contradicted(before);
            }
        } else if before != after {
            return DeclarationChange::Narrowed(before);
        }
        DeclarationChange::None
    }

    /// Lowers the earliest times of all declarations, after the store's clock has been set back by at most `set_back`.
    pub fn set_back(&mut self, set_back: Duration) {
        let set_back_ms = millis_ceil(set_back);
        for declared in self.models.values_mut().flat_map(BTreeMap::values_mut) {
            declared.not_before_ms = declared.not_before_ms.saturating_sub(set_back_ms);
        }
    }

    /// Returns the newest declared version.
    pub fn newest(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.keys().next_back().copied()
    }

    /// Returns when `version` was declared, or `None` for a version that is not stored.
    pub fn declared(&self, model: &str, version: u64) -> Option<StoreInterval> {
        self.models.get(model)?.get(&version).copied()
    }

    /// Returns all stored versions, with the time at which each was declared.
    pub fn all(&self) -> impl Iterator<Item = (&str, u64, StoreInterval)> {
        self.models.iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(|(version, declared)| (model.as_str(), *version, *declared))
        })
    }

    /// Returns when `version` was declared if the operator's row, which names it, was committed at some time in `committed`. A
    /// copy of the row that was complete at `copy_complete_ms` on the store's clock, or 0 without a copy, did not name it yet.
    ///
    /// The row names only the newest version. Unless the one before it is known, others may have been declared since the copy
    /// and replaced, so older weights are allowed as if that had been at once.
    pub fn declared_by_row(
        &self,
        model: &str,
        version: u64,
        committed: StoreInterval,
        copy_complete_ms: u64,
    ) -> StoreInterval {
        let known = self.models.get(model);
        let is_next = version <= FIRST_DECLARED_VERSION
            || known.is_some_and(|it| it.contains_key(&(version - 1)));
        if is_next {
            return committed;
        }
        StoreInterval {
            not_before_ms: committed.not_before_ms.min(copy_complete_ms),
            ..committed
        }
    }

    /// Returns the versions of each model that may not have taken effect yet and the newest one that has, if the store's clock
    /// shows `earliest_ms` or later.
    ///
    /// The newest one is returned for as long as it is in effect: an entry that was suspended or cut off may read its
    /// declaration at any later time. One of an unknown time is returned too if the time of a newer one is known: a receiver
    /// that learned only the newer one would allow for longer what the older one forbids.
    pub fn recent_declarations(&self, earliest_ms: Option<u64>) -> Vec<(&str, u64, StoreInterval)> {
        let mut recent = Vec::new();
        for (model, versions) in &self.models {
            let newest_first = versions.iter().rev().skip_while(|it| !it.1.is_dated());
            let is_in_effect = |it: &StoreInterval| {
                let switch_ms = it.not_after_ms.saturating_add(self.switch_ms);
                earliest_ms.is_some_and(|it| switch_ms <= it)
            };
            let pending = newest_first.clone();
            let pending = pending.take_while(|it| !is_in_effect(it.1)).count();
            let all = newest_first.map(|it| (model.as_str(), *it.0, *it.1));
            recent.extend(all.take(pending + 1));
        }
        recent
    }

    /// Returns the versions that may serve a request for `model`, or `None` if no version was declared.
    ///
    /// `latest_ms` is the latest time that the store's clock can show now. Without it, all versions count as in effect.
    pub fn requirement(&self, model: &str, latest_ms: Option<u64>) -> Option<VersionRequirement> {
        let versions = self.models.get(model)?;
        let newest = *versions.keys().next_back()?;
        let mut oldest_allowed = 0;
        let mut pending = Vec::new();
        // A version was acknowledged before those that replace it, so it takes effect no later than they do, even if
        // its own declaration became known here only after theirs.
        let mut remaining = Duration::from_millis(self.switch_ms);
        for (version, declared) in versions.iter().rev() {
            remaining = remaining.min(self.time_to_switch(*declared, latest_ms));
            if remaining.is_zero() {
                oldest_allowed = *version;
                break;
            }
            pending.push(PendingSwitch {
                version: *version,
                remaining,
            });
        }
        pending.reverse();
        Some(VersionRequirement {
            newest,
            oldest_allowed,
            pending,
        })
    }

    /// Returns the time until a version can take effect at the earliest that no process has told of, or `None` if it is not
    /// known.
    ///
    /// A copy of the operator's rows that was complete at `copy_complete_ms` on the store's clock, or 0 without one, names all
    /// versions that had been acknowledged by then, so any other one was acknowledged later.
    pub fn time_to_unknown_switch(
        &self,
        copy_complete_ms: u64,
        latest_ms: Option<u64>,
    ) -> Option<Duration> {
        let latest_ms = latest_ms.filter(|_| copy_complete_ms > 0)?;
        let switch_ms = copy_complete_ms.saturating_add(self.switch_ms);
        Some(Duration::from_millis(switch_ms.saturating_sub(latest_ms)))
    }

    /// Returns the time until a version takes effect that was declared at `declared`, as early as it can have been.
    fn time_to_switch(&self, declared: StoreInterval, latest_ms: Option<u64>) -> Duration {
        let Some(latest_ms) = latest_ms.filter(|_| declared.is_dated()) else {
            return Duration::ZERO;
        };
        if declared.not_before_ms > latest_ms.saturating_add(MAX_AHEAD_MS) {
            return Duration::ZERO;
        }
        let switch_ms = declared.not_before_ms.saturating_add(self.switch_ms);
        Duration::from_millis(switch_ms.saturating_sub(latest_ms))
    }
}

/// The first version that is declared; replicas may have the one before from the start.
const FIRST_DECLARED_VERSION: u64 = 2;

/// How far a declaration may lie ahead of the store's clock. A time further ahead was taken on another clock and shows
/// nothing.
const MAX_AHEAD_MS: u64 = 1000;
