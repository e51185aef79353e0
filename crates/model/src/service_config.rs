//! Configuration of plain services.

use serde::{Deserialize, Serialize};

use crate::order_policy::OrderPolicy;

/// The configuration of a plain service. Services that are not configured use the default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Which calls are orders.
    pub orders: OrderPolicy,
    /// How long the outcome of an order is kept to respond to retries, in seconds.
    pub keep_outcome_s: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            orders: OrderPolicy::default(),
            keep_outcome_s: DEFAULT_KEEP_OUTCOME_S,
        }
    }
}

/// One day, so that a caller can retry an order after an outage that lasted overnight.
const DEFAULT_KEEP_OUTCOME_S: u64 = 24 * 60 * 60;
