//! What the control thread lets the other threads see.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Instant;

use control::KnownTarget;
use model::{ConfigRevision, EntryRow, FleetConfig, HostName, SwitchPermit};

/// The control state after one step; readers keep it as long as they need.
#[derive(Debug, Default)]
pub(crate) struct ControlSnapshot {
    /// The newest configuration seen, or `None` while this entry may not act on one.
    pub(crate) config: Option<Arc<FleetConfig>>,
    /// The revision held, whether or not this entry may act on it.
    pub(crate) held: Option<ConfigRevision>,
    /// When the table or a peer last confirmed that no higher revision is known.
    pub(crate) confirmed: Option<Instant>,
    /// Every live target.
    pub(crate) targets: BTreeMap<HostName, Arc<KnownTarget>>,
    /// Every other live entry.
    pub(crate) entries: BTreeMap<HostName, SeenEntry>,
    /// Control addresses of entries that others have named lately.
    pub(crate) candidates: BTreeSet<SocketAddr>,
    /// This entry.
    pub(crate) own: Option<EntryRow>,
    /// Permits that any driver granted lately.
    pub(crate) permits: Vec<SwitchPermit>,
    /// Permits that this entry's driver granted.
    pub(crate) own_permits: Vec<SwitchPermit>,
}

/// Another entry's newest row.
#[derive(Clone, Debug)]
pub(crate) struct SeenEntry {
    pub(crate) row: EntryRow,
    pub(crate) seen: Instant,
    pub(crate) permits: Vec<SwitchPermit>,
}

/// Holds the newest snapshot.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCell {
    newest: RwLock<Arc<ControlSnapshot>>,
}

impl SnapshotCell {
    /// Returns the newest snapshot.
    pub(crate) fn load(&self) -> Arc<ControlSnapshot> {
        self.newest
            .read()
            .expect("no holder of the snapshot's lock panics")
            .clone()
    }

    /// Replaces the snapshot.
    pub(crate) fn store(&self, snapshot: ControlSnapshot) {
        *self
            .newest
            .write()
            .expect("no holder of the snapshot's lock panics") = Arc::new(snapshot);
    }
}
