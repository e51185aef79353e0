//! Faults that can be injected into a source of weights.

use serde::{Deserialize, Serialize};

/// Faults and rate limits of a source of weights. The default is no faults and no limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightFaults {
    /// Bandwidth shared by all connections, in bytes per second.
    pub bytes_per_s: Option<f64>,
    /// Request rate limit per second; requests beyond it are answered with status 429.
    pub requests_per_s: Option<f64>,
    /// Whether every request is answered with status 503.
    pub outage: bool,
    /// Whether all responses with weights, in flight and new, stall until the fault ends. Manifests are not affected.
    pub stall: bool,
    /// Fraction of responses with weights in which one byte is corrupted, from 0 to 1.
    pub corrupt_share: f64,
    /// Fraction of responses with weights that are truncated before the last byte, from 0 to 1.
    pub cut_share: f64,
    /// Delay before every response, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
}
