//! What an agent tells its tracker.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::chunk_set::ChunkSet;
use crate::content_digest::VersionDigest;
use crate::names::{HostName, RegionName, ZoneName};
use crate::target_row::Incarnation;

/// The chunks that a host can serve; soft state that a tracker loses with itself and regains by the next announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAnnouncement {
    /// The host that serves.
    pub host: HostName,
    /// Which process under that host name.
    pub incarnation: Incarnation,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// Where other agents fetch chunks.
    pub peers: SocketAddr,
    /// The version that the indexes belong to.
    pub version: VersionDigest,
    /// The chunks that are present and verified.
    pub have: ChunkSet,
}
