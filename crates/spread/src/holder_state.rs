//! What a tracker knows of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use model::{ChunkMask, ChunkReport, ChunkSource, HostName, Incarnation, ZoneName};

use crate::rendezvous;
use crate::source_backoff::SourceBackoff;

/// Soft state about one host, rebuilt from its next report.
#[derive(Clone, Debug)]
pub(crate) struct HolderState {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) name_hash: u64,
    pub(crate) have: ChunkMask,
    pub(crate) fetches: BTreeMap<u8, PendingFetch>,
    /// Chunks sent as last reported, and offered to other regions since.
    pub(crate) sent: u32,
    /// Chunks that others fetch from this host right now.
    pub(crate) uploads: u32,
    /// Hosts that got bad bytes from this one.
    pub(crate) accusers: BTreeSet<HostName>,
    pub(crate) backoff: SourceBackoff,
    pub(crate) seen: Instant,
}

/// A fetch that a host was told to make or said to be making.
#[derive(Clone, Debug)]
pub(crate) struct PendingFetch {
    /// `None` when the fetch is known from a report only, after the tracker was lost.
    pub(crate) source: Option<ChunkSource>,
    pub(crate) enters: bool,
    pub(crate) since: Instant,
}

impl HolderState {
    pub(crate) fn new(report: &ChunkReport, now: Instant) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            zone: report.zone.clone(),
            address: report.peers,
            name_hash: rendezvous::name_hash(report.host.as_str()),
            have: ChunkMask::default(),
            fetches: BTreeMap::new(),
            sent: 0,
            uploads: 0,
            accusers: BTreeSet::new(),
            backoff: SourceBackoff::default(),
            seen: now,
        }
    }

    /// Tells whether `host` may fetch from this one: two hosts that got bad bytes speak for all, one for itself, so
    /// that a host with a bad link cannot take every other one out.
    pub(crate) fn is_trusted_by(&self, host: &HostName) -> bool {
        self.accusers.len() < ACCUSERS_FOR_ALL && !self.accusers.contains(host)
    }
}

/// Hosts that have to get bad bytes from a host before nobody fetches from it any more.
const ACCUSERS_FOR_ALL: usize = 2;
