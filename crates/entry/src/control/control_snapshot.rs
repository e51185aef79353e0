//! Immutable snapshots of the control state, shared with the other threads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Instant;

use control::KnownTarget;
use model::{ConfigRevision, EntryRow, FleetConfig, HostName, SwitchPermit};

/// The control state after a batch of events.
#[derive(Debug, Default)]
pub(crate) struct ControlSnapshot {
    /// The newest configuration received, or `None` while this entry may not act on one.
    pub(crate) config: Option<Arc<FleetConfig>>,
    /// The revision of the newest configuration received, whether or not this entry may act on it.
    pub(crate) held_revision: Option<ConfigRevision>,
    /// When the table or a peer last confirmed that no higher revision is known.
    pub(crate) confirmed_at: Option<Instant>,
    /// All live targets.
    pub(crate) targets: BTreeMap<HostName, Arc<KnownTarget>>,
    /// All other live entries.
    pub(crate) entries: BTreeMap<HostName, KnownEntry>,
    /// Control addresses that other entries recently listed as those of live entries.
    pub(crate) candidate_addresses: BTreeSet<SocketAddr>,
    /// This entry's own row.
    pub(crate) own: Option<EntryRow>,
    /// Current permits of the rollout drivers on all entries.
    pub(crate) permits: Vec<SwitchPermit>,
    /// Current permits of this entry's rollout driver.
    pub(crate) own_permits: Vec<SwitchPermit>,
}

/// The newest row and permits received from another entry.
#[derive(Clone, Debug)]
pub(crate) struct KnownEntry {
    pub(crate) row: EntryRow,
    pub(crate) last_seen: Instant,
    pub(crate) permits: Vec<SwitchPermit>,
}

/// Publishes the newest snapshot to readers on other threads.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCell {
    newest: RwLock<Arc<ControlSnapshot>>,
}

impl SnapshotCell {
    /// Returns the newest snapshot.
    pub(crate) fn load(&self) -> Arc<ControlSnapshot> {
        self.newest
            .read()
            .expect("no thread panics while it holds the snapshot lock")
            .clone()
    }

    /// Replaces the newest snapshot. Readers keep the snapshots that they have loaded.
    pub(crate) fn store(&self, snapshot: ControlSnapshot) {
        *self
            .newest
            .write()
            .expect("no thread panics while it holds the snapshot lock") = Arc::new(snapshot);
    }
}
