//! Kinds of targets: engines that serve a model, and plain services.

use serde::{Deserialize, Serialize};

use crate::names::{ModelName, ServiceName};

/// The back end that an agent manages on a target host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetKind {
    /// An engine that serves a model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}
