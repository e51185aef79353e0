//! What the system knows about one entry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{HostName, RegionName, ZoneName};
use crate::overload_cause::OverloadCause;
use crate::revision::ConfigRevision;
use crate::target_row::Incarnation;

/// One entry as the others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The entry's host.
    pub host: HostName,
    /// Which process under that host name.
    pub incarnation: Incarnation,
    /// Grows with every row of an incarnation.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other processes connect.
    pub control: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Whether the entry has a configuration and takes requests.
    pub ready: bool,
    /// Whether the entry is on its way out.
    pub leaving: bool,
    /// Streams in progress.
    pub streams: u32,
    /// Milliseconds since the entry became overloaded, or `None` while it is not.
    pub overloaded_ms: Option<u64>,
    /// What the first sign of the overload was.
    pub overload_cause: Option<OverloadCause>,
    /// The revision in force at the entry.
    pub revision: ConfigRevision,
}
