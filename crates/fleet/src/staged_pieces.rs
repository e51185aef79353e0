//! Record of the pieces of weights that are staged at a replica, and of when each was last seen to be valid.
//!
//! A staged piece may turn bad at any time, so a record that it is valid says only when that was so. Whoever orders a load
//! needs a [`LoadPermit`], which looks at these times at the moment of the order. See `docs/incidents/spoilt-pieces.md`.

use std::sync::Arc;
use std::time::Duration;

use crate::manifest_doubt::ManifestDoubt;
use crate::piece_manifest::PieceManifest;
use crate::piece_set::PieceSet;
use crate::sound_silence::MAX_SOUND_SILENCE;

/// Staged pieces of one version. Times are measured since the host was booted and include suspension, because pieces turn
/// bad also while their agent is suspended.
///
/// The replica stores one copy of each piece, so the pieces of a newer version replace those of the previous one one by
/// one. Until then, agents that still need the previous version can have them.
#[derive(Clone, Debug, Default)]
pub struct StagedPieces {
    current: Option<StagedVersion>,
    previous: Option<StagedVersion>,
}

#[derive(Clone, Debug)]
struct StagedVersion {
    manifest: Arc<PieceManifest>,
    staged: PieceSet,
    checks: Vec<PieceCheck>,
    doubt: ManifestDoubt,
}

/// What is known of one piece.
#[derive(Clone, Copy, Debug, Default)]
struct PieceCheck {
    /// When the last read or write was sent that showed the piece to be valid.
    valid_at: Option<Duration>,
    /// When the piece was last found to be missing or corrupt, or began to be written.
    missing_at: Option<Duration>,
}

/// Permission to order a load: at the time for which it was given, each staged piece had been seen to be valid within
/// [`MAX_VERIFICATION_AGE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPermit {
    /// Age of the oldest verification of a staged piece.
    pub oldest_age: Duration,
    /// Time since boot at which that verification becomes too old.
    pub expires_at: Duration,
}

/// Why a load must not be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadDenial {
    /// Another version is staged.
    OtherVersion,
    /// This number of pieces is not staged.
    Missing(usize),
    /// These pieces were not verified recently enough, or never. Those that were verified first come first.
    Outdated(Vec<usize>),
}

impl StagedPieces {
    /// Starts tracking the version of `manifest`. Staged pieces of the previous version that are the same in this one
    /// are kept.
    pub fn reset(&mut self, manifest: Arc<PieceManifest>) {
        let mut staged = PieceSet::new(manifest.len());
        let mut checks = vec![PieceCheck::default(); manifest.len()];
        self.previous = self.current.take();
        if let Some(previous) = &self.previous {
            let is_same_model = previous.manifest.model == manifest.model;
            let digests = previous.manifest.digests.iter().zip(&manifest.digests);
            for (index, (before, after)) in digests.enumerate() {
                if is_same_model && before == after && previous.staged.contains(index) {
                    staged.insert(index);
                    checks[index] = previous.checks[index];
                }
            }
        }
        self.current = Some(StagedVersion {
            manifest,
            staged,
            checks,
            doubt: ManifestDoubt::default(),
        });
    }

