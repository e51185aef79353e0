//! The soft state of announcements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use model::{ChunkAnnouncement, HostName, VersionDigest};
use rand::seq::{IndexedRandom, SliceRandom};
use wire::{ChunkAssignment, PlanReply, PlanRequest, SourceKind};

/// Remembers what hosts announced and answers what to fetch next; lost with the entry and regained by announcements.
#[derive(Debug)]
pub(crate) struct ChunkTracker {
    origin: SocketAddr,
    seen: Mutex<BTreeMap<VersionDigest, BTreeMap<HostName, SeenHost>>>,
}

#[derive(Debug)]
struct SeenHost {
    announcement: ChunkAnnouncement,
    seen: Instant,
}

impl ChunkTracker {
    pub(crate) fn new(origin: SocketAddr) -> Self {
        Self {
            origin,
            seen: Mutex::default(),
        }
    }

    /// Takes an announcement and returns what the host may fetch next.
    pub(crate) fn plan(&self, request: PlanRequest, chunk_count: usize, now: Instant) -> PlanReply {
        let mut seen = self
            .seen
            .lock()
            .expect("no holder of the tracker's lock panics");
        let own = request.announcement;
        let hosts = seen.entry(own.version).or_default();
        hosts.retain(|_, it| now.duration_since(it.seen) < FORGET_AFTER);
        let mut missing: Vec<usize> = (0..chunk_count)
            .filter(|&idx| !own.have.contains(idx))
            .collect();
        missing.shuffle(&mut rand::rng());
        let mut assignments = Vec::new();
        for idx in missing {
            if assignments.len() >= request.room as usize {
                break;
            }
            let holders: Vec<_> = hosts
                .values()
                .filter(|it| it.announcement.host != own.host && it.announcement.have.contains(idx))
                .collect();
            let near: Vec<_> = holders
                .iter()
                .filter(|it| it.announcement.region == own.region)
                .copied()
                .collect();
            let holder = near
                .choose(&mut rand::rng())
                .or_else(|| holders.choose(&mut rand::rng()));
            let (source, kind) = match holder {
                Some(it) => (it.announcement.peers, SourceKind::Peer),
                None => (self.origin, SourceKind::Origin),
            };
            assignments.push(ChunkAssignment {
                chunk: idx as u32,
                source,
                kind,
            });
        }
        hosts.insert(
            own.host.clone(),
            SeenHost {
                announcement: own,
                seen: now,
            },
        );
        PlanReply { assignments }
    }
}

/// Age at which an announcement is not believed any more.
const FORGET_AFTER: Duration = Duration::from_secs(5);
