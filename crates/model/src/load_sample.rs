//! What an agent sees of the load on its target.

use serde::{Deserialize, Serialize};

use crate::overload_cause::OverloadCause;

/// Load on one target as its gate measures it, without the engine's lagging report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests admitted and not finished.
    pub in_flight: u32,
    /// Requests that the gate admits at once at most.
    pub limit: u32,
    /// Tokens that admitted requests may still produce.
    pub tokens_owed: u32,
    /// Smoothed time to the first token in milliseconds.
    pub first_token_ms: u32,
    /// Smoothed time between tokens in microseconds.
    pub token_gap_us: u32,
    /// Requests refused because of the limit, since the process started.
    pub refused: u64,
    /// Milliseconds since the target became overloaded, or `None` while it is not.
    pub overloaded_ms: Option<u64>,
    /// What the first sign of the overload was.
    pub overload_cause: Option<OverloadCause>,
}
