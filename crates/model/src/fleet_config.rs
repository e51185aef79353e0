//! The configuration of a deployment.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model_config::ModelConfig;
use crate::names::{HostName, ModelName, OrganisationName, ServiceName};
use crate::organisation_config::OrganisationConfig;
use crate::revision::ConfigRevision;
use crate::service_config::ServiceConfig;

/// All configuration that operators can change at run time, at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The revision of this configuration.
    pub revision: ConfigRevision,
    /// The configuration of each model, with the version to serve.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// Services with a configuration other than the default.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Organisations with a configuration other than the default.
    pub organisations: BTreeMap<OrganisationName, OrganisationConfig>,
    /// Draining hosts, which receive no new work.
    pub drains: BTreeSet<HostName>,
    /// Numeric parameters set by operators, such as `origin_copies`; see `docs/SETTINGS.md`.
    pub parameters: BTreeMap<String, f64>,
}

impl FleetConfig {
    /// Returns the configuration of `organisation`, or the default if none is set.
    pub fn organisation(&self, organisation: &OrganisationName) -> OrganisationConfig {
        self.organisations
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the configuration of `service`, or the default if none is set.
    pub fn service(&self, service: &ServiceName) -> ServiceConfig {
        self.services.get(service).cloned().unwrap_or_default()
    }
}
