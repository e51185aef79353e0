//! One step from a configuration to the next.

use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::fleet_config::FleetConfig;
use crate::model_config::ModelConfig;
use crate::names::{HostName, ModelName, OrganisationName, ServiceName};
use crate::organisation_config::OrganisationConfig;
use crate::revision::ConfigRevision;
use crate::service_config::ServiceConfig;

/// The change that one accepted command makes; revision N is the empty configuration with deltas 1 to N applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The revision that the delta leads to.
    pub revision: ConfigRevision,
    /// The command that asked for the change.
    pub command: CommandId,
    /// The operator who gave it.
    pub operator: String,
    /// What changes.
    pub changes: Vec<ConfigChange>,
}

/// A change of one item of the configuration; applying it twice is the same as once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Sets what is wanted of a model.
    SetModel(ModelName, Box<ModelConfig>),
    /// Forgets a model.
    UnsetModel(ModelName),
    /// Sets what is wanted of a service.
    SetService(ServiceName, ServiceConfig),
    /// Returns a service to the default.
    UnsetService(ServiceName),
    /// Sets what is wanted of an organisation.
    SetOrganisation(OrganisationName, OrganisationConfig),
    /// Returns an organisation to the default.
    UnsetOrganisation(OrganisationName),
    /// Takes a host out of service.
    Drain(HostName),
    /// Takes a host back into service.
    Undrain(HostName),
    /// Sets a named number.
    SetParameter(String, f64),
    /// Returns a named number to its default.
    UnsetParameter(String),
}

impl ConfigDelta {
    /// Applies the delta and returns whether it was the next one; any other leaves `config` as it is.
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
