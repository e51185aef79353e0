//! Messages between agents and the trackers that assign chunk transfers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::chunk_mask::ChunkMask;
use crate::chunk_source::ChunkSource;
use crate::content_digest::VersionDigest;
use crate::names::{HostName, RegionName, ZoneName};
use crate::target_row::Incarnation;

/// Identifies a group of chunks of one version. Within a region, one tracker assigns the transfers of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupKey {
    /// The version that the chunks belong to.
    pub version: VersionDigest,
    /// The index of the group. The index of its first chunk is `group * ChunkMask::CHUNKS_PER_GROUP`.
    pub group: u32,
    /// The number of chunks in the group, included so that a tracker does not need the manifest.
    pub chunks: u8,
}

/// An agent's transfer state for one group and its request for further assignments.
///
/// A report contains everything that a tracker records about the agent, so that a new tracker can rebuild its state
/// from reports alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkReport {
    /// The host that sent the report.
    pub host: HostName,
    /// The incarnation of the reporting agent.
    pub incarnation: Incarnation,
    /// Increases with every report of an incarnation, so that reports that arrive out of order can be detected.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// The address where the host serves chunks to other agents.
    pub peers: SocketAddr,
    /// The group that the report is about.
    pub key: GroupKey,
    /// The chunks that are present and verified.
    pub present: ChunkMask,
    /// The chunks that are being fetched.
    pub fetching: ChunkMask,
    /// The chunks in `fetching` whose source is outside the region.
    pub importing: ChunkMask,
    /// The number of chunks of the group that the host has sent to other hosts.
    pub sent: u32,
    /// The maximum number of assignments in the reply, or 0 if the agent requests no work in this group.
    pub max_assignments: u8,
    /// Fetches that failed since the last report.
    pub failures: Vec<FetchFailure>,
}

/// A failed fetch of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFailure {
    /// The index of the chunk within the group.
    pub slot: u8,
    /// The source that the chunk was requested from.
    pub source: ChunkSource,
    /// The reason for the failure.
    pub fault: FetchFault,
}

/// The reason why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FetchFault {
    /// The source refused the request because of its rate limit or its limit on concurrent uploads, or the agent is
    /// backing off from it.
    Busy,
    /// The source does not have the chunk.
    Absent,
    /// The connection failed or made no progress.
    Stalled,
    /// The received bytes do not match the digest of the chunk.
    Corrupt,
}

/// A chunk that an agent should fetch, and its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAssignment {
    /// The index of the chunk within the group.
    pub slot: u8,
    /// The source to fetch the chunk from.
    pub source: ChunkSource,
}

/// A chunk that a region offers to other regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkOffer {
    /// The index of the chunk within the group.
    pub slot: u8,
    /// A host that has the chunk.
    pub host: HostName,
    /// The address where the host serves chunks.
    pub address: SocketAddr,
}
