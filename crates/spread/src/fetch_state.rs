//! Progress of an agent's transfer of one version.

use std::collections::BTreeMap;
use std::time::Instant;

use model::{
    ChunkAssignment, ChunkMask, ChunkSet, ChunkSource, FetchFailure, FetchFault, GroupKey,
    VersionDigest, WeightManifest,
};

use crate::source_backoff::SourceBackoff;

/// Records which chunks of a version are present, being fetched or missing, and which sources are backing off.
#[derive(Clone, Debug)]
pub struct FetchState {
    version: VersionDigest,
    chunk_count: usize,
    max_fetches: usize,
    present: ChunkSet,
    fetches: BTreeMap<usize, ChunkSource>,
    /// Chunks sent to other hosts, by group.
    sent_counts: BTreeMap<u32, u32>,
    /// Failures that the next report of their group includes.
    unreported_failures: BTreeMap<u32, Vec<FetchFailure>>,
    backoffs: BTreeMap<ChunkSource, SourceBackoff>,
    corruption_counts: BTreeMap<ChunkSource, u32>,
    next_group: u32,
}

/// A fetch to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFetch {
    /// Index of the chunk in the manifest.
    pub chunk: usize,
    /// Source of the chunk.
    pub source: ChunkSource,
}

impl FetchState {
    /// Creates the state for `manifest`, of which the chunks in `present` are already present and verified.
    pub fn new(manifest: &WeightManifest, present: ChunkSet, max_fetches: usize) -> Self {
        Self {
            version: manifest.version(),
            chunk_count: manifest.chunk_count(),
            max_fetches,
            present,
            fetches: BTreeMap::new(),
            sent_counts: BTreeMap::new(),
            unreported_failures: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            corruption_counts: BTreeMap::new(),
            next_group: 0,
        }
    }

    /// Returns the version being fetched.
    pub fn version(&self) -> VersionDigest {
        self.version
    }

    /// Returns the verified chunks.
    pub fn present(&self) -> &ChunkSet {
        &self.present
    }

    /// Returns whether every chunk is present and verified.
    pub fn is_complete(&self) -> bool {
        self.present.len() == self.chunk_count
    }

    /// Returns the number of groups of the version.
    pub fn group_count(&self) -> u32 {
        self.chunk_count.div_ceil(ChunkMask::CHUNKS_PER_GROUP) as u32
    }

    /// Returns the key of group `group` of the version.
    pub fn group_key(&self, group: u32) -> GroupKey {
        let start = group as usize * ChunkMask::CHUNKS_PER_GROUP;
        let chunks = self.chunk_count.saturating_sub(start);
        GroupKey {
            version: self.version,
            group,
            chunks: chunks.min(ChunkMask::CHUNKS_PER_GROUP) as u8,
        }
    }

    /// Returns the group of `chunk`.
    pub fn group_of(chunk: usize) -> u32 {
        group_and_slot(chunk).0
    }

    /// Returns how many more fetches may be started now.
    pub fn available_fetches(&self) -> usize {
        self.max_fetches.saturating_sub(self.fetches.len())
    }

    /// Returns the next group to request assignments for, round-robin among the groups with missing chunks.
    pub fn next_group(&mut self) -> Option<u32> {
        let groups = self.group_count();
        let has_missing_chunks = |group: &u32| !self.missing_chunks(*group).is_empty();
        let group = (0..groups)
            .map(|offset| (self.next_group + offset) % groups)
            .find(has_missing_chunks)?;
        self.next_group = (group + 1) % groups;
        Some(group)
    }

    /// Returns the chunks of `group` that are present, those being fetched, and those being fetched from outside the
    /// region.
    pub fn group_masks(&self, group: u32) -> (ChunkMask, ChunkMask, ChunkMask) {
        let mut masks = <(ChunkMask, ChunkMask, ChunkMask)>::default();
        for slot in 0..self.group_key(group).chunks {
            let chunk = chunk_index(group, slot);
            if self.present.contains(chunk) {
                masks.0.insert(slot);
            }
            if let Some(source) = self.fetches.get(&chunk) {
                masks.1.insert(slot);
                if source.is_external() {
                    masks.2.insert(slot);
                }
            }
        }
        masks
    }

