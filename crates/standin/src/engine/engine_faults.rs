//! Faults that can be injected into an engine.

use serde::{Deserialize, Serialize};

/// Faults injected into an engine. The default is no faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which prefill and the generation of tokens take longer.
    pub slow_factor: f64,
    /// Whether the engine hangs: it accepts requests and does not respond.
    pub hang: bool,
    /// Whether the engine sends no tokens, and continues with the next one once the fault has ended. Its state and its
    /// load remain readable.
    pub pause_tokens: bool,
    /// Whether load orders fail after the weights were fetched.
    pub fail_loads: bool,
    /// Text that crashes the engine when it begins to respond to a prompt that contains it.
    pub crash_on: Option<String>,
    /// Number of following requests that are refused with status 503.
    pub refuse_next: u32,
    /// Number of following responses that are truncated after their third token.
    pub cut_next: u32,
    /// Whether responses have neither a length nor chunks, so that a truncated one ends like a complete one.
    pub unframed: bool,
}

impl EngineFaults {
    /// Returns whether the next token is held back.
    pub(crate) fn holds_tokens(&self) -> bool {
        self.hang || self.pause_tokens
    }
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            hang: false,
            pause_tokens: false,
            fail_loads: false,
            crash_on: None,
            refuse_next: 0,
            cut_next: 0,
            unframed: false,
        }
    }
}
