//! Datagrams that processes send to each other.

use std::net::SocketAddr;

use routing::{CrashDigest, LimitDigest, RequestRate};
use serde::{Deserialize, Serialize};

use crate::departure_table::DepartureDigest;
use crate::load_table::LoadSample;
use crate::peer_table::PeerRecord;
use crate::replica::LoadedModel;
use crate::store_interval::StoreInterval;

/// One datagram. Every message carries the complete current state of its sender, so the next one makes up for a lost
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// From an entry to the entries of its zone.
    Entry(EntryHeartbeat),
    /// From an agent to entries of its zone, which pass it on.
    Agent(AgentStatus),
    /// From an entry to the agents of its zone: the declared versions that are relevant now.
    Weights(Vec<DeclaredWeights>),
    /// From the reporter of a zone to other zones; see [`crate::is_zone_reporter`].
    Zone(ZoneReport),
}

/// A declared version of the weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredWeights {
    /// Name of the model.
    pub model: String,
    /// Declared version.
    pub version: u64,
    /// When it was declared.
    pub declared: StoreInterval,
}

/// Heartbeat of an entry with its requests in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// Description of the entry.
    pub record: PeerRecord,
    /// Sequence number within the incarnation; messages that arrive out of order are dropped.
    pub sequence: u64,
    /// Load that the entry puts on each replica, by the hash of the replica's id.
    pub loads: Vec<(u64, LoadSample)>,
    /// Declared versions of weights that have not taken effect yet, and the newest one that has.
    pub weights: Vec<DeclaredWeights>,
    /// What the entry knows about crashes of replicas. Not every heartbeat contains it, since it changes rarely.
    pub crashes: Option<CrashDigest>,
    /// What the entry knows about limits of replicas, if any have one, beside [`Self::crashes`].
    pub limits: Option<LimitDigest>,
    /// Replicas that leave, beside [`Self::crashes`]: those that have said so recently, or all that are known.
    pub departures: DepartureDigest,
}

/// State of all entries of a zone, as one of them sends it to the other zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The availability zone.
    pub zone: String,
    /// Name of the entry that sends the report.
    pub reporter: String,
    /// Incarnation of that entry.
    pub incarnation: u64,
    /// Sequence number within the incarnation; reports that arrive out of order are dropped.
    pub sequence: u64,
    /// Load that all entries of the zone together put on each replica, by the hash of the replica's id.
    pub loads: Vec<(u64, LoadSample)>,
    /// Declared versions of weights, as in [`EntryHeartbeat::weights`].
    pub weights: Vec<DeclaredWeights>,
    /// The live entries of the zone. Not every report contains them, since they change rarely.
    pub entries: Vec<PeerRecord>,
    /// What the entries of the zone know about crashes of replicas, as in [`EntryHeartbeat::crashes`].
    pub crashes: Option<CrashDigest>,
    /// What the reporter knows about limits of replicas, as in [`EntryHeartbeat::limits`].
    pub limits: Option<LimitDigest>,
    /// Replicas that leave, as in [`EntryHeartbeat::departures`].
    pub departures: DepartureDigest,
}

/// Which entries the receiver of a message passes it on to. An agent would otherwise have to know all entries and send
/// the message to each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayScope {
    /// To the entries of its zone and to one entry of each other zone.
    AllZones,
    /// To the entries of its zone.
    OwnZone,
    /// To none.
    None,
}

/// Weights that the replica on the host of an agent has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Address on which the replica listens.
    pub replica: SocketAddr,
    /// Weights that the replica serves; empty while it loads others.
    pub models: Vec<LoadedModel>,
    /// Whom the receiver passes the message on to.
    pub relay: RelayScope,
    /// What the replica last said about a limit.
    pub limit: ReportedLimit,
    /// Whether the replica says that it leaves.
    pub leaving: bool,
}

/// What a replica said about its limit in a report to its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// Start time of the replica in Unix milliseconds, if reported.
    pub started_ms: Option<u64>,
    /// Requests a second that it takes from all hosts together, or `None` if it names no limit.
    pub limit: Option<RequestRate>,
    /// Time since the agent requested the report, in milliseconds.
    pub age_ms: u32,
}
