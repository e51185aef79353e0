//! Replies to chunk reports.

use std::net::SocketAddr;

use model::ChunkAssignment;
use serde::{Deserialize, Serialize};

/// A tracker's reply to an agent's report of a group of chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReportReply {
    /// The entry that tracks the group, if it is not the one that received the report.
    pub redirect: Option<SocketAddr>,
    /// Chunks to fetch, in descending order of urgency.
    pub assignments: Vec<ChunkAssignment>,
    /// Whether every host serves the version, so that the agent can release its chunks from memory.
    pub released: bool,
}
