//! The state that a model engine reports.

use model::{FencingNumber, VersionDigest};
use serde::{Deserialize, Serialize};

/// The phase of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// No weights are loaded.
    Empty,
    /// The engine is loading weights.
    Loading,
    /// The engine serves requests.
    Serving,
    /// The last load failed.
    Failed,
}

/// The current state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The phase.
    pub state: EnginePhase,
    /// The version that serves requests.
    pub version: Option<VersionDigest>,
    /// The highest fencing number that the engine has seen.
    #[serde(default)]
    pub fencing: FencingNumber,
    /// Whether the engine currently serves an old version while it loads a new one.
    #[serde(default)]
    pub beside: bool,
    /// Why the last load failed.
    #[serde(default)]
    pub error: Option<String>,
}
