//! Faults that can be injected into the table service.

use serde::{Deserialize, Serialize};

/// Faults injected into the table. The default is no faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Rate limit of reads per second; excess reads fail with status 429.
    pub reads_per_s: Option<f64>,
    /// Rate limit of transactions per second; excess transactions fail with status 429.
    pub writes_per_s: Option<f64>,
    /// Whether every request fails with status 503.
    pub outage: bool,
    /// Whether requests block until the fault is cleared.
    pub hang: bool,
    /// Delay of every request, in milliseconds.
    pub delay_ms: u64,
    /// Number of following transactions whose responses are dropped after they were applied.
    pub lose_next: u32,
    /// Fraction of transactions whose responses are dropped after they were applied, from 0 to 1.
    pub lose_share: f64,
    /// Seed of the random number generator for `lose_share`.
    pub seed: u64,
}