    /// Replaces the manifest of the tracked version, if `manifest` is another one of that version; returns whether it is. Pieces
    /// that it names as before stay staged.
    pub fn replace_manifest(&mut self, manifest: Arc<PieceManifest>) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|it| it.is(&manifest.model, manifest.version)) else {
            return false;
        };
        if current.manifest == manifest {
            return false;
        }
        let mut replacement = StagedVersion {
            staged: PieceSet::new(manifest.len()),
            checks: vec![PieceCheck::default(); manifest.len()],
            doubt: ManifestDoubt::default(),
            manifest,
        };
        let digests = current.manifest.digests.iter();
        let digests = digests.zip(&replacement.manifest.digests);
        for (index, _) in digests.enumerate().filter(|(_, it)| it.0 == it.1) {
            replacement.checks[index] = current.checks[index];
            if current.staged.contains(index) {
                replacement.staged.insert(index);
            }
        }
        *current = replacement;
        true
    }

    /// Records that piece `index` of the tracked version arrived with `digest`, which the manifest does not name.
    pub fn record_mismatch(&mut self, index: usize, digest: [u8; 32]) {
        if let Some(current) = &mut self.current {
            current.doubt.record_mismatch(index, digest);
        }
    }

    /// Records that no source has another manifest of the tracked version.
    pub fn record_confirmation(&mut self) {
        if let Some(current) = &mut self.current {
            current.doubt.record_confirmation();
        }
    }

    /// Returns whether the manifest of the tracked version is most likely wrong, because a piece has arrived repeatedly with
    /// the same digest, which it does not name.
    pub fn is_manifest_doubted(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|it| it.doubt.is_doubted())
    }

    /// Tracks the version before the current one again if it is `version` of `model`, with the pieces that are still
    /// staged.
    pub fn return_to(&mut self, model: &str, version: u64) {
        let previous = self.previous.as_ref();
        if previous.is_some_and(|it| it.is(model, version)) {
            std::mem::swap(&mut self.current, &mut self.previous);
        }
    }

    /// Returns the manifest if `version` of `model` is the tracked version or the one before it.
    pub fn manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.version(model, version).map(|it| &it.manifest)
    }

    /// Returns the staged pieces if `version` of `model` is the tracked version or the one before it.
    pub fn pieces(&self, model: &str, version: u64) -> Option<&PieceSet> {
        self.version(model, version).map(|it| &it.staged)
    }

    /// Returns the staged pieces if `version` of `model` is the tracked version.
    pub fn current_pieces(&self, model: &str, version: u64) -> Option<&PieceSet> {
        self.current(model, version).map(|it| &it.staged)
    }

    /// Returns the manifest if `version` of `model` is the tracked version.
    pub fn current_manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.current(model, version).map(|it| &it.manifest)
    }

    /// Marks all pieces as staged, because the replica already serves the version. None of them counts as verified: the
    /// digest of each is checked before it is sent to another agent or loaded.
    pub fn mark_all_staged(&mut self) {
        if let Some(current) = &mut self.current {
            current.staged = PieceSet::full(current.staged.len());
        }
        if let Some(previous) = &mut self.previous {
            previous.staged = PieceSet::new(previous.staged.len());
        }
    }

    /// Records that a read or a write that was sent at `sent_at` has shown a piece to be valid, unless it was found to be
    /// missing since.
    pub fn record_valid(&mut self, index: usize, sent_at: Duration) {
        let Some(current) = &mut self.current else {
            return;
        };
        let Some(check) = current.checks.get_mut(index) else {
            return;
        };
        if check.missing_at.is_some_and(|it| it > sent_at) {
            return;
        }
        check.valid_at = check.valid_at.max(Some(sent_at));
        current.staged.insert(index);
        if let Some(previous) = &mut self.previous {
            previous.staged.remove(index);
        }
    }

    /// Records that a read that was sent at `sent_at` has shown a piece to be missing or corrupt, or that it is written from
    /// then on, unless it was found to be valid since.
    pub fn record_missing(&mut self, index: usize, sent_at: Duration) {
        let versions = [&mut self.current, &mut self.previous];
        for version in versions.into_iter().flatten() {
            let Some(check) = version.checks.get_mut(index) else {
                continue;
            };
            if check.valid_at > Some(sent_at) {
                continue;
            }
            *check = PieceCheck {
                valid_at: None,
                missing_at: Some(sent_at),
            };
            version.staged.remove(index);
        }
    }

    /// Returns the number of pieces of the tracked version that are not staged.
    pub fn missing_count(&self) -> usize {
        let current = self.current.as_ref();
        current.map_or(0, |it| it.staged.len() - it.staged.count())
    }

    /// Returns whether a load of `version` of `model` may be ordered if the order is sent by `sent_by`.
    ///
    /// # Errors
    ///
    /// [`LoadDenial`] if the order might make the replica load a piece that is missing, of another version, or has been
    /// corrupt for longer than the platform excuses.
    pub fn permit_load(
        &self,
        model: &str,
        version: u64,
        sent_by: Duration,
    ) -> Result<LoadPermit, LoadDenial> {
        let Some(current) = self.current(model, version) else {
            return Err(LoadDenial::OtherVersion);
        };
        if !current.staged.is_full() {
            return Err(LoadDenial::Missing(self.missing_count()));
        }
        let is_outdated = |it: &PieceCheck| {
            let age = it.valid_at.map(|it| sent_by.saturating_sub(it));
            age.is_none_or(|it| it > MAX_VERIFICATION_AGE)
        };
        let checks = current.checks.iter().enumerate();
        let mut outdated: Vec<(Option<Duration>, usize)> = checks
            .filter(|it| is_outdated(it.1))
            .map(|(index, check)| (check.valid_at, index))
            .collect();
        if !outdated.is_empty() {
            outdated.sort_unstable();
            return Err(LoadDenial::Outdated(
                outdated.into_iter().map(|it| it.1).collect(),
            ));
        }
        let oldest = current.checks.iter().filter_map(|it| it.valid_at).min();
        let oldest = oldest.unwrap_or(sent_by);
        Ok(LoadPermit {
            oldest_age: sent_by.saturating_sub(oldest),
            expires_at: oldest + MAX_VERIFICATION_AGE,
        })
    }

    /// Clears the record, because a new incarnation of the replica may have lost its staged pieces.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn current(&self, model: &str, version: u64) -> Option<&StagedVersion> {
        let current = self.current.as_ref();
        current.filter(|it| it.is(model, version))
    }

    fn version(&self, model: &str, version: u64) -> Option<&StagedVersion> {
        let versions = [&self.current, &self.previous];
        let mut versions = versions.into_iter().flatten();
        versions.find(|it| it.is(model, version))
    }
}

impl StagedVersion {
    fn is(&self, model: &str, version: u64) -> bool {
        self.manifest.model == model && self.manifest.version == version
    }
}

/// Maximum age of the verification of a staged piece when the order to load it is sent. The replica may accept the order
/// only after a silence, and a piece must not have been corrupt for longer than [`MAX_CORRUPTION`] then.
pub const MAX_VERIFICATION_AGE: Duration = MAX_CORRUPTION.saturating_sub(MAX_SOUND_SILENCE);

/// Time for which a piece may have been corrupt when a replica loads it. Source: the platform's rules of loads.
const MAX_CORRUPTION: Duration = Duration::from_secs(3);
