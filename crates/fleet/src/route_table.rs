//! Lookup table for the routes of the operator's configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::api_keys::KeyTable;
use crate::rank_table::RankTable;
use crate::route::{Route, ServiceConfig};

/// Size limits and timeouts of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// Maximum size of the request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration. It is immutable; a new version replaces the whole table.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    services: BTreeMap<String, ServiceConfig>,
    keys: KeyTable,
    limits: IngressLimits,
    ranks: RankTable,
}

impl RouteTable {
    /// Builds the table for version `version` of the configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceConfig>,
        keys: KeyTable,
        limits: IngressLimits,
    ) -> Self {
        let ranks = RankTable::new(routes.iter());
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
            ranks,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route with the longest prefix of `path`, which has no query.
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

    /// Returns the home regions of the routes of `host` together; empty if none of them has any.
    pub fn home_regions(&self, host: &str) -> BTreeSet<&str> {
        let routes = self.hosts.get(host);
        let routes = routes.or_else(|| self.hosts.get(&host.to_ascii_lowercase()));
        let homes = routes.into_iter().flat_map(BTreeMap::values);
        let homes = homes.flat_map(|it| &it.home_regions);
        homes.map(String::as_str).collect()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns all services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns how much of each service's room requests of each rank may use.
    pub fn ranks(&self) -> &RankTable {
        &self.ranks
    }

    /// Returns the API keys of the tenants.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns the limits of client connections.
    pub fn limits(&self) -> IngressLimits {
        self.limits
    }
}
