//! What the system knows about one target.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::content_digest::VersionDigest;
use crate::fencing_number::FencingNumber;
use crate::gate_state::GateState;
use crate::load_sample::LoadSample;
use crate::names::{HostName, RegionName, ZoneName};
use crate::revision::ConfigRevision;
use crate::target_kind::TargetKind;
use crate::transfer_state::TransferState;

/// Tells processes under the same host name apart: milliseconds since the epoch at start in the high bits, random below.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Creates the incarnation of a process that starts `since_epoch`; `random` tells two starts in one millisecond apart.
    pub fn new(since_epoch: Duration, random: u16) -> Self {
        let random = u64::from(random) & ((1 << RANDOM_BITS) - 1);
        Self((since_epoch.as_millis() as u64) << RANDOM_BITS | random)
    }
}

/// Low bits of an incarnation that are random.
const RANDOM_BITS: u32 = 12;

/// One heartbeat of an agent, and the row that entries keep of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// The target's host.
    pub host: HostName,
    /// Which process under that host name.
    pub incarnation: Incarnation,
    /// Grows with every row of an incarnation, so that a late one is recognised.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// What stands behind the agent.
    pub kind: TargetKind,
    /// Where requests go.
    pub gate: SocketAddr,
    /// Where other agents fetch chunks.
    pub peers: SocketAddr,
    /// Where the agent takes control calls.
    pub control: SocketAddr,
    /// What the gate does with new work.
    pub state: GateState,
    /// The version that the engine reports to serve.
    pub serving: Option<VersionDigest>,
    /// The transfer in progress or finished last.
    pub transfer: Option<TransferState>,
    /// The highest fencing number that the agent has seen.
    pub fencing: FencingNumber,
    /// The revision in force at the agent.
    pub revision: ConfigRevision,
    /// The load that the gate measures.
    pub load: LoadSample,
}
