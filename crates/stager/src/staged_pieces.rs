//! Record of the pieces of the target version that are staged at the replica.

use std::sync::Arc;
use std::time::Instant;

use fleet::{PieceManifest, PieceSet};

use crate::agent_shared::WeightTarget;

/// Staged pieces of one version, with the time at which the digest of each was last known to match.
///
/// The replica stores one copy of each piece, so the pieces of a newer version replace those of the previous one one by
/// one. Until then, agents that still need the previous version can have them.
#[derive(Debug, Default)]
pub(crate) struct StagedPieces {
    current: Option<StagedVersion>,
    previous: Option<StagedVersion>,
}

#[derive(Debug)]
struct StagedVersion {
    manifest: Arc<PieceManifest>,
    staged: PieceSet,
    verified_at: Vec<Option<Instant>>,
}

impl StagedPieces {
    /// Starts tracking the version of `manifest`. Staged pieces of the previous version that are the same in this one
    /// are kept.
    pub(crate) fn reset(&mut self, manifest: Arc<PieceManifest>) {
        let mut staged = PieceSet::new(manifest.len());
        let mut verified_at = vec![None; manifest.len()];
        self.previous = self.current.take();
        if let Some(previous) = &self.previous {
            let is_same_model = previous.manifest.model == manifest.model;
            let digests = previous.manifest.digests.iter().zip(&manifest.digests);
            for (index, (before, after)) in digests.enumerate() {
                if is_same_model && before == after && previous.staged.contains(index) {
                    staged.insert(index);
                    verified_at[index] = previous.verified_at[index];
                }
            }
        }
        self.current = Some(StagedVersion {
            manifest,
            staged,
            verified_at,
        });
    }

    /// Tracks the version before the current one again if it is `target`, with the pieces that are still staged.
    pub(crate) fn return_to(&mut self, target: &WeightTarget) {
        let previous = self.previous.as_ref();
        if previous.is_some_and(|it| it.is(&target.model, target.version)) {
            std::mem::swap(&mut self.current, &mut self.previous);
        }
    }

    /// Returns the manifest if `version` of `model` is the tracked version or the one before it.
    pub(crate) fn manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.version(model, version).map(|it| &it.manifest)
    }

    /// Returns the staged pieces if `version` of `model` is the tracked version or the one before it.
    pub(crate) fn pieces(&self, model: &str, version: u64) -> Option<&PieceSet> {
        self.version(model, version).map(|it| &it.staged)
    }

    /// Returns the staged pieces of `target` if it is the tracked version.
    pub(crate) fn of(&self, target: &WeightTarget) -> Option<&PieceSet> {
        let current = self.current.as_ref();
        let current = current.filter(|it| it.is(&target.model, target.version));
        current.map(|it| &it.staged)
    }

    /// Returns the manifest of `target` if it is the tracked version.
    pub(crate) fn manifest_of(&self, target: &WeightTarget) -> Option<&Arc<PieceManifest>> {
        let current = self.current.as_ref();
        let current = current.filter(|it| it.is(&target.model, target.version));
        current.map(|it| &it.manifest)
    }

    /// Marks all pieces as staged, because the replica already serves the version. None of them counts as verified: the
    /// digest of each is checked before it is sent to another agent or loaded.
    pub(crate) fn mark_all_staged(&mut self) {
        if let Some(current) = &mut self.current {
            current.staged = PieceSet::full(current.staged.len());
        }
        if let Some(previous) = &mut self.previous {
            previous.staged = PieceSet::new(previous.staged.len());
        }
    }

    /// Records that a piece was written to the replica or that its digest matches.
    pub(crate) fn record_verified(&mut self, index: usize, now: Instant) {
        if let Some(current) = &mut self.current {
            current.verified_at[index] = Some(now);
            current.staged.insert(index);
        }
        if let Some(previous) = &mut self.previous {
            previous.remove(index);
        }
    }

    /// Records that a piece is missing or corrupt.
    pub(crate) fn record_missing(&mut self, index: usize) {
        let versions = [&mut self.current, &mut self.previous];
        for version in versions.into_iter().flatten() {
            version.remove(index);
        }
    }

    /// Returns the number of pieces of the tracked version that are not staged.
    pub(crate) fn missing_count(&self) -> usize {
        let current = self.current.as_ref();
        current.map_or(0, |it| it.staged.len() - it.staged.count())
    }

    /// Returns the indices of the staged pieces that were last verified before `cutoff`, or never.
    pub(crate) fn verified_before(&self, cutoff: Instant) -> Vec<usize> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let verified_at = current.verified_at.iter().enumerate();
        let outdated = verified_at.filter(|it| it.1.is_none_or(|it| it < cutoff));
        let staged = outdated.filter(|it| current.staged.contains(it.0));
        staged.map(|it| it.0).collect()
    }

    /// Returns the earliest of the last verifications of all staged pieces.
    pub(crate) fn oldest_verification(&self) -> Option<Instant> {
        let verified_at = self.current.iter().flat_map(|it| &it.verified_at);
        verified_at.flatten().min().copied()
    }

    /// Clears the record, because a new incarnation of the replica may have lost its staged pieces.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn version(&self, model: &str, version: u64) -> Option<&StagedVersion> {
        let versions = [&self.current, &self.previous];
        let mut versions = versions.into_iter().flatten();
        versions.find(|it| it.is(model, version))
    }
}

impl StagedVersion {
    fn remove(&mut self, index: usize) {
        if let Some(verified_at) = self.verified_at.get_mut(index) {
            *verified_at = None;
        }
        self.staged.remove(index);
    }

    fn is(&self, model: &str, version: u64) -> bool {
        self.manifest.model == model && self.manifest.version == version
    }
}
