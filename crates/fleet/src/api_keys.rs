//! Tenants and the API keys that identify them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::freshness::ConfigFreshness;

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

/// Why a request is not accepted because of its key, or because it has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDenial {
    /// The configuration was confirmed too long ago to tell who holds the key.
    Outdated,
    /// No tenant holds the key, or the route requires one and the request has none.
    Unknown,
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

    /// Returns the number of keys whose tenants have a rank of their own.
    pub fn ranked_count(&self) -> usize {
        let tenants = self.tenants.values();
        tenants.filter(|it| it.rank.is_some()).count()
    }

    /// Returns the tenant on whose behalf a request with `key` runs at `now`, or `None` if it needs no tenant.
    ///
    /// Keys are revoked and move between tenants, so the result is only as recent as the configuration that the keys come
    /// from. There is no other way to a tenant than with the `freshness` of that configuration, on public routes too:
    /// replicas take the tenant for granted, whatever the route requires. See
    /// `docs/decisions/0052-age-of-what-a-request-is-given.md`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must not run.
    pub fn identify(
        &self,
        key: Option<&str>,
        is_public: bool,
        freshness: &ConfigFreshness,
        now: Duration,
    ) -> Result<Option<&Arc<ApiTenant>>, KeyDenial> {
        if !self.required || key.is_none() && is_public {
            return Ok(None);
        }
        if !freshness.is_trusted(now) {
            return Err(KeyDenial::Outdated);
        }
        let holder = key.and_then(|it| self.tenants.get(it));
        holder.map(Some).ok_or(KeyDenial::Unknown)
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
