//! Which version of each model's weights a request may begin on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a request for a model may begin on now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDemand {
    /// Newest version that was declared.
    pub newest: u64,
    /// Oldest version that may still serve.
    pub oldest_allowed: u64,
    /// Time until an older version than the next one may not serve any more, where that is known.
    pub next_switch: Option<NextSwitch>,
}

/// The next version to come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextSwitch {
    /// Version that will be the oldest one allowed.
    pub version: u64,
    /// Time until then.
    pub left: Duration,
}

/// Declared versions by model.
#[derive(Clone, Debug)]
pub struct VersionTable {
    switch_time: Duration,
    /// Versions with the time at which each became known; `None` for one that was declared at an unknown time before.
    models: BTreeMap<String, BTreeMap<u64, Option<Instant>>>,
}

impl VersionTable {
    /// Creates a table in which a declared version is in force `switch_time` after it became known.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_time,
            models: BTreeMap::new(),
        }
    }

    /// Notes that `version` of `model` is declared; returns whether it is news.
    ///
    /// `known` is the time at which the declaration became known, or `None` where it may be old, as for a process that
    /// has just started: such a version is in force at once.
    pub fn declare(&mut self, model: &str, version: u64, known: Option<Instant>) -> bool {
        let versions = self.models.entry(model.to_owned()).or_default();
        if versions.contains_key(&version) {
            return false;
        }
        versions.insert(version, known);
        while versions.len() > KEPT_VERSIONS {
            versions.pop_first();
        }
        true
    }

    /// Notes that another process has known a version since `known`.
    ///
    /// That tells the time of a version whose time is not known here or became known later, and of versions that newer
    /// ones hid from a process that started late.
    pub fn learn_time(&mut self, model: &str, version: u64, known: Instant) {
        let Some(versions) = self.models.get_mut(model) else {
            return;
        };
        let time = versions.entry(version).or_insert(Some(known));
        *time = Some(time.map_or(known, |it| it.min(known)));
    }

    /// Returns all versions that are remembered, with the time at which each became known.
    pub fn all(&self) -> impl Iterator<Item = (&str, u64, Option<Instant>)> {
        self.models.iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(|(version, known)| (model.as_str(), *version, *known))
        })
    }

    /// Returns the newest version of each model that is in force and those that are not yet, with their age; nothing of
    /// models whose newest version is in force.
    pub fn recent(&self, now: Instant) -> Vec<(&str, u64, Duration)> {
        let mut recent = Vec::new();
        for (model, versions) in &self.models {
            let ages = versions.iter().rev().filter_map(|(version, known)| {
                Some((
                    model.as_str(),
                    *version,
                    now.saturating_duration_since((*known)?),
                ))
            });
            let is_pending = |age: &Duration| *age < self.switch_time;
            let pending = ages.clone().take_while(|it| is_pending(&it.2)).count();
            if pending > 0 {
                recent.extend(ages.take(pending + 1));
            }
        }
        recent
    }

    /// Returns what a request for `model` may begin on at `now`, or `None` when no version was ever declared.
    pub fn demand(&self, model: &str, now: Instant) -> Option<VersionDemand> {
        let versions = self.models.get(model)?;
        let newest = *versions.keys().next_back()?;
        let oldest_allowed = versions
            .iter()
            .rev()
            .find(|(_, known)| {
                known.is_none_or(|it| now.saturating_duration_since(it) >= self.switch_time)
            })
            .map_or(0, |(version, _)| *version);
        let next_switch = versions
            .iter()
            .filter(|(version, _)| **version > oldest_allowed)
            .find_map(|(version, known)| {
                let age = now.saturating_duration_since((*known)?);
                Some(NextSwitch {
                    version: *version,
                    left: self.switch_time.saturating_sub(age),
                })
            });
        Some(VersionDemand {
            newest,
            oldest_allowed,
            next_switch,
        })
    }
}

/// Versions that are remembered per model; older ones are long out of force.
const KEPT_VERSIONS: usize = 8;
