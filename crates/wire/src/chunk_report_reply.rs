//! A tracker's answers.

use std::net::SocketAddr;

use model::ChunkAssignment;
use serde::{Deserialize, Serialize};

/// What an agent gets back for its report of a group of chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReportReply {
    /// The entry that tracks the group, when it is not the one that was asked.
    pub redirect: Option<SocketAddr>,
    /// Chunks to fetch, the most urgent first.
    pub assignments: Vec<ChunkAssignment>,
    /// Whether every host serves the version, so that its chunks need not be kept in memory.
    pub released: bool,
}
