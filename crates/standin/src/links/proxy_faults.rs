//! Faults of a proxied link.

use serde::{Deserialize, Serialize};

/// What goes wrong on a proxied link; the default is a link without faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Time that bytes take each way, in milliseconds.
    pub delay_ms: u64,
    /// Bytes a second, both ways and over all connections together.
    pub bytes_per_s: Option<f64>,
    /// Whether no bytes pass, while connections stay open and new ones are still accepted.
    pub stall: bool,
    /// Whether the two sides are parted: no bytes pass and new connections are reset.
    pub partition: bool,
    /// Share of pieces of bytes of which one byte is changed, 0 to 1.
    pub corrupt_share: f64,
    /// Whether only bytes towards the caller are corrupted.
    pub corrupt_answers_only: bool,
    /// Share of connections that are reset after some bytes of the answer, 0 to 1.
    pub reset_share: f64,
    /// Seed of the draws.
    pub seed: u64,
}
