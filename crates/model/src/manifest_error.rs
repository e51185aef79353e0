//! Errors of manifests.

use std::{error, fmt};

/// Why a manifest contradicts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestError {
    /// The chunk size is zero.
    ZeroChunkSize,
    /// The weights have no bytes.
    EmptyWeights,
    /// The sizes call for another number of chunks than is listed.
    ChunkCount {
        /// The number that the sizes call for.
        expected: u64,
        /// The number that is listed.
        listed: u64,
    },
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZeroChunkSize => f.write_str("the chunk size is zero"),
            Self::EmptyWeights => f.write_str("the weights have no bytes"),
            Self::ChunkCount { expected, listed } => {
                write!(
                    f,
                    "the sizes call for {expected} chunks, but {listed} are listed"
                )
            }
        }
    }
}

impl error::Error for ManifestError {}
