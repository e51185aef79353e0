//! What to fetch from where.

use std::net::SocketAddr;

use model::ChunkAnnouncement;
use serde::{Deserialize, Serialize};

/// An agent's question to its tracker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRequest {
    /// What the agent holds.
    pub announcement: ChunkAnnouncement,
    /// Assignments that the agent can take on.
    pub room: u32,
}

/// A tracker's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanReply {
    /// Chunks to fetch, the most urgent first.
    pub assignments: Vec<ChunkAssignment>,
}

/// One chunk and where to fetch it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAssignment {
    /// Index of the chunk in the manifest.
    pub chunk: u32,
    /// Where to fetch it.
    pub source: SocketAddr,
    /// What stands at that address.
    pub kind: SourceKind,
}

/// Kinds of sources of chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SourceKind {
    /// The origin of weights.
    Origin,
    /// The rate-limited weight store.
    WeightStore,
    /// Another agent.
    Peer,
}
