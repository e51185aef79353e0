//! An agent's books of the transfer of one version.

use std::collections::BTreeMap;
use std::time::Instant;

use model::{
    ChunkAssignment, ChunkMask, ChunkSet, ChunkSource, FetchFailure, FetchFault, GroupKey,
    VersionDigest, WeightManifest,
};

use crate::source_backoff::SourceBackoff;

/// Which chunks of a version are present, on their way or missing, and which sources to leave alone.
#[derive(Clone, Debug)]
pub struct FetchState {
    version: VersionDigest,
    chunk_count: usize,
    max_fetches: usize,
    have: ChunkSet,
    fetches: BTreeMap<usize, ChunkSource>,
    sent: BTreeMap<u32, u32>,
    failures: BTreeMap<u32, Vec<FetchFailure>>,
    backoffs: BTreeMap<ChunkSource, SourceBackoff>,
    corrupted: BTreeMap<ChunkSource, u32>,
    next_group: u32,
}

/// A fetch to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFetch {
    /// Index of the chunk in the manifest.
    pub chunk: usize,
    /// Where it comes from.
    pub source: ChunkSource,
}

impl FetchState {
    /// Creates the books for `manifest`, of which the chunks in `have` are present and verified already.
    pub fn new(manifest: &WeightManifest, have: ChunkSet, max_fetches: usize) -> Self {
        Self {
            version: manifest.version(),
            chunk_count: manifest.chunk_count(),
            max_fetches,
            have,
            fetches: BTreeMap::new(),
            sent: BTreeMap::new(),
            failures: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            corrupted: BTreeMap::new(),
            next_group: 0,
        }
    }

    /// Returns the version that is fetched.
    pub fn version(&self) -> VersionDigest {
        self.version
    }

    /// Returns the verified chunks.
    pub fn have(&self) -> &ChunkSet {
        &self.have
    }

    /// Tells whether every chunk is present and verified.
    pub fn is_complete(&self) -> bool {
        self.have.len() == self.chunk_count
    }

    /// Returns the number of groups of the version.
    pub fn group_count(&self) -> u32 {
        self.chunk_count.div_ceil(ChunkMask::GROUP_CHUNKS) as u32
    }

    /// Names group `group` of the version.
    pub fn group_key(&self, group: u32) -> GroupKey {
        let start = group as usize * ChunkMask::GROUP_CHUNKS;
        let chunks = self.chunk_count.saturating_sub(start);
        GroupKey {
            version: self.version,
            group,
            chunks: chunks.min(ChunkMask::GROUP_CHUNKS) as u8,
        }
    }

    /// Returns the group of `chunk`.
    pub fn group_of(chunk: usize) -> u32 {
        place_of(chunk).0
    }

    /// Returns the number of fetches that may still be started.
    pub fn room(&self) -> usize {
        self.max_fetches.saturating_sub(self.fetches.len())
    }

    /// Picks the next group to ask a tracker about, going round those with a chunk to fetch.
    pub fn next_group(&mut self) -> Option<u32> {
        let groups = self.group_count();
        let open = |group: &u32| !self.missing(*group).is_empty();
        let group = (0..groups)
            .map(|step| (self.next_group + step) % groups)
            .find(open)?;
        self.next_group = (group + 1) % groups;
        Some(group)
    }

    /// Returns the chunks of `group` that are present, those on their way, and those of them from outside the region.
    pub fn masks(&self, group: u32) -> (ChunkMask, ChunkMask, ChunkMask) {
        let mut masks = <(ChunkMask, ChunkMask, ChunkMask)>::default();
        for slot in 0..self.group_key(group).chunks {
            let chunk = chunk_of(group, slot);
            if self.have.contains(chunk) {
                masks.0.insert(slot);
            }
            if let Some(source) = self.fetches.get(&chunk) {
                masks.1.insert(slot);
                if source.enters_region() {
                    masks.2.insert(slot);
                }
            }
        }
        masks
    }

