//! What stands behind an agent.

use serde::{Deserialize, Serialize};

use crate::names::{ModelName, ServiceName};

/// The back end on a target host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetKind {
    /// A model engine.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}
