//! Faults of a source of weights.

use serde::{Deserialize, Serialize};

/// What goes wrong at a source of weights; the default is a source without faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// Bytes a second over all connections together.
    pub bytes_per_s: Option<f64>,
    /// Requests a second, above which one is answered with 429.
    pub requests_per_s: Option<f64>,
    /// Whether every call is answered with 503.
    pub outage: bool,
    /// Whether answers under way stand still, and new ones with them, until the fault ends.
    pub stall: bool,
    /// Share of answers of which one byte is changed, 0 to 1.
    pub corrupt_share: f64,
    /// Share of answers that are cut off in the middle, 0 to 1.
    pub cut_share: f64,
    /// Time that every call takes before its first byte, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the draws.
    pub seed: u64,
}
