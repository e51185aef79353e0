//! Determines which versions of the weights of a model may serve a request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Versions that may currently serve a request for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRequirement {
    /// Newest declared version.
    pub newest: u64,
    /// Oldest version that may still serve requests.
    pub oldest_allowed: u64,
    /// The next increase of `oldest_allowed`, if known.
    pub next_switch: Option<NextSwitch>,
}

/// The next version to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextSwitch {
    /// Version that will become the oldest allowed one.
    pub version: u64,
    /// Time until then.
    pub remaining: Duration,
}

/// Declared versions by model.
#[derive(Clone, Debug)]
pub struct VersionTable {
    switch_time: Duration,
    /// Time at which each version became known, or `None` if it was declared earlier at an unknown time.
    models: BTreeMap<String, BTreeMap<u64, Option<Instant>>>,
}

impl VersionTable {
    /// Creates a table in which a declared version takes effect `switch_time` after it became known.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_time,
            models: BTreeMap::new(),
        }
    }

    /// Records that `version` of `model` is declared; returns whether it was unknown before.
    ///
    /// `known_since` is the time at which the declaration became known, or `None` if it may be arbitrarily old, as for
    /// a process that has just started: such a version takes effect at once.
    pub fn declare(&mut self, model: &str, version: u64, known_since: Option<Instant>) -> bool {
        let versions = self.models.entry(model.to_owned()).or_default();
        if versions.contains_key(&version) {
            return false;
        }
        versions.insert(version, known_since);
        while versions.len() > MAX_VERSIONS {
            versions.pop_first();
        }
        true
    }

    /// Records that another process has known a version since `known_since`.
    ///
    /// This supplies an unknown time or an earlier one, and versions that this process missed because it started after
    /// a newer version had replaced them in the store.
    pub fn record_known_time(&mut self, model: &str, version: u64, known_since: Instant) {
        let Some(versions) = self.models.get_mut(model) else {
            return;
        };
        let time = versions.entry(version).or_insert(Some(known_since));
        *time = Some(time.map_or(known_since, |it| it.min(known_since)));
    }

    /// Returns all stored versions, with the time at which each became known.
    pub fn all(&self) -> impl Iterator<Item = (&str, u64, Option<Instant>)> {
        self.models.iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(|(version, known_since)| (model.as_str(), *version, *known_since))
        })
    }

    /// Returns the versions of each model that have not taken effect yet and the newest one that has, with their ages.
    /// Models whose newest version has taken effect are left out.
    pub fn recent_declarations(&self, now: Instant) -> Vec<(&str, u64, Duration)> {
        let mut recent = Vec::new();
        for (model, versions) in &self.models {
            let ages = versions.iter().rev().filter_map(|(version, known_since)| {
                Some((
                    model.as_str(),
                    *version,
                    now.saturating_duration_since((*known_since)?),
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

    /// Returns the versions that may serve a request for `model` at `now`, or `None` if no version was declared.
    pub fn requirement(&self, model: &str, now: Instant) -> Option<VersionRequirement> {
        let versions = self.models.get(model)?;
        let newest = *versions.keys().next_back()?;
        let oldest_allowed = versions
            .iter()
            .rev()
            .find(|(_, known_since)| {
                known_since.is_none_or(|it| now.saturating_duration_since(it) >= self.switch_time)
            })
            .map_or(0, |(version, _)| *version);
        let next_switch = versions
            .iter()
            .filter(|(version, _)| **version > oldest_allowed)
            .find_map(|(version, known_since)| {
                let age = now.saturating_duration_since((*known_since)?);
                Some(NextSwitch {
                    version: *version,
                    remaining: self.switch_time.saturating_sub(age),
                })
            });
        Some(VersionRequirement {
            newest,
            oldest_allowed,
            next_switch,
        })
    }
}

/// Maximum number of stored versions per model; older ones were replaced long ago.
const MAX_VERSIONS: usize = 8;
