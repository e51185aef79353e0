//! Configuration of models.

use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::names::VersionLabel;
use crate::weight_manifest::WeightManifest;

/// The configuration of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// The version that every replica should serve. It is fixed when the rollout is accepted.
    pub manifest: WeightManifest,
    /// The command that started the rollout of this version.
    pub rollout: CommandId,
    /// Whether the rollout is paused: transfers continue, but no further replica switches versions.
    pub paused: bool,
    /// The previous version, which `roll back` restores.
    pub previous: Option<WeightManifest>,
    /// The maximum share of a zone's replicas that may be out of service for a version switch at the same time, in
    /// percent.
    pub max_out_percent: u8,
}

impl ModelConfig {
    /// Returns the label of the version that replicas should serve.
    pub fn label(&self) -> &VersionLabel {
        &self.manifest.label
    }
}
