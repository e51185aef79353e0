//! Classification of a plain service's calls as idempotent lookups or as orders that must not run twice.

use serde::{Deserialize, Serialize};

/// Determines which calls to a plain service are idempotent lookups and which are orders that must not run twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderPolicy {
    /// `GET` and `HEAD` calls are lookups; all other calls are orders.
    #[default]
    ByMethod,
    /// Every call is an order.
    Orders,
    /// Every call is an idempotent lookup.
    Lookups,
}
