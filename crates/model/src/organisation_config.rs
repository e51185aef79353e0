//! Configuration of an organisation.

use serde::{Deserialize, Serialize};

/// What operators want of one organisation; one without an entry gets the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationConfig {
    /// Share of the capacity relative to the other organisations, at least 1.
    pub weight: u32,
    /// Priority of requests that name none, 0 (low) to 9 (high).
    pub priority: u8,
    /// Whether every request is refused.
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
