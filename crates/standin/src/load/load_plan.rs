//! Configuration of the generated load.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use model::VersionDigest;

/// The combined load of all organisations.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of the entries from which callers fetch the list of all entries.
    pub bootstrap_entries: Vec<SocketAddr>,
    /// The organisations that send calls.
    pub organisations: Vec<LoadOrganisation>,
    /// Streamed model requests per second.
    pub streams_per_s: f64,
    /// Orders per second; an order is not idempotent.
    pub orders_per_s: f64,
    /// Lookups per second.
    pub lookups_per_s: f64,
    /// Fraction of the answered orders that callers send again with the same idempotency key, from 0 to 1.
    pub duplicate_share: f64,
    /// The model that streamed requests are sent to.
    pub model: String,
    /// Number of tokens in each response.
    pub tokens: usize,
    /// Prefix that all prompts have in common.
    pub shared_prompt: String,
    /// The service that orders and lookups are sent to.
    pub service: String,
    /// Time within which a call must be answered completely.
    pub deadline: Duration,
    /// Versions that may answer. Any version is accepted if this is empty.
    pub versions: BTreeSet<VersionDigest>,
    /// Seed of the arrival times and random choices. It is also part of every [`run_key`](crate::CallRecord::run_key).
    pub seed: u64,
}

/// An organisation's share of the load.
#[derive(Clone, Debug)]
pub struct LoadOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// Its bearer token.
    pub token: String,
    /// Its relative share of the calls; 0 counts as 1.
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
