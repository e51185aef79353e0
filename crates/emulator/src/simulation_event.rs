//! Events of an emulation.

use routing::{CrashDigest, DigestSource, LifetimeId, PartId};

/// A request of a client.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedRequest {
    pub(crate) entry: usize,
    pub(crate) parts: Vec<PartId>,
    pub(crate) guilty: Option<u64>,
    pub(crate) attempts: u32,
    pub(crate) trial: Option<PartId>,
}

/// What happens at a virtual time.
#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    SoundRequest,
    GuiltyRequest(u64),
    Accident {
        replicas: usize,
    },
    /// The replica begins to respond.
    Begin {
        replica: usize,
        life: u64,
        request: u64,
    },
    /// The start of the response was survived.
    Survived {
        replica: usize,
        life: u64,
        request: u64,
    },
    End {
        replica: usize,
        life: u64,
        request: u64,
    },
    /// An entry notices that a replica has ended.
    Noticed {
        entry: usize,
        crash: LifetimeId,
        parts: Vec<PartId>,
        lost: Vec<u64>,
    },
    Heartbeats,
    Reports,
    Received {
        entry: usize,
        digest: Box<CrashDigest>,
        source: DigestSource,
        relay: bool,
    },
}
