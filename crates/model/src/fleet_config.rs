//! The configuration of a deployment.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model_config::ModelConfig;
use crate::names::{HostName, ModelName, OrganisationName, ServiceName};
use crate::organisation_config::OrganisationConfig;
use crate::revision::ConfigRevision;
use crate::service_config::ServiceConfig;

/// Everything that operators decide at run time, as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The number of this configuration.
    pub revision: ConfigRevision,
    /// The wanted version of each model.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// Plain services that differ from the default.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Organisations that differ from the default.
    pub organisations: BTreeMap<OrganisationName, OrganisationConfig>,
    /// Hosts that are to take no new work.
    pub drains: BTreeSet<HostName>,
    /// Named numbers that operators may change, such as `origin_copies`; see `docs/SETTINGS.md`.
    pub parameters: BTreeMap<String, f64>,
}

impl FleetConfig {
    /// Returns the configuration of `organisation`.
    pub fn organisation(&self, organisation: &OrganisationName) -> OrganisationConfig {
        self.organisations
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the configuration of `service`.
    pub fn service(&self, service: &ServiceName) -> ServiceConfig {
        self.services.get(service).cloned().unwrap_or_default()
    }
}
