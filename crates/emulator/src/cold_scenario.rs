//! Replicas of an emulation that become cold, and what they got.

use std::time::Duration;

use routing::ColdBound;

/// How entries learn that replicas become cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdNotice {
    /// The replicas start. Entries send nothing before they have read the rows, which say that the replicas are cold.
    Start,
    /// The zone of the replicas is taken back after an evacuation. Entries learn it at different times, and send nothing before.
    Return,
    /// The replicas become cold while they are in use, and entries learn it from their next rows.
    Late,
}

/// Replicas that become cold, and the requests that are offered.
#[derive(Clone, Copy, Debug)]
pub struct ColdScenario {
    /// What a cold replica tolerates.
    pub bound: ColdBound,
    /// Requests per second that are offered for each replica, with bursts of twice that.
    pub requests_per_replica: f64,
    /// How entries learn that replicas become cold.
    pub notice: ColdNotice,
    /// When the replicas become cold for the first time.
    pub first_at: Duration,
    /// Time for which they are cold.
    pub duration: Duration,
    /// Time between two times at which they become cold.
    pub interval: Duration,
    /// Largest drift of a clock, in seconds per second.
    pub max_drift: f64,
}

/// What cold replicas got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdOutcome {
    /// Most requests at a cold replica in any one second.
    pub most_in_second: usize,
    /// Most of them in a second that begins after all entries have learned that the replica is cold.
    pub most_when_known: usize,
    /// Requests at cold replicas.
    pub served: u64,
    /// Requests at cold replicas that the tolerated rate allows.
    pub allowed: f64,
}

impl ColdScenario {
    /// Returns replicas that tolerate 15 requests a second and crash beyond 27.5, and are cold for 3 s after each of several starts.
    pub fn starts() -> Self {
        Self {
            bound: ColdBound {
                requests_per_second: 15.0,
                max_in_second: 27.5,
            },
            requests_per_replica: 14.0,
            notice: ColdNotice::Start,
            first_at: Duration::from_secs(6),
            duration: Duration::from_secs(3),
            interval: Duration::from_secs(7),
            max_drift: 1e-4,
        }
    }

    /// Returns replicas that are cold all the time, so that faults of entries meet cold replicas.
    pub fn always() -> Self {
        Self {
            first_at: Duration::ZERO,
            duration: Duration::from_secs(3600),
            interval: Duration::from_secs(3600),
            ..Self::starts()
        }
    }
}

impl ColdOutcome {
    /// Returns the share of the tolerated rate that is used.
    pub fn share_used(&self) -> f64 {
        self.served as f64 / self.allowed.max(f64::EPSILON)
    }
}
