//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// What goes wrong at an engine; the default is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which everything takes longer.
    pub slow_factor: f64,
    /// Whether the engine stands still: it accepts and does not answer.
    pub hang: bool,
    /// Whether load orders fail after the weights were read.
    pub fail_loads: bool,
    /// Requests that are refused with 503, from the next one on.
    pub refuse_next: u32,
    /// Streams that are cut after their third token, from the next one on.
    pub cut_next: u32,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            hang: false,
            fail_loads: false,
            refuse_next: 0,
            cut_next: 0,
        }
    }
}
