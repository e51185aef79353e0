//! Answers to heartbeats.

use std::net::SocketAddr;

use model::{FleetConfig, SwitchPermit};
use serde::{Deserialize, Serialize};

/// What an agent learns from its heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The configuration, when it is newer than the agent's.
    pub config: Option<FleetConfig>,
    /// Leave for this host to switch versions.
    pub permit: Option<SwitchPermit>,
    /// Control addresses of the entries that should hear this agent's heartbeats, the best first.
    pub home_entries: Vec<SocketAddr>,
    /// Control addresses of live entries, so that the agent finds others when its own go away; empty on most
    /// heartbeats, because the list is long in a large fleet.
    pub entries: Vec<SocketAddr>,
}
