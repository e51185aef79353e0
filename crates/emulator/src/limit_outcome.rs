//! What happened in an emulation of limits.

use std::time::Duration;

use crate::cold_scenario::ColdOutcome;

/// What happened in an emulation of limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitOutcome {
    /// Most calls at a limited replica in any 4 s beyond those that its limit allows on average, from 3 s after the
    /// first response with it.
    pub most_beyond: f64,
    /// Most calls at a limited replica in any 4 s beyond the users' rule, from 1 s after the first response with it.
    /// Not positive if the rule was kept.
    pub early_beyond_rule: f64,
    /// Calls at limited replicas as a share of what their limits allow, from 3 s after the first response on.
    pub share_used: f64,
    /// Time from the end of the limits to the first response without one, on average over the replicas that responded.
    pub end_found_after: Option<Duration>,
    /// Longest time from the first response without a limit until an entry that runs and is not cut off may send
    /// requests to the replica without a turn.
    pub end_known_after: Option<Duration>,
    /// Requests that were refused because only limited replicas were left.
    pub refused: u64,
    /// Requests.
    pub requests: u64,
    /// Bytes of records and time bases in datagrams.
    pub bytes: u64,
    /// What cold replicas got.
    pub cold: ColdOutcome,
}
