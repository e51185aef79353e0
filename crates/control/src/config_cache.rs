//! The newest configuration revision that a process has received.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ConfigRevision, FleetConfig, HostName};

/// Number of peers that must have reported their revision before a process becomes ready without
/// the table service.
const PEERS_FOR_READY: usize = 3;

/// Where a configuration or a revision number was received from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The table service, or a transaction that it has just committed.
    Table,
    /// Another entry, which is ready itself.
    Peer(HostName),
}

/// Caches the newest configuration, never reverts to a lower revision and decides when the process
/// may act on it.
///
/// A process that starts during an outage of the table service cannot know which revision is the
/// newest, so it queries several peers. It becomes ready once the table or enough peers have
/// answered and it holds the highest revision that any of them reported.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    config: Option<Arc<FleetConfig>>,
    highest_reported: ConfigRevision,
    table_answered: bool,
    reporting_peers: BTreeSet<HostName>,
    ready: bool,
    confirmed_at: Option<Instant>,
}

impl ConfigCache {
    /// Stores `config` if it is newer than the cached one, and returns whether it is.
    pub fn update(&mut self, config: FleetConfig, source: &ConfigSource, now: Instant) -> bool {
        let revision = config.revision;
        let is_newer = self.config.as_ref().is_none_or(|it| it.revision < revision);
        if is_newer {
            self.config = Some(Arc::new(config));
        }
        self.observe_revision(revision, source, now);
        is_newer
    }

    /// Records that `source` reported `revision` as the newest that it has.
    pub fn observe_revision(
        &mut self,
        revision: ConfigRevision,
        source: &ConfigSource,
        now: Instant,
    ) {
        self.highest_reported = self.highest_reported.max(revision);
        match source {
            ConfigSource::Table => self.table_answered = true,
            ConfigSource::Peer(host) => drop(self.reporting_peers.insert(host.clone())),
        }
        let held = self.config.as_ref().map(|it| it.revision);
        let is_newest = held.is_some_and(|it| it >= self.highest_reported);
        if is_newest {
            self.confirmed_at = Some(now);
        }
        let enough_sources = self.table_answered || self.reporting_peers.len() >= PEERS_FOR_READY;
        self.ready |= is_newest && enough_sources;
    }

    /// Returns the configuration, or `None` while this process may not act on it yet.
    pub fn ready_config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref().filter(|_| self.ready)
    }

    /// Returns the cached revision, whether or not the process is ready.
    pub fn held_revision(&self) -> Option<ConfigRevision> {
        self.config.as_ref().map(|it| it.revision)
    }

    /// Returns when the table or a peer last reported a revision while no higher one than the cached
    /// revision was known.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since [`ConfigCache::confirmed_at`].
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|it| now.saturating_duration_since(it))
    }
}
