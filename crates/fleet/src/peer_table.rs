//! The other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// An entry as it describes itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the host.
    pub node: String,
    /// Start of the process, to tell incarnations apart.
    pub incarnation: u64,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where datagrams of other entries and of agents arrive.
    pub inner: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the entry takes new clients.
    pub ready: bool,
}

/// Entries by name, with the time at which each was last heard.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerEntry>,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    record: PeerRecord,
    heard: Option<Instant>,
}

impl PeerTable {
    /// Adds entries that a list names; what was heard from an entry itself goes before.
    pub fn learn(&mut self, record: PeerRecord) {
        let known = self.peers.get(&record.node);
        if known.is_some_and(|it| it.record.incarnation >= record.incarnation) {
            return;
        }
        let entry = PeerEntry {
            heard: None,
            record,
        };
        self.peers.insert(entry.record.node.clone(), entry);
    }

    /// Notes a message of an entry about itself; returns whether it was silent or unknown before.
    pub fn heard(&mut self, record: PeerRecord, now: Instant) -> bool {
        let known = self.peers.get(&record.node);
        if known.is_some_and(|it| it.record.incarnation > record.incarnation) {
            return false;
        }
        let is_news = !known.is_some_and(|it| it.is_alive(now));
        let entry = PeerEntry {
            heard: Some(now),
            record,
        };
        self.peers.insert(entry.record.node.clone(), entry);
        is_news
    }

    /// Returns the entries that clients can be sent to.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |it| it.is_alive(now) && it.record.ready)
            .map(|it| &it.record)
    }

    /// Returns the entries that were heard lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |it| it.is_alive(now))
            .map(|it| &it.record)
    }

    /// Returns all entries, also silent ones.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().map(|it| &it.record)
    }
}

impl PeerEntry {
    fn is_alive(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|it| now.saturating_duration_since(it) < PEER_SILENCE)
    }
}

/// Silence after which an entry is taken as dead: three missed messages and one lost datagram of reserve.
const PEER_SILENCE: Duration = Duration::from_millis(1800);
