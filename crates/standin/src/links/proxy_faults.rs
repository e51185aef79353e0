//! Faults that can be injected into a proxied link.

use serde::{Deserialize, Serialize};

/// Faults injected into a proxied link. The default is no faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// Bandwidth in bytes per second, shared by both directions of all connections.
    pub bytes_per_s: Option<f64>,
    /// Whether no bytes are forwarded. Connections stay open and new ones are accepted.
    pub stall: bool,
    /// Whether the link is partitioned: no bytes are forwarded and new connections are reset.
    pub partition: bool,
    /// Fraction of forwarded segments in which one byte is corrupted, from 0 to 1.
    pub corrupt_share: f64,
    /// Whether only bytes sent to the client are corrupted.
    pub corrupt_answers_only: bool,
    /// Fraction of connections that are reset when the first bytes of the response arrive, from 0 to 1.
    pub reset_share: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}
