//! Sources that a chunk can be fetched from: the origin, a host in another region, or a peer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, RegionName};

/// A source that a chunk can be fetched from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChunkSource {
    /// The origin of the weights, outside all regions.
    Origin,
    /// A host in another region.
    Region {
        /// The region of the host.
        region: RegionName,
        /// The host that serves the chunk.
        host: HostName,
        /// The address where the host serves chunks.
        address: SocketAddr,
    },
    /// A host in the same region.
    Peer {
        /// The host that serves the chunk.
        host: HostName,
        /// The address where the host serves chunks.
        address: SocketAddr,
    },
}

impl ChunkSource {
    /// Returns the host that serves the chunk, or `None` for the origin.
    pub fn host(&self) -> Option<&HostName> {
        match self {
            Self::Origin => None,
            Self::Region { host, .. } | Self::Peer { host, .. } => Some(host),
        }
    }

    /// Returns whether the source is outside the region of the host that fetches the chunk, as the origin always is.
    pub fn is_external(&self) -> bool {
        !matches!(self, Self::Peer { .. })
    }
}
