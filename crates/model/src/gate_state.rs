//! What a target's gate does with new work.

use serde::{Deserialize, Serialize};

/// State of the gate before an engine or service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GateState {
    /// No version is loaded yet, or the target has not answered.
    Starting,
    /// New work is admitted within the limits.
    Open,
    /// New work is refused while the version is switched; work in progress goes on.
    Switching,
    /// New work is refused for good; work in progress goes on.
    Leaving,
}
