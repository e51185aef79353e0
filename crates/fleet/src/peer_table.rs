//! Table of the other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Description of an entry, as it sends it to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the host.
    pub node: String,
    /// Start time of the process, which identifies the incarnation.
    pub incarnation: u64,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address for datagrams from other entries and agents.
    pub inner: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the entry accepts new clients.
    pub ready: bool,
    /// What decides whom others read changes from. Not every heartbeat contains it, since it changes rarely.
    #[serde(default)]
    pub reading: Option<ReadingState>,
}

/// State of an entry that decides whom others read changes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingState {
    /// Shortest time in microseconds of a call to the store, if one has succeeded.
    pub store_delay_us: Option<u32>,
    /// Bandwidth of the host's link in Mbit/s.
    pub link_mbps: u32,
    /// Version of the configuration in force; 0 if there is none.
    pub config_version: u64,
    /// Whether the store has not answered the last call of the entry, so that it has no changes from there.
    #[serde(default)]
    pub is_cut_off: bool,
}

/// Entries by name, with the time of the last heartbeat of each.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerEntry>,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    record: PeerRecord,
    last_heartbeat: Option<Instant>,
}

impl PeerTable {
    /// Inserts an entry from a list of entries, unless the table has a record of the same or a newer incarnation: the
    /// entry itself may have sent that record, which then is more recent.
    pub fn insert_listed(&mut self, record: PeerRecord) {
        let existing = self.peers.get(&record.node);
        if existing.is_some_and(|it| it.record.incarnation >= record.incarnation) {
            return;
        }
        let entry = PeerEntry {
            last_heartbeat: None,
            record,
        };
        self.peers.insert(entry.record.node.clone(), entry);
    }

    /// Returns whether a heartbeat comes from the current process of its entry, or from one that replaces it.
    ///
    /// A later start time replaces an earlier one at once. An earlier one is either late or that of a process on a clock that
    /// was set back, which is heard once its predecessor is dead.
    pub fn accepts(&self, record: &PeerRecord, now: Instant) -> bool {
        let existing = self.peers.get(&record.node);
        existing.is_none_or(|it| it.record.incarnation <= record.incarnation || !it.is_alive(now))
    }

    /// Records a heartbeat of an entry; returns whether its process was dead or unknown before. One that replaces another
    /// knows nothing, however short the time between them.
    pub fn record_heartbeat(&mut self, mut record: PeerRecord, now: Instant) -> bool {
        if !self.accepts(&record, now) {
            return false;
        }
        let existing = self.peers.get(&record.node);
        let same_process = existing.filter(|it| it.record.incarnation == record.incarnation);
        record.reading = record
            .reading
            .or(same_process.and_then(|it| it.record.reading));
        let is_new = !same_process.is_some_and(|it| it.is_alive(now));
        let entry = PeerEntry {
            last_heartbeat: Some(now),
            record,
        };
        self.peers.insert(entry.record.node.clone(), entry);
        is_new
    }

    /// Returns the live entries that accept clients.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |it| it.is_alive(now) && it.record.ready)
            .map(|it| &it.record)
    }

    /// Returns the entries that sent a heartbeat recently.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |it| it.is_alive(now))
            .map(|it| &it.record)
    }

    /// Returns all entries, including dead ones.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().map(|it| &it.record)
    }
}

impl PeerEntry {
    fn is_alive(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|it| now.saturating_duration_since(it) < PEER_TIMEOUT)
    }
}

/// Time without a heartbeat after which an entry is considered dead: three missed heartbeats, plus one lost datagram as
/// reserve.
const PEER_TIMEOUT: Duration = Duration::from_millis(1800);
