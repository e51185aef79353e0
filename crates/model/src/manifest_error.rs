//! Errors in weight manifests.

use std::{error, fmt};

/// The reason why a manifest is inconsistent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestError {
    /// The chunk size is zero.
    ZeroChunkSize,
    /// The total size of the weights is zero.
    EmptyWeights,
    /// The number of listed chunks does not match the sizes.
    ChunkCount {
        /// The number of chunks computed from the sizes.
        expected: u64,
        /// The number of listed chunks.
        listed: u64,
    },
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZeroChunkSize => f.write_str("the chunk size is zero"),
            Self::EmptyWeights => f.write_str("the weights are empty"),
            Self::ChunkCount { expected, listed } => {
                write!(
                    f,
                    "the sizes require {expected} chunks, but {listed} are listed"
                )
            }
        }
    }
}

impl error::Error for ManifestError {}
