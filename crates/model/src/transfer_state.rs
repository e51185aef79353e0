//! Progress of weight transfers.

use serde::{Deserialize, Serialize};

use crate::content_digest::VersionDigest;

/// The progress of a host's transfer of the version that it is configured to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferState {
    /// The version that is or was transferred.
    pub version: VersionDigest,
    /// The number of chunks that are present and verified.
    pub have_chunks: u32,
    /// The number of chunks of the version.
    pub total_chunks: u32,
}

impl TransferState {
    /// Returns whether all chunks are present and verified.
    pub fn is_complete(&self) -> bool {
        self.have_chunks == self.total_chunks
    }
}
