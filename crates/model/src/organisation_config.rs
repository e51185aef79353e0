//! Configuration of organisations.

use serde::{Deserialize, Serialize};

/// The configuration of an organisation. Organisations that are not configured use the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationConfig {
    /// The weight of the organisation's share of the capacity relative to other organisations, at least 1.
    pub weight: u32,
    /// The priority of requests that do not specify one, 0 (low) to 9 (high).
    pub priority: u8,
    /// Whether all requests of the organisation are refused.
    pub denied: bool,
}

impl Default for OrganisationConfig {
    fn default() -> Self {
        Self {
            weight: 1,
            priority: 5,
            denied: false,
        }
    }
}
