//! The description of one version of weights.

use serde::{Deserialize, Serialize};

use crate::content_digest::{ContentDigest, VersionDigest};
use crate::manifest_error::ManifestError;
use crate::names::{ModelName, VersionLabel};

/// Start of the bytes that a version digest is computed over, so that it cannot equal the digest of other data.
const MANIFEST_DOMAIN: &[u8] = b"fulmarline-manifest-1";

/// Lists the chunks of one version of a model's weights; see `docs/PLATFORM.md` for its place at the origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightManifest {
    /// The model that the weights belong to.
    pub model: ModelName,
    /// The name that people gave to the version.
    pub label: VersionLabel,
    /// Size of every chunk but the last, in bytes.
    pub chunk_bytes: u64,
    /// Size of the weights in bytes.
    pub total_bytes: u64,
    /// Digest of each chunk, in order.
    pub chunks: Vec<ContentDigest>,
    /// Digest of all bytes.
    #[serde(rename = "whole")]
    pub full_digest: ContentDigest,
}

impl WeightManifest {
    /// Cuts `data` into chunks and describes it.
    pub fn from_data(model: ModelName, label: VersionLabel, chunk_bytes: u64, data: &[u8]) -> Self {
        let step = usize::try_from(chunk_bytes).unwrap_or(usize::MAX).max(1);
        let chunks = data.chunks(step).map(ContentDigest::of).collect();
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

    /// Checks that sizes and chunk count agree.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction, because a manifest comes from outside and decides how much is allocated.
    pub fn check(&self) -> Result<(), ManifestError> {
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

    /// Computes the digest that names this version: everything that decides the bytes, nothing that people chose.
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

    /// Returns the first byte and the length of chunk `idx`.
    pub fn chunk_range(&self, idx: usize) -> (u64, u64) {
        let start = idx as u64 * self.chunk_bytes;
        (
            start,
            self.chunk_bytes.min(self.total_bytes.saturating_sub(start)),
        )
    }
}
