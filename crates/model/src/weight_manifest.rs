//! Manifests of model weights.

use serde::{Deserialize, Serialize};

use crate::content_digest::{ContentDigest, VersionDigest};
use crate::manifest_error::ManifestError;
use crate::names::{ModelName, VersionLabel};

/// Domain separator of version digests: hashed before the manifest, so that a version digest cannot equal the digest of
/// other data.
const MANIFEST_DOMAIN: &[u8] = b"fulmarline-manifest-1";

/// Describes one version of a model's weights and lists its chunks. `docs/PLATFORM.md` specifies where the origin
/// stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightManifest {
    /// The model that the weights belong to.
    pub model: ModelName,
    /// The human-readable label of the version.
    pub label: VersionLabel,
    /// Size of every chunk except the last one, in bytes.
    pub chunk_bytes: u64,
    /// Total size of the weights in bytes.
    pub total_bytes: u64,
    /// Digests of the chunks, in order.
    pub chunks: Vec<ContentDigest>,
    /// Digest of the complete weights.
    #[serde(rename = "whole")]
    pub full_digest: ContentDigest,
}

impl WeightManifest {
    /// Creates the manifest of `data`, split into chunks of `chunk_bytes` bytes.
    pub fn from_data(model: ModelName, label: VersionLabel, chunk_bytes: u64, data: &[u8]) -> Self {
        let chunk_len = usize::try_from(chunk_bytes).unwrap_or(usize::MAX).max(1);
        let chunks = data.chunks(chunk_len).map(ContentDigest::of).collect();
        let total_bytes = data.len() as u64;
        Self {
            model,
            label,
            chunk_bytes,
            total_bytes,
            chunks,
            full_digest: ContentDigest::of(data),
        }
    }

    /// Checks that the sizes and the number of chunks are consistent. Manifests come from outside the system and
    /// determine how much space is allocated, so they must be checked before use.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn validate(&self) -> Result<(), ManifestError> {
        if self.chunk_bytes == 0 {
            return Err(ManifestError::ZeroChunkSize);
        }
        if self.total_bytes == 0 {
            return Err(ManifestError::EmptyWeights);
        }
        let expected = self.total_bytes.div_ceil(self.chunk_bytes);
        if expected != self.chunks.len() as u64 {
            return Err(ManifestError::ChunkCount {
                expected,
                listed: self.chunks.len() as u64,
            });
        }
        Ok(())
    }

    /// Computes the digest that identifies this version. It covers the sizes and digests, which determine the contents,
    /// but not the names of the model and the version.
    pub fn version(&self) -> VersionDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(MANIFEST_DOMAIN);
        hasher.update(&self.chunk_bytes.to_le_bytes());
        hasher.update(&self.total_bytes.to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.update(self.full_digest.as_bytes());
        VersionDigest::from_bytes(*hasher.finalize().as_bytes())
    }

    /// Returns the number of chunks.
    pub fn chunk_count(&self) -> usize {
        self.chunks.len()
    }

    /// Returns the byte offset and the length of chunk `idx`.
    pub fn chunk_range(&self, idx: usize) -> (u64, u64) {
        let start = idx as u64 * self.chunk_bytes;
        (
            start,
            self.chunk_bytes.min(self.total_bytes.saturating_sub(start)),
        )
    }
}
