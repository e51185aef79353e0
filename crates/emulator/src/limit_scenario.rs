//! Size, traffic, limits and faults of an emulation of limits.

use std::time::Duration;

use crate::cold_scenario::ColdScenario;

/// How entries keep within limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPolicy {
    /// They divide turns and tell each other of limits, as the product does.
    SharedTurns,
    /// Each keeps within the limit alone, once a replica has told it.
    Alone,
    /// Each keeps within an equal share of the limit, once a replica has told it.
    EqualShares,
    /// They ignore limits.
    Ignored,
}

/// What happens to entries every few seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// Nothing.
    None,
    /// One starts again and knows nothing.
    Restart,
    /// One is added.
    Addition,
    /// One does not run for a while.
    Freeze,
    /// One does not reach the others for a while.
    Cut,
    /// The entries of one zone do not reach those of the others for a while.
    ZoneCut,
    /// The entries of two zones do not reach each other for a while, but those of the others.
    LinkCut,
    /// Two halves of the entries do not reach each other from the first fault on.
    HalfCut,
    /// A third of the entries and the others do not reach each other from the first fault on.
    ThirdCut,
    /// Half of them do not run for a while, and go on in the same moment.
    HalfFreeze,
    /// All start again in the same moment and know nothing.
    AllRestart,
}

/// Size, traffic, limits and faults of an emulation.
#[derive(Clone, Copy, Debug)]
pub struct LimitScenario {
    /// Number of entries at the start.
    pub entries: u64,
    /// Number of availability zones, among which the entries are divided.
    pub zones: u64,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of replicas that name a limit.
    pub limited: usize,
    /// Requests per second that each of them takes.
    pub limit: f64,
    /// Whether limits change each second, by up to half of the value.
    pub changes: bool,
    /// Requests a second at all entries together.
    pub requests_per_second: u64,
    /// Share of lost datagrams.
    pub loss: f64,
    /// How entries keep within limits.
    pub policy: LimitPolicy,
    /// What happens to entries every few seconds.
    pub fault: EntryFault,
    /// Emulated time.
    pub duration: Duration,
    /// When the limits end, if they do.
    pub ends_at: Option<Duration>,
    /// Replicas that become cold instead of those that name limits, if any.
    pub cold: Option<ColdScenario>,
}

impl LimitScenario {
    /// Returns a pool of 11 replicas behind 8 entries in 3 zones; one replica has a limit of one request a second.
    pub fn small() -> Self {
        Self {
            entries: 8,
            zones: 3,
            replicas: 11,
            limited: 1,
            limit: 1.0,
            changes: false,
            requests_per_second: 140,
            loss: 0.01,
            policy: LimitPolicy::SharedTurns,
            fault: EntryFault::None,
            duration: Duration::from_secs(40),
            ends_at: None,
            cold: None,
        }
    }

    /// Returns a pool of 200 replicas behind 64 entries in 6 zones.
    pub fn medium() -> Self {
        Self {
            entries: 64,
            zones: 6,
            replicas: 200,
            requests_per_second: 1000,
            ..Self::small()
        }
    }

    /// Returns a pool of 1,700 replicas behind 360 entries in 16 zones.
    pub fn large() -> Self {
        Self {
            entries: 360,
            zones: 16,
            replicas: 1700,
            requests_per_second: 2000,
            ..Self::small()
        }
    }
}
