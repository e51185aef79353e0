//! Load measurements of targets.

use serde::{Deserialize, Serialize};

use crate::overload_cause::OverloadCause;

/// The load on a target as measured by its gate, which is more recent than the load that the engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The number of admitted requests that have not finished.
    pub in_flight: u32,
    /// The maximum number of requests in flight that the gate allows.
    pub limit: u32,
    /// The number of tokens that admitted requests can still produce.
    pub tokens_owed: u32,
    /// Smoothed time to first token, in milliseconds.
    pub first_token_ms: u32,
    /// Smoothed time between tokens, in microseconds.
    pub token_gap_us: u32,
    /// Requests in 1,000 seconds that the engine or service takes by its responses, or `None` if it names no limit.
    pub named_limit: Option<u32>,
    /// The number of requests refused because of one of the limits since the process started.
    pub refused: u64,
    /// Milliseconds since the target became overloaded, or `None` while it is not.
    pub overloaded_ms: Option<u64>,
    /// The first detected cause of the current overload.
    pub overload_cause: Option<OverloadCause>,
}
