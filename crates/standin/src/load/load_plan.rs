//! What callers do.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use model::VersionDigest;

/// The load of all organisations together.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of entries that are asked for the list of entries.
    pub bootstrap_entries: Vec<SocketAddr>,
    /// Who calls.
    pub organisations: Vec<LoadOrganisation>,
    /// Streamed answers asked for in a second.
    pub streams_per_s: f64,
    /// Orders that may not be repeated, in a second.
    pub orders_per_s: f64,
    /// Lookups in a second.
    pub lookups_per_s: f64,
    /// Share of the answered orders that their callers send once more under the same key, 0 to 1.
    pub duplicate_share: f64,
    /// The model that is asked.
    pub model: String,
    /// Tokens of each answer.
    pub tokens: usize,
    /// Part of the prompts that is the same for all.
    pub shared_prompt: String,
    /// The service that orders and lookups go to.
    pub service: String,
    /// Longest wait for a whole answer.
    pub deadline: Duration,
    /// Versions that may answer; any when it is empty.
    pub versions: BTreeSet<VersionDigest>,
    /// Seed of arrivals and choices, and part of every marker.
    pub seed: u64,
}

/// One organisation's part in the load.
#[derive(Clone, Debug)]
pub struct LoadOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// Its bearer token.
    pub token: String,
    /// Its share of all calls relative to the others.
    pub weight: u32,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            bootstrap_entries: Vec::new(),
            organisations: Vec::new(),
            streams_per_s: 10.0,
            orders_per_s: 0.0,
            lookups_per_s: 0.0,
            duplicate_share: 0.0,
            model: "demo".to_owned(),
            tokens: 20,
            shared_prompt: String::new(),
            service: "orders".to_owned(),
            deadline: Duration::from_secs(30),
            versions: BTreeSet::new(),
            seed: 1,
        }
    }
}
