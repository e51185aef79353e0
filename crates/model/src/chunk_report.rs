//! What an agent tells the tracker of one group of chunks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::chunk_mask::ChunkMask;
use crate::chunk_source::ChunkSource;
use crate::content_digest::VersionDigest;
use crate::names::{HostName, RegionName, ZoneName};
use crate::target_row::Incarnation;

/// Names a group of chunks of one version, which one tracker of a region looks after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupKey {
    /// The version that the chunks belong to.
    pub version: VersionDigest,
    /// Number of the group; its first chunk is `group * ChunkMask::CHUNKS_PER_GROUP`.
    pub group: u32,
    /// Chunks of the group, so that a tracker needs no manifest.
    pub chunks: u8,
}

/// An agent's state in one group and its wish for work; it alone rebuilds what a lost tracker knew of the agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReport {
    /// The host that reports.
    pub host: HostName,
    /// Which process under that host name.
    pub incarnation: Incarnation,
    /// Grows with every report of an incarnation, so that a late one is recognised.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// Where other agents fetch chunks.
    pub peers: SocketAddr,
    /// The group that the report is about.
    pub key: GroupKey,
    /// The chunks that are present and verified.
    pub have: ChunkMask,
    /// The chunks that are being fetched.
    pub fetching: ChunkMask,
    /// Those of `fetching` that come from outside the region.
    pub importing: ChunkMask,
    /// Chunks of the group that the host has sent to others.
    pub sent: u32,
    /// Further assignments that the agent can take on.
    pub max_assignments: u8,
    /// Fetches that failed since the last report.
    pub failures: Vec<FetchFailure>,
}

/// A fetch that did not bring its chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFailure {
    /// The chunk's slot in the group.
    pub slot: u8,
    /// Where it should have come from.
    pub source: ChunkSource,
    /// What went wrong.
    pub fault: FetchFault,
}

/// What went wrong with a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FetchFault {
    /// The source refused because of its rate limit.
    Busy,
    /// The source does not hold the chunk.
    Absent,
    /// The connection failed or made no progress.
    Stalled,
    /// The bytes do not have the digest of the chunk.
    Corrupted,
}

/// One chunk to fetch and where from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAssignment {
    /// The chunk's slot in the group.
    pub slot: u8,
    /// Where to fetch it.
    pub source: ChunkSource,
}

/// A chunk that one region can give to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkOffer {
    /// The chunk's slot in the group.
    pub slot: u8,
    /// A host that holds it.
    pub host: HostName,
    /// Where the host serves chunks.
    pub address: SocketAddr,
}
