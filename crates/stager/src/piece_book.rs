//! Which pieces of the wanted weights are staged at the replica.

use std::sync::Arc;
use std::time::Instant;

use fleet::PieceManifest;

/// Pieces of one version, with the time at which each was last known to be sound.
#[derive(Debug, Default)]
pub(crate) struct PieceBook {
    manifest: Option<Arc<PieceManifest>>,
    sound: Vec<Option<Instant>>,
    plans: usize,
}

impl PieceBook {
    /// Starts over for another version.
    pub(crate) fn aim(&mut self, manifest: Arc<PieceManifest>) {
        self.sound = vec![None; manifest.len()];
        self.plans = 0;
        self.manifest = Some(manifest);
    }

    /// Counts one more plan for the version; returns how many there were before.
    pub(crate) fn next_plan(&mut self) -> usize {
        self.plans += 1;
        self.plans - 1
    }

    /// Returns the manifest of `version` of `model`, if the book is about it.
    pub(crate) fn manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.manifest
            .as_ref()
            .filter(|it| it.model == model && it.version == version)
    }

    /// Takes all pieces as staged, because the replica serves the version; each is checked before it is passed on.
    pub(crate) fn assume_all(&mut self, now: Instant) {
        self.sound.fill(Some(now));
    }

    /// Notes that a piece was found sound at the replica or put there.
    pub(crate) fn note_sound(&mut self, index: usize, now: Instant) {
        self.sound[index] = Some(now);
    }

    /// Notes that a piece is missing or spoilt.
    pub(crate) fn note_lost(&mut self, index: usize) {
        self.sound[index] = None;
    }

    /// Says whether a piece is staged.
    pub(crate) fn has(&self, index: usize) -> bool {
        self.sound.get(index).is_some_and(Option::is_some)
    }

    /// Returns the pieces that are not staged.
    pub(crate) fn missing(&self) -> Vec<usize> {
        (0..self.sound.len()).filter(|it| !self.has(*it)).collect()
    }

    /// Returns the pieces that were last known to be sound before `moment`.
    pub(crate) fn older_than(&self, moment: Instant) -> Vec<usize> {
        (0..self.sound.len())
            .filter(|it| self.sound[*it].is_some_and(|at| at < moment))
            .collect()
    }

    /// Forgets all pieces, because the replica lost what was staged.
    pub(crate) fn clear(&mut self) {
        self.manifest = None;
        self.sound.clear();
    }
}
