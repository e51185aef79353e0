//! Status of targets, which their agents report in heartbeats.

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

/// Distinguishes consecutive processes with the same host name. The high bits hold the start time in milliseconds since
/// the Unix epoch, the low bits are random.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Creates the incarnation of a process that starts at `since_epoch`, the time since the Unix epoch. `random`
    /// distinguishes processes that start in the same millisecond.
    pub fn new(since_epoch: Duration, random: u16) -> Self {
        let random = u64::from(random) & ((1 << RANDOM_BITS) - 1);
        Self((since_epoch.as_millis() as u64) << RANDOM_BITS | random)
    }
}

/// Number of random low bits of an incarnation.
const RANDOM_BITS: u32 = 12;

/// The status that an agent sends as its heartbeat. Entries store the latest one of each target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// The target's host.
    pub host: HostName,
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// Increases with every heartbeat of an incarnation, so that heartbeats that arrive out of order can be detected.
    pub sequence: u64,
    /// The host's availability zone.
    pub zone: ZoneName,
    /// The host's region.
    pub region: RegionName,
    /// The back end that the agent manages.
    pub kind: TargetKind,
    /// The address of the gate, which receives requests for the target.
    pub gate: SocketAddr,
    /// The address where the agent serves chunks to other agents.
    pub peers: SocketAddr,
    /// The address for control connections to the agent.
    pub control: SocketAddr,
    /// The state of the gate.
    pub state: GateState,
    /// The version that the engine reports as serving.
    pub serving: Option<VersionDigest>,
    /// The transfer in progress, or else the last finished one.
    pub transfer: Option<TransferState>,
    /// The highest fencing number that the agent has seen.
    pub fencing: FencingNumber,
    /// The revision of the configuration that the agent uses.
    pub revision: ConfigRevision,
    /// The load measured by the gate.
    pub load: LoadSample,
}
