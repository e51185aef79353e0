//! Where a chunk comes from.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, RegionName};

/// A source of chunks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// A host of another region.
    Region {
        /// The region that the chunk leaves.
        region: RegionName,
        /// The host that serves it.
        host: HostName,
        /// Where the host serves chunks.
        address: SocketAddr,
    },
    /// A host of the same region.
    Peer {
        /// The host that serves the chunk.
        host: HostName,
        /// Where the host serves chunks.
        address: SocketAddr,
    },
}

impl ChunkSource {
    /// Returns the host that serves the chunk, unless it is the origin.
    pub fn host(&self) -> Option<&HostName> {
        match self {
            Self::Origin => None,
            Self::Region { host, .. } | Self::Peer { host, .. } => Some(host),
        }
    }

    /// Tells whether the chunk enters the region from outside.
    pub fn is_external(&self) -> bool {
        !matches!(self, Self::Peer { .. })
    }
}
