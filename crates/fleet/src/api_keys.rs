//! Tenants and the keys that identify them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// A tenant as the operator configured it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiTenant {
    /// Name that replicas see.
    pub name: String,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u32>,
}

/// The keys in force. An empty table of a configuration without tenants lets every request pass.
#[derive(Clone, Default)]
pub struct KeyTable {
    tenants: BTreeMap<String, Arc<ApiTenant>>,
    required: bool,
}

impl KeyTable {
    /// Builds the table; `tenants` is `None` where the configuration knows no tenants.
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

    /// Says whether requests on routes that are not public need a key.
    pub fn required(&self) -> bool {
        self.required
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