    /// Removes and returns the failures of `group` that were not reported to a tracker yet.
    pub fn take_failures(&mut self, group: u32) -> Vec<FetchFailure> {
        self.unreported_failures.remove(&group).unwrap_or_default()
    }

    /// Queues failures again after their report was lost.
    pub fn restore_failures(&mut self, group: u32, failures: Vec<FetchFailure>) {
        self.unreported_failures
            .entry(group)
            .or_default()
            .extend(failures);
    }

    /// Records a tracker's assignments and returns the fetches to start. Assignments to sources that are backing off
    /// are included as failures in the next report.
    pub fn accept_assignments(
        &mut self,
        group: u32,
        assignments: Vec<ChunkAssignment>,
        now: Instant,
    ) -> Vec<PlannedFetch> {
        let mut planned = Vec::new();
        for ChunkAssignment { slot, source } in assignments {
            let chunk = chunk_index(group, slot);
            let is_known = chunk >= self.chunk_count
                || self.present.contains(chunk)
                || self.fetches.contains_key(&chunk);
            if is_known || self.available_fetches() == 0 {
                continue;
            }
            if self
                .backoffs
                .get(&source)
                .is_some_and(|it| !it.is_ready(now))
            {
                let fault = FetchFault::Busy;
                self.queue_failure(group, slot, source, fault);
                continue;
            }
            self.fetches.insert(chunk, source.clone());
            planned.push(PlannedFetch { chunk, source });
        }
        planned
    }

    /// Records that a chunk was fetched and verified.
    pub fn complete_fetch(&mut self, chunk: usize) {
        if let Some(source) = self.fetches.remove(&chunk) {
            self.backoffs.remove(&source);
        }
        self.present.insert(chunk);
    }

    /// Records a failed fetch. Unless the source merely lacks the chunk, it backs off, longer with each consecutive
    /// failure.
    pub fn fail_fetch(&mut self, chunk: usize, fault: FetchFault, now: Instant) {
        let Some(source) = self.fetches.remove(&chunk) else {
            return;
        };
        if fault != FetchFault::Absent {
            let backoff = self.backoffs.entry(source.clone()).or_default();
            backoff.record_failure(now, None);
        }
        if fault == FetchFault::Corrupt {
            *self.corruption_counts.entry(source.clone()).or_default() += 1;
        }
        let (group, slot) = group_and_slot(chunk);
        self.queue_failure(group, slot, source, fault);
    }

    /// Records that a chunk was sent to another host.
    pub fn record_sent(&mut self, chunk: usize) {
        *self.sent_counts.entry(group_and_slot(chunk).0).or_default() += 1;
    }

    /// Returns the number of chunks of `group` that were sent to other hosts.
    pub fn sent_count(&self, group: u32) -> u32 {
        self.sent_counts.get(&group).copied().unwrap_or(0)
    }

    /// Returns how often each source sent data that did not match the digest of its chunk.
    pub fn corrupt_sources(&self) -> &BTreeMap<ChunkSource, u32> {
        &self.corruption_counts
    }

    /// Removes all fetches in progress, for use after the tasks that execute them are gone.
    pub fn clear_fetches(&mut self) {
        self.fetches.clear();
    }

    /// Returns the chunks of `group` that are neither present nor being fetched.
    pub fn missing_chunks(&self, group: u32) -> ChunkMask {
        let (present, fetching, _) = self.group_masks(group);
        let chunks = usize::from(self.group_key(group).chunks);
        ChunkMask::all(chunks)
            .difference(present)
            .difference(fetching)
    }

    fn queue_failure(&mut self, group: u32, slot: u8, source: ChunkSource, fault: FetchFault) {
        let failure = FetchFailure {
            slot,
            source,
            fault,
        };
        self.unreported_failures
            .entry(group)
            .or_default()
            .push(failure);
    }
}

fn chunk_index(group: u32, slot: u8) -> usize {
    group as usize * ChunkMask::CHUNKS_PER_GROUP + usize::from(slot)
}

fn group_and_slot(chunk: usize) -> (u32, u8) {
    let group = chunk / ChunkMask::CHUNKS_PER_GROUP;
    (group as u32, (chunk % ChunkMask::CHUNKS_PER_GROUP) as u8)
}
