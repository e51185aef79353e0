//! Faults of the table service.

use serde::{Deserialize, Serialize};

/// What goes wrong at the table; the default is a table without faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Reads a second, above which a read is answered with 429.
    pub reads_per_s: Option<f64>,
    /// Transactions a second, above which one is answered with 429.
    pub writes_per_s: Option<f64>,
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// Whether calls get no answer at all until the fault ends.
    pub hang: bool,
    /// Time that every call takes, in milliseconds.
    pub delay_ms: u64,
    /// Transactions whose answers are lost after they were applied, from the next one on.
    pub lose_next: u32,
    /// Share of all transactions whose answers are lost after they were applied, 0 to 1.
    pub lose_share: f64,
    /// Seed of the draws for `lose_share`.
    pub seed: u64,
}
