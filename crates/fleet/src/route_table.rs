//! The operator's configuration in the form that requests are looked up in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::api_keys::KeyTable;
use crate::route::{Route, ServiceConfig};

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// Bytes of the request line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration; it is replaced whole and never changed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<String, ServiceConfig>,
    keys: KeyTable,
    limits: IngressLimits,
}

impl RouteTable {
    /// Builds the table of configuration `version`.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceConfig>,
        keys: KeyTable,
        limits: IngressLimits,
    ) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services
            .into_iter()
            .map(|it| (it.name.clone(), it))
            .collect();
        Self {
            version,
            hosts,
            services,
            keys,
            limits,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest prefix that begins `path`, a path without its query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self
            .hosts
            .get(host)
            .or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns all services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns the tenants' keys.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns what clients may send.
    pub fn limits(&self) -> IngressLimits {
        self.limits
    }
}
