//! States of a target's gate.

use serde::{Deserialize, Serialize};

/// The state of the gate, which admits requests to an engine or service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GateState {
    /// No version is loaded yet, or the target has not responded yet.
    Starting,
    /// New requests are admitted up to the limit.
    Open,
    /// New requests are refused during a version switch; admitted requests continue.
    Switching,
    /// The target is draining: new requests are refused, admitted requests continue.
    Leaving,
}
