//! State that a tracker keeps about one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use model::{ChunkMask, ChunkReport, ChunkSource, HostName, Incarnation, ZoneName};

use crate::rendezvous;
use crate::source_backoff::SourceBackoff;

/// Soft state of one host, rebuilt from its next report after the tracker restarts.
#[derive(Clone, Debug)]
pub(crate) struct HostState {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) name_hash: u64,
    pub(crate) present: ChunkMask,
    pub(crate) fetches: BTreeMap<u8, PendingFetch>,
    /// Chunks sent according to the last report, plus those offered to other regions since.
    pub(crate) sent: u32,
    /// Fetches from this host that are in progress.
    pub(crate) uploads: u32,
    /// Hosts that reported corrupt data from this one.
    pub(crate) corruption_reporters: BTreeSet<HostName>,
    pub(crate) backoff: SourceBackoff,
    pub(crate) last_report_at: Instant,
}

/// A fetch that was assigned to a host or reported by it.
#[derive(Clone, Debug)]
pub(crate) struct PendingFetch {
    /// `None` if the fetch is only known from a report, which happens after the tracker has restarted.
    pub(crate) source: Option<ChunkSource>,
    /// Whether the fetch brings the chunk in from outside the region.
    pub(crate) is_import: bool,
    pub(crate) started_at: Instant,
}

impl HostState {
    pub(crate) fn new(report: &ChunkReport, now: Instant) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            zone: report.zone.clone(),
            address: report.peers,
            name_hash: rendezvous::name_hash(report.host.as_str()),
            present: ChunkMask::default(),
            fetches: BTreeMap::new(),
            sent: 0,
            uploads: 0,
            corruption_reporters: BTreeSet::new(),
            backoff: SourceBackoff::default(),
            last_report_at: now,
        }
    }

    /// Returns whether `host` may fetch from this one. One report of corrupt data excludes only the reporter, so that
    /// a host with a faulty link cannot exclude all others; reports from [`MIN_CORRUPTION_REPORTERS`] hosts exclude
    /// everyone.
    pub(crate) fn is_trusted_by(&self, host: &HostName) -> bool {
        self.corruption_reporters.len() < MIN_CORRUPTION_REPORTERS
            && !self.corruption_reporters.contains(host)
    }
}

/// Number of hosts that must report corrupt data from a host before no host fetches from it.
const MIN_CORRUPTION_REPORTERS: usize = 2;
