//! Configuration of a plain service.

use serde::{Deserialize, Serialize};

use crate::order_policy::OrderPolicy;

/// What operators want of one plain service; a service without an entry gets the default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Which calls may be repeated.
    pub orders: OrderPolicy,
    /// How long the outcome of an order is kept for repeats, in seconds.
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

/// A day covers a caller that repeats an order after a night's outage.
const DEFAULT_KEEP_OUTCOME_S: u64 = 24 * 60 * 60;
