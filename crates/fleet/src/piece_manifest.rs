//! Manifest of a version of weights: the digests of its pieces.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digests of all pieces of one version, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceManifest {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Size of a piece in bytes.
    pub piece_bytes: usize,
    /// Digest of each piece.
    pub digests: Vec<[u8; 32]>,
}

impl PieceManifest {
    /// Returns whether `bytes` are the content of piece `index`.
    pub fn matches(&self, index: usize, bytes: &[u8]) -> bool {
        self.digests
            .get(index)
            .is_some_and(|it| Self::digest(bytes) == *it)
    }

    /// Returns the digest of the content of a piece.
    pub fn digest(bytes: &[u8]) -> [u8; 32] {
        Sha256::digest(bytes).into()
    }

    /// Returns the number of pieces.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Returns whether there are no pieces.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }
}
