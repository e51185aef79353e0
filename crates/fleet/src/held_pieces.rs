//! Pieces of a version that are kept in memory while the replica's staging area contains an older one.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::piece_manifest::PieceManifest;
use crate::piece_set::PieceSet;

/// Verified pieces of one version.
///
/// The replica stores one copy of each piece, so pieces of a newer version would overwrite a staged one that may still be
/// loaded. Other agents can have these pieces meanwhile.
#[derive(Clone, Debug, Default)]
pub struct HeldPieces {
    held: Option<HeldVersion>,
}

#[derive(Clone, Debug)]
struct HeldVersion {
    manifest: Arc<PieceManifest>,
    pieces: PieceSet,
    bytes: BTreeMap<usize, Arc<Vec<u8>>>,
}

impl HeldPieces {
    /// Begins to keep the version of `manifest` instead of the one before; returns whether it fits into the memory.
    pub fn reset(&mut self, manifest: Arc<PieceManifest>) -> bool {
        let size = manifest.len().saturating_mul(manifest.piece_bytes);
        if size > MAX_HELD_BYTES {
            return false;
        }
        self.held = Some(HeldVersion {
            pieces: PieceSet::new(manifest.len()),
            bytes: BTreeMap::new(),
            manifest,
        });
        true
    }

    /// Returns the version of which pieces are kept.
    pub fn version(&self) -> Option<u64> {
        let held = self.held.as_ref();
        held.filter(|it| !it.bytes.is_empty())
            .map(|it| it.manifest.version)
    }

    /// Returns the manifest if it is of `version` of `model`.
    pub fn manifest(&self, model: &str, version: u64) -> Option<&Arc<PieceManifest>> {
        self.find(model, version).map(|it| &it.manifest)
    }

    /// Returns which pieces of `version` of `model` are kept.
    pub fn pieces(&self, model: &str, version: u64) -> Option<&PieceSet> {
        self.find(model, version).map(|it| &it.pieces)
    }

    /// Returns a piece of `version` of `model`.
    pub fn piece(&self, model: &str, version: u64, index: usize) -> Option<&Arc<Vec<u8>>> {
        let held = self.find(model, version)?;
        held.bytes.get(&index)
    }

    /// Keeps a piece of `version` of `model` if the manifest names its digest; returns whether it is kept.
    pub fn insert(&mut self, model: &str, version: u64, index: usize, bytes: Vec<u8>) -> bool {
        let held = self.held.as_mut();
        let held = held.filter(|it| it.is(model, version));
        let Some(held) = held.filter(|it| it.manifest.matches(index, &bytes)) else {
            return false;
        };
        held.pieces.insert(index);
        held.bytes.insert(index, Arc::new(bytes));
        true
    }

    /// Drops all pieces and the manifest.
    pub fn clear(&mut self) {
        self.held = None;
    }

    fn find(&self, model: &str, version: u64) -> Option<&HeldVersion> {
        let held = self.held.as_ref();
        held.filter(|it| it.is(model, version))
    }
}

impl HeldVersion {
    fn is(&self, model: &str, version: u64) -> bool {
        self.manifest.model == model && self.manifest.version == version
    }
}

/// Maximum size of a version that is kept; an eighth of the memory of the smallest agent, 128 MB.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;
