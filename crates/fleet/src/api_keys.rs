//! Tenants and the API keys that identify them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// A tenant from the operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiTenant {
    /// Name that is passed on to replicas.
    pub name: String,
    /// Rank of the tenant's requests, which takes precedence over the rank of the route; 0 is first.
    pub rank: Option<u32>,
    /// Regions in which the tenant's requests may be served; any if empty.
    pub home_regions: Vec<String>,
}

/// The valid API keys. Without configured tenants the table is empty and every request is accepted.
#[derive(Clone, Default)]
pub struct KeyTable {
    tenants: BTreeMap<String, Arc<ApiTenant>>,
    required: bool,
}

impl KeyTable {
    /// Builds the table from each tenant and its keys; `tenants` is `None` if the configuration defines none.
    pub fn new(tenants: Option<Vec<(ApiTenant, Vec<String>)>>) -> Self {
        let required = tenants.is_some();
        let mut by_key = BTreeMap::new();
        for (tenant, keys) in tenants.unwrap_or_default() {
            let tenant = Arc::new(tenant);
            by_key.extend(keys.into_iter().map(|it| (it, tenant.clone())));
        }
        Self {
            tenants: by_key,
            required,
        }
    }

    /// Returns whether requests on non-public routes need a key.
    pub fn required(&self) -> bool {
        self.required
    }

    /// Returns the number of keys whose tenants have a rank of their own.
    pub fn ranked_count(&self) -> usize {
        let tenants = self.tenants.values();
        tenants.filter(|it| it.rank.is_some()).count()
    }

    /// Returns the tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<&Arc<ApiTenant>> {
        self.tenants.get(key)
    }
}

impl fmt::Debug for KeyTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyTable")
            .field("keys", &self.tenants.len())
            .field("required", &self.required)
            .finish()
    }
}
