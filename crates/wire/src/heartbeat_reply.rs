//! Replies to heartbeats.

use std::net::SocketAddr;

use model::{FleetConfig, SwitchPermit};
use serde::{Deserialize, Serialize};

/// An entry's reply to an agent's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The configuration, if it is newer than that of the agent.
    pub config: Option<FleetConfig>,
    /// The permit for this host to switch versions, if it has one.
    pub permit: Option<SwitchPermit>,
    /// Control addresses of the entries to which the agent should send its heartbeats, in descending order of
    /// preference.
    pub home_entries: Vec<SocketAddr>,
    /// Control addresses of live entries, from which the agent selects others when its home entries fail. Empty
    /// in most replies, because the list is long in a large fleet.
    pub entries: Vec<SocketAddr>,
}
