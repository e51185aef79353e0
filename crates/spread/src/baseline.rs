//! Ways of spreading weights that the real one is measured against.

use std::time::Instant;

use model::{ChunkAssignment, ChunkReport, ChunkSource, HostName};

use crate::chunk_tracker::ChunkTracker;

/// Every host fetches every chunk from the origin.
pub(crate) fn origin_only(
    tracker: &mut ChunkTracker,
    report: &ChunkReport,
    now: Instant,
) -> Vec<ChunkAssignment> {
    if !tracker.origin_is_ready(now) {
        return Vec::new();
    }
    let missing = tracker.missing_chunks(&report.host).unwrap_or_default();
    missing
        .slots()
        .take(usize::from(report.room))
        .map(|slot| tracker.assign(&report.host, slot, ChunkSource::Origin, now))
        .collect()
}

/// Whole copies go down a binary tree over the region's hosts in order of their names.
pub(crate) fn binary_tree(
    tracker: &mut ChunkTracker,
    report: &ChunkReport,
    now: Instant,
) -> Vec<ChunkAssignment> {
    let names: Vec<HostName> = tracker.hosts.keys().cloned().collect();
    let place = names.iter().position(|it| *it == report.host).unwrap_or(0);
    if place == 0 {
        return origin_only(tracker, report, now);
    }
    let parent = names[(place - 1) / 2].clone();
    let holder = &tracker.hosts[&parent];
    if holder.have != tracker.all_slots() {
        return Vec::new();
    }
    let address = holder.address;
    let missing = tracker.missing_chunks(&report.host).unwrap_or_default();
    missing
        .slots()
        .take(usize::from(report.room))
        .map(|slot| {
            let host = parent.clone();
            let source = ChunkSource::Peer { host, address };
            tracker.assign(&report.host, slot, source, now)
        })
        .collect()
}

/// Any chunk from any holder; a chunk that nobody holds or fetches comes from the origin.
pub(crate) fn random_peers(
    tracker: &mut ChunkTracker,
    report: &ChunkReport,
    now: Instant,
) -> Vec<ChunkAssignment> {
    let mut assignments = Vec::new();
    while assignments.len() < usize::from(report.room) {
        let missing = tracker.missing_chunks(&report.host).unwrap_or_default();
        let slots: Vec<u8> = missing.slots().collect();
        let Some(slot) = pick(&slots, tracker.next_tie()).copied() else {
            break;
        };
        let holders: Vec<_> = tracker
            .usable_holders(&report.host, slot, now)
            .map(|(name, holder)| (name.clone(), holder.address))
            .collect();
        let source = match pick(&holders, tracker.next_tie()) {
            Some((host, address)) => ChunkSource::Peer {
                host: host.clone(),
                address: *address,
            },
            None if tracker.entering_chunks().contains(slot) => break,
            None if !tracker.origin_is_ready(now) => break,
            None => ChunkSource::Origin,
        };
        assignments.push(tracker.assign(&report.host, slot, source, now));
    }
    assignments
}

fn pick<T>(items: &[T], tie: u64) -> Option<&T> {
    let place = (tie as usize).checked_rem(items.len())?;
    items.get(place)
}
