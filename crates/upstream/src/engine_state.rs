//! What a model engine says of its weights.

use model::{FencingNumber, VersionDigest};
use serde::{Deserialize, Serialize};

/// Phase of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// No weights are loaded.
    Empty,
    /// Weights are being loaded.
    Loading,
    /// Requests are served.
    Serving,
    /// The last load failed.
    Failed,
}

/// The current state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The phase.
    pub state: EnginePhase,
    /// The version that answers are computed from.
    pub version: Option<VersionDigest>,
    /// The highest fencing number that the engine has seen.
    #[serde(default)]
    pub fencing: FencingNumber,
    /// Whether an old version keeps serving while a new one is loaded.
    #[serde(default)]
    pub beside: bool,
    /// Why the last load failed.
    #[serde(default)]
    pub error: Option<String>,
}
