//! Size, traffic and faults of an emulation.

use std::time::Duration;

/// Size, traffic and faults of an emulation.
#[derive(Clone, Copy, Debug)]
pub struct CrashScenario {
    /// Number of entries.
    pub entries: u64,
    /// Number of availability zones, among which the entries are divided.
    pub zones: u64,
    /// Number of replicas.
    pub replicas: usize,
    /// Sound requests a second.
    pub requests_per_second: u64,
    /// Requests a second with each guilty part.
    pub guilty_per_second: u64,
    /// Number of guilty parts, which are first in some requests and in the middle of others.
    pub guilty_parts: u64,
    /// Share of the replicas that crash by accident, at one moment and then one by one.
    pub accident_share: f64,
    /// Share of lost datagrams.
    pub loss: f64,
    /// Whether entries refuse what the evidence implicates. Without it, they send and retry every request.
    pub is_guarded: bool,
    /// Emulated time.
    pub duration: Duration,
}

impl CrashScenario {
    /// Returns a pool of 11 replicas behind 8 entries in 3 zones, with one guilty part.
    pub fn small() -> Self {
        Self {
            entries: 8,
            zones: 3,
            replicas: 11,
            requests_per_second: 140,
            guilty_per_second: 4,
            guilty_parts: 1,
            accident_share: 0.0,
            loss: 0.01,
            is_guarded: true,
            duration: Duration::from_secs(20),
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
