//! Progress of a transfer of weights.

use serde::{Deserialize, Serialize};

use crate::content_digest::VersionDigest;

/// How far a host has come with the version that it was told to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferState {
    /// The version that is being fetched or has been fetched.
    pub version: VersionDigest,
    /// Verified chunks.
    pub have_chunks: u32,
    /// Chunks of the version.
    pub total_chunks: u32,
}

impl TransferState {
    /// Tells whether every chunk is present and verified.
    pub fn is_complete(&self) -> bool {
        self.have_chunks == self.total_chunks
    }
}
