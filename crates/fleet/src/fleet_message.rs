//! What processes tell each other in datagrams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::load_board::LoadSample;
use crate::peer_table::PeerRecord;
use crate::replica::LoadedModel;

/// One datagram. Every message holds the whole current state of its sender, so a lost one is made good by the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// From an entry to other entries.
    Entry(EntryNotice),
    /// From an agent to entries.
    Agent(AgentNotice),
    /// From an entry to the agents of its zone: the declared versions that matter now.
    Weights(Vec<DeclaredWeights>),
}

/// A declared version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredWeights {
    /// Model.
    pub model: String,
    /// Declared version.
    pub version: u64,
    /// Time since the declaration became known, in milliseconds; `None` where it may be old.
    pub age_ms: Option<u32>,
}

/// An entry tells that it lives, and what it has in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryNotice {
    /// The entry itself.
    pub record: PeerRecord,
    /// Number of the message within the incarnation; an older one that arrives late is dropped.
    pub number: u64,
    /// Load on each replica, by the hash of its id.
    pub loads: Vec<(u64, LoadSample)>,
    /// Versions of weights that are not in force yet.
    pub weights: Vec<DeclaredAge>,
}

/// How long ago a version of weights was declared, for entries that have just started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredAge {
    /// Model.
    pub model: String,
    /// Declared version.
    pub version: u64,
    /// Time since the declaration became known, in milliseconds.
    pub age_ms: u32,
}

/// An agent tells what the replica on its machine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentNotice {
    /// Where the replica listens.
    pub replica: SocketAddr,
    /// Weights that serve; empty while the replica loads others.
    pub models: Vec<LoadedModel>,
}
