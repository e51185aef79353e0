//! Changes between consecutive revisions of the configuration.

use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::fleet_config::FleetConfig;
use crate::model_config::ModelConfig;
use crate::names::{HostName, ModelName, OrganisationName, ServiceName};
use crate::organisation_config::OrganisationConfig;
use crate::revision::ConfigRevision;
use crate::service_config::ServiceConfig;

/// The changes made by one accepted command. Revision N is the empty configuration with deltas 1 to N applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The revision that results from applying the delta.
    pub revision: ConfigRevision,
    /// The command that made the changes.
    pub command: CommandId,
    /// The operator who issued the command.
    pub operator: String,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<ConfigChange>,
}

/// A change to one item of the configuration. Applying a change is idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Sets the configuration of a model.
    SetModel(ModelName, Box<ModelConfig>),
    /// Removes a model from the configuration.
    UnsetModel(ModelName),
    /// Sets the configuration of a service.
    SetService(ServiceName, ServiceConfig),
    /// Resets a service to the default configuration.
    UnsetService(ServiceName),
    /// Sets the configuration of an organisation.
    SetOrganisation(OrganisationName, OrganisationConfig),
    /// Resets an organisation to the default configuration.
    UnsetOrganisation(OrganisationName),
    /// Starts draining a host: it receives no new work.
    Drain(HostName),
    /// Stops draining a host: it receives new work again.
    Undrain(HostName),
    /// Sets a numeric parameter.
    SetParameter(String, f64),
    /// Resets a numeric parameter to its default.
    UnsetParameter(String),
}

impl ConfigDelta {
    /// Applies the delta to `config` if it leads to the next revision, and returns whether it was applied.
    pub fn apply(&self, config: &mut FleetConfig) -> bool {
        if self.revision != config.revision.next() {
            return false;
        }
        for change in &self.changes {
            change.apply(config);
        }
        config.revision = self.revision;
        true
    }
}

impl ConfigChange {
    fn apply(&self, config: &mut FleetConfig) {
        match self {
            Self::SetModel(name, model) => {
                config.models.insert(name.clone(), (**model).clone());
            }
            Self::UnsetModel(name) => {
                config.models.remove(name);
            }
            Self::SetService(name, service) => {
                config.services.insert(name.clone(), service.clone());
            }
            Self::UnsetService(name) => {
                config.services.remove(name);
            }
            Self::SetOrganisation(name, organisation) => {
                config.organisations.insert(name.clone(), *organisation);
            }
            Self::UnsetOrganisation(name) => {
                config.organisations.remove(name);
            }
            Self::Drain(host) => {
                config.drains.insert(host.clone());
            }
            Self::Undrain(host) => {
                config.drains.remove(host);
            }
            Self::SetParameter(name, value) => {
                config.parameters.insert(name.clone(), *value);
            }
            Self::UnsetParameter(name) => {
                config.parameters.remove(name);
            }
        }
    }
}
