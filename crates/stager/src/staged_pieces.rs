//! Record of the pieces of the target version that are staged at the replica.

use std::sync::Arc;
use std::time::Instant;

use fleet::PieceManifest;

/// Staged pieces of one version, with the time at which the digest of each was last known to match.
#[derive(Debug, Default)]
pub(crate) struct StagedPieces {
    manifest: Option<Arc<PieceManifest>>,
    verified_at: Vec<Option<Instant>>,
    plan_count: usize,
}

impl StagedPieces {
    /// Starts tracking the version of `manifest`, with no pieces staged.
    pub(crate) fn reset(&mut self, manifest: Arc<PieceManifest>) {
        self.verified_at = vec![None; manifest.len()];
        self.plan_count = 0;
        self.manifest = Some(manifest);
    }

    /// Counts a new fetch plan for the version and returns the number of earlier ones.
    pub(crate) fn begin_plan(&mut self) -> usize {
        self.plan_count += 1;
        self.plan_count - 1
    }

    /// Returns the manifest if `version` of `model` is the tracked version.
    pub(crate) fn manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.manifest
            .as_ref()
            .filter(|it| it.model == model && it.version == version)
    }

    /// Marks all pieces as staged, because the replica already serves the version. The digest of each is checked before
    /// it is sent to another agent.
    pub(crate) fn mark_all_staged(&mut self, now: Instant) {
        self.verified_at.fill(Some(now));
    }

    /// Records that a piece was written to the replica or that its digest matches.
    pub(crate) fn record_verified(&mut self, index: usize, now: Instant) {
        self.verified_at[index] = Some(now);
    }

    /// Records that a piece is missing or corrupt.
    pub(crate) fn record_missing(&mut self, index: usize) {
        self.verified_at[index] = None;
    }

    /// Returns whether a piece is staged.
    pub(crate) fn is_staged(&self, index: usize) -> bool {
        self.verified_at.get(index).is_some_and(Option::is_some)
    }

    /// Returns the indices of the pieces that are not staged.
    pub(crate) fn missing(&self) -> Vec<usize> {
        (0..self.verified_at.len())
            .filter(|it| !self.is_staged(*it))
            .collect()
    }

    /// Returns the indices of the staged pieces that were last verified before `cutoff`.
    pub(crate) fn verified_before(&self, cutoff: Instant) -> Vec<usize> {
        (0..self.verified_at.len())
            .filter(|it| self.verified_at[*it].is_some_and(|verified_at| verified_at < cutoff))
            .collect()
    }

    /// Clears the record, because a new incarnation of the replica may have lost its staged pieces.
    pub(crate) fn clear(&mut self) {
        self.manifest = None;
        self.verified_at.clear();
    }
}
