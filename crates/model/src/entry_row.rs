//! Status of entries, which they share with other processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, RegionName, ZoneName};
use crate::overload_cause::OverloadCause;
use crate::revision::ConfigRevision;
use crate::target_row::Incarnation;

/// The status that an entry shares with other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The entry's host.
    pub host: HostName,
    /// The incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Increases with every status of an incarnation.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// The address for requests from callers.
    pub callers: SocketAddr,
    /// The address for control connections from other processes.
    pub control: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// Whether the entry has a configuration and accepts requests.
    pub ready: bool,
    /// Whether the entry is shutting down.
    pub leaving: bool,
    /// The number of streams in progress.
    pub streams: u32,
    /// Milliseconds since the entry became overloaded, or `None` while it is not.
    pub overloaded_ms: Option<u64>,
    /// The first detected cause of the current overload.
    pub overload_cause: Option<OverloadCause>,
    /// The revision of the configuration that the entry uses.
    pub revision: ConfigRevision,
}
