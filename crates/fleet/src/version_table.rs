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
}

/// Declared versions by model.
#[derive(Clone, Debug)]
pub struct VersionTable {
    switch_time: Duration,
    models: BTreeMap<String, BTreeMap<u64, Instant>>,
}

impl VersionTable {
    /// Creates a table in which a declared version is in force `switch_time` after it became known.
    pub fn new(switch_time: Duration) -> Self {
        Self {
            switch_time,
            models: BTreeMap::new(),
        }
    }

    /// Notes that `version` of `model` is declared and was first known at `known`; returns whether it is news.
    pub fn declare(&mut self, model: &str, version: u64, known: Instant) -> bool {
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

    /// Returns what a request for `model` may begin on at `now`, or `None` when no version was ever declared.
    pub fn demand(&self, model: &str, now: Instant) -> Option<VersionDemand> {
        let versions = self.models.get(model)?;
        let newest = *versions.keys().next_back()?;
        let oldest_allowed = versions
            .iter()
            .rev()
            .find(|(_, known)| now.saturating_duration_since(**known) >= self.switch_time)
            .map_or(0, |(version, _)| *version);
        Some(VersionDemand {
            newest,
            oldest_allowed,
        })
    }

    /// Returns the declared versions of all models with the time at which each was first known.
    pub fn all(&self) -> impl Iterator<Item = (&str, u64, Instant)> {
        self.models
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(move |(v, at)| (model.as_str(), *v, *at)))
    }
}

/// Versions that are remembered per model; older ones are long out of force.
const KEPT_VERSIONS: usize = 8;
