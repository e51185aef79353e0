//! Which calls of a service may be repeated.

use serde::{Deserialize, Serialize};

/// Tells how the calls of a plain service may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderPolicy {
    /// `GET` and `HEAD` are lookups, everything else is an order.
    #[default]
    ByMethod,
    /// Every call is an order.
    Orders,
    /// Every call is an idempotent lookup.
    Lookups,
}
