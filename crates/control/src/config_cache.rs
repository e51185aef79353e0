//! The newest configuration that a process has seen.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{ConfigRevision, FleetConfig, HostName};

/// Peers whose answers make a process ready while the table does not answer.
const PEERS_FOR_READY: usize = 3;

/// Where word of a revision comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The table service, or a transaction that it has just committed.
    Table,
    /// Another entry that is ready itself.
    Peer(HostName),
}

/// Holds the newest configuration, never goes back to a lower revision and tells when it may be used.
///
/// A process that starts while the table is down cannot know what the newest revision is. It asks
/// several peers, and is not ready before the table or enough of them have answered and it holds
/// the highest revision that any of them named.
#[derive(Clone, Debug, Default)]
pub struct ConfigCache {
    config: Option<Arc<FleetConfig>>,
    named: ConfigRevision,
    table_answered: bool,
    peers: BTreeSet<HostName>,
    ready: bool,
    confirmed: Option<Instant>,
}

impl ConfigCache {
    /// Takes a configuration and returns whether it is newer than the one held.
    pub fn update(&mut self, config: FleetConfig, source: &ConfigSource, now: Instant) -> bool {
        let revision = config.revision;
        let newer = self.config.as_ref().is_none_or(|it| it.revision < revision);
        if newer {
            self.config = Some(Arc::new(config));
        }
        self.observe_revision(revision, source, now);
        newer
    }

    /// Takes word that `source` holds `revision`.
    pub fn observe_revision(
        &mut self,
        revision: ConfigRevision,
        source: &ConfigSource,
        now: Instant,
    ) {
        self.named = self.named.max(revision);
        match source {
            ConfigSource::Table => self.table_answered = true,
            ConfigSource::Peer(host) => drop(self.peers.insert(host.clone())),
        }
        let held = self.config.as_ref().map(|it| it.revision);
        let newest = held.is_some_and(|it| it >= self.named);
        if newest {
            self.confirmed = Some(now);
        }
        let enough = self.table_answered || self.peers.len() >= PEERS_FOR_READY;
        self.ready |= newest && enough;
    }

    /// Returns the configuration once this process may act on it.
    pub fn ready_config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref().filter(|_| self.ready)
    }

    /// Returns the revision held, whether ready or not.
    pub fn held_revision(&self) -> Option<ConfigRevision> {
        self.config.as_ref().map(|it| it.revision)
    }

    /// Returns when the table or a peer last confirmed that no higher revision is known.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns how long ago the table or a peer last confirmed that no higher revision is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|it| now.saturating_duration_since(it))
    }
}
