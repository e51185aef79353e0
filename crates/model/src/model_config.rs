//! Configuration of a model.

use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::names::VersionLabel;
use crate::weight_manifest::WeightManifest;

/// What operators want of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelConfig {
    /// The version that every replica is to serve, fixed when the rollout was accepted.
    pub manifest: WeightManifest,
    /// The rollout command that asked for it.
    pub rollout: CommandId,
    /// Whether the rollout is paused: transfers go on, no further replica switches.
    pub paused: bool,
    /// The version before this one, which `roll back` returns to.
    pub previous: Option<WeightManifest>,
    /// Largest share of a zone's replicas that may be out for a switch at once, in percent.
    pub max_out_percent: u8,
}

impl ModelConfig {
    /// Returns the label of the wanted version.
    pub fn label(&self) -> &VersionLabel {
        &self.manifest.label
    }
}
