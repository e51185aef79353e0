//! Baseline distribution strategies that [`SpreadStrategy::Regional`](crate::SpreadStrategy::Regional) is benchmarked
//! against.

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
        .take(usize::from(report.max_assignments))
        .map(|slot| tracker.assign(&report.host, slot, ChunkSource::Origin, now))
        .collect()
}

/// Copies flow down a binary tree of the region's hosts, sorted by name; a host serves its children once it holds every
/// chunk.
pub(crate) fn binary_tree(
    tracker: &mut ChunkTracker,
    report: &ChunkReport,
    now: Instant,
) -> Vec<ChunkAssignment> {
    let names: Vec<HostName> = tracker.hosts.keys().cloned().collect();
    let index = names.iter().position(|it| *it == report.host).unwrap_or(0);
    if index == 0 {
        return origin_only(tracker, report, now);
    }
    let parent = names[(index - 1) / 2].clone();
    let holder = &tracker.hosts[&parent];
    if holder.present != tracker.all_slots() {
        return Vec::new();
    }
    let address = holder.address;
    let missing = tracker.missing_chunks(&report.host).unwrap_or_default();
    missing
        .slots()
        .take(usize::from(report.max_assignments))
        .map(|slot| {
            let host = parent.clone();
            let source = ChunkSource::Peer { host, address };
            tracker.assign(&report.host, slot, source, now)
        })
        .collect()
}

/// Each host fetches random chunks from random holders. A chunk that no host holds or imports comes from the origin.
pub(crate) fn random_peers(
    tracker: &mut ChunkTracker,
    report: &ChunkReport,
    now: Instant,
) -> Vec<ChunkAssignment> {
    let mut assignments = Vec::new();
    while assignments.len() < usize::from(report.max_assignments) {
        let missing = tracker.missing_chunks(&report.host).unwrap_or_default();
        let slots: Vec<u8> = missing.slots().collect();
        let Some(slot) = pick_pseudorandom(&slots, tracker.next_tie_breaker()).copied() else {
            break;
        };
        let holders: Vec<_> = tracker
            .usable_holders(&report.host, slot, now)
            .map(|(name, holder)| (name.clone(), holder.address))
            .collect();
        let source = match pick_pseudorandom(&holders, tracker.next_tie_breaker()) {
            Some((host, address)) => ChunkSource::Peer {
                host: host.clone(),
                address: *address,
            },
            None if tracker.importing_chunks().contains(slot) => break,
            None if !tracker.origin_is_ready(now) => break,
            None => ChunkSource::Origin,
        };
        assignments.push(tracker.assign(&report.host, slot, source, now));
    }
    assignments
}

fn pick_pseudorandom<T>(items: &[T], tie_breaker: u64) -> Option<&T> {
    let index = (tie_breaker as usize).checked_rem(items.len())?;
    items.get(index)
}
