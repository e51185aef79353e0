//! Pieces of weights that are staged at a simulated replica, and the faults of the place where they lie.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::site::site_weights::SiteWeights;

/// Staged pieces by index. Nothing is checked when they are written.
#[derive(Debug, Default)]
pub(crate) struct StagedStore {
    pieces: BTreeMap<usize, Vec<u8>>,
    /// When pieces were corrupted, by index.
    corrupted_at: BTreeMap<usize, Instant>,
    /// Time in which a piece is returned.
    read_time: Duration,
    /// Number of reads that have begun.
    reads: u64,
    /// Piece that is corrupted once it has been returned this number of times.
    corrupt_after_reads: Option<(usize, u32)>,
}

/// How the staged pieces compare with a version that is to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadCheck {
    /// All pieces are those of the version.
    Whole,
    /// Some are not, but have been corrupt for no longer than [`EXCUSED_CORRUPTION`].
    Excused,
    /// Some are missing, of another version, or have been corrupt for longer.
    Invalid,
}

impl StagedStore {
    /// Creates a store with all pieces of `version`, or none for version 0.
    pub(crate) fn with_version(weights: SiteWeights, version: u64) -> Self {
        let indices = (0..weights.pieces).filter(|_| version > 0);
        Self {
            pieces: indices.map(|it| (it, weights.piece(version, it))).collect(),
            ..Self::default()
        }
    }

    /// Begins a read of a piece; returns its content, if it is staged, and the time after which it is returned.
    pub(crate) fn begin_read(&mut self, index: Option<usize>) -> (Option<Vec<u8>>, Duration) {
        self.reads += 1;
        let piece = index.and_then(|it| self.pieces.get(&it).cloned());
        (piece, self.read_time)
    }

    /// Records that a piece has been returned.
    pub(crate) fn end_read(&mut self, index: usize) {
        let Some((_, reads)) = self.corrupt_after_reads.as_mut().filter(|it| it.0 == index) else {
            return;
        };
        *reads = reads.saturating_sub(1);
        if *reads == 0 {
            self.corrupt_after_reads = None;
            self.corrupt(index);
        }
    }

    pub(crate) fn put(&mut self, index: usize, bytes: Vec<u8>) {
        self.pieces.insert(index, bytes);
        self.corrupted_at.remove(&index);
    }

    pub(crate) fn corrupt(&mut self, index: usize) {
        let piece = self.pieces.get_mut(&index);
        if let Some(byte) = piece.and_then(|it| it.first_mut()) {
            *byte ^= 1;
            self.corrupted_at.insert(index, Instant::now());
        }
    }

    pub(crate) fn check(&self, weights: SiteWeights, version: u64) -> LoadCheck {
        let is_whole = |it: &usize| self.pieces.get(it) == Some(&weights.piece(version, *it));
        let is_excused = |it: usize| {
            let corrupted_at = self.corrupted_at.get(&it);
            corrupted_at.is_some_and(|it| it.elapsed() <= EXCUSED_CORRUPTION)
        };
        let mut others = (0..weights.pieces).filter(|it| !is_whole(it)).peekable();
        if others.peek().is_none() {
            return LoadCheck::Whole;
        }
        match others.all(is_excused) {
            true => LoadCheck::Excused,
            false => LoadCheck::Invalid,
        }
    }

    pub(crate) fn reads(&self) -> u64 {
        self.reads
    }

    pub(crate) fn set_read_time(&mut self, read_time: Duration) {
        self.read_time = read_time;
    }

    pub(crate) fn corrupt_after_reads(&mut self, index: usize, reads: u32) {
        self.corrupt_after_reads = Some((index, reads));
    }
}

/// Time for which a staged piece may have been corrupt when a replica is ordered to load it: agents cannot notice it at once.
pub const EXCUSED_CORRUPTION: Duration = Duration::from_secs(3);