    /// Returns the failures of `group` that no tracker has been told, and forgets them.
    pub fn take_failures(&mut self, group: u32) -> Vec<FetchFailure> {
        self.failures.remove(&group).unwrap_or_default()
    }

    /// Puts failures back whose report was lost.
    pub fn return_failures(&mut self, group: u32, failures: Vec<FetchFailure>) {
        self.failures.entry(group).or_default().extend(failures);
    }

    /// Takes a tracker's assignments and returns the fetches to start; those from resting sources are sent back as
    /// failures with the next report.
    pub fn accept(
        &mut self,
        group: u32,
        assignments: Vec<ChunkAssignment>,
        now: Instant,
    ) -> Vec<PlannedFetch> {
        let mut starts = Vec::new();
        for ChunkAssignment { slot, source } in assignments {
            let chunk = chunk_of(group, slot);
            let known = chunk >= self.chunk_count
                || self.have.contains(chunk)
                || self.fetches.contains_key(&chunk);
            if known || self.room() == 0 {
                continue;
            }
            if self
                .backoffs
                .get(&source)
                .is_some_and(|it| !it.is_ready(now))
            {
                let fault = FetchFault::Busy;
                self.note_failure(group, slot, source, fault);
                continue;
            }
            self.fetches.insert(chunk, source.clone());
            starts.push(PlannedFetch { chunk, source });
        }
        starts
    }

    /// Notes that a chunk arrived and was verified.
    pub fn arrived(&mut self, chunk: usize) {
        if let Some(source) = self.fetches.remove(&chunk) {
            self.backoffs.remove(&source);
        }
        self.have.insert(chunk);
    }

    /// Notes that a fetch failed; its source rests for a while, longer with each failure in a row.
    pub fn failed(&mut self, chunk: usize, fault: FetchFault, now: Instant) {
        let Some(source) = self.fetches.remove(&chunk) else {
            return;
        };
        if fault != FetchFault::Absent {
            let backoff = self.backoffs.entry(source.clone()).or_default();
            backoff.failed(now, None);
        }
        if fault == FetchFault::Corrupted {
            *self.corrupted.entry(source.clone()).or_default() += 1;
        }
        let (group, slot) = place_of(chunk);
        self.note_failure(group, slot, source, fault);
    }

    /// Notes that a chunk was sent to another host.
    pub fn sent(&mut self, chunk: usize) {
        *self.sent.entry(place_of(chunk).0).or_default() += 1;
    }

    /// Returns the number of chunks of `group` that were sent to other hosts.
    pub fn sent_count(&self, group: u32) -> u32 {
        self.sent.get(&group).copied().unwrap_or(0)
    }

    /// Returns the sources that sent bytes which did not have the digest of their chunk, and how often.
    pub fn corrupted_sources(&self) -> &BTreeMap<ChunkSource, u32> {
        &self.corrupted
    }

    /// Forgets all fetches on their way, as after the loss of everything that carried them out.
    pub fn forget_fetches(&mut self) {
        self.fetches.clear();
    }

    /// Returns the chunks of `group` that are neither present nor on their way.
    pub fn missing(&self, group: u32) -> ChunkMask {
        let (have, fetching, _) = self.masks(group);
        let chunks = usize::from(self.group_key(group).chunks);
        ChunkMask::first(chunks).without(have).without(fetching)
    }

    fn note_failure(&mut self, group: u32, slot: u8, source: ChunkSource, fault: FetchFault) {
        let failure = FetchFailure {
            slot,
            source,
            fault,
        };
        self.failures.entry(group).or_default().push(failure);
    }
}

fn chunk_of(group: u32, slot: u8) -> usize {
    group as usize * ChunkMask::GROUP_CHUNKS + usize::from(slot)
}

fn place_of(chunk: usize) -> (u32, u8) {
    let group = chunk / ChunkMask::GROUP_CHUNKS;
    (group as u32, (chunk % ChunkMask::GROUP_CHUNKS) as u8)
}
