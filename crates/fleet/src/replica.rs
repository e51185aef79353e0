//! One replica as it describes itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Takes new requests.
    Ready,
    /// Leaves; requests in progress end.
    Draining,
}

/// Weights that a replica has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// One incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id, mostly new with each start.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ReplicaState,
    /// Weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Start of the incarnation in Unix milliseconds, where it says so.
    pub born_ms: Option<u64>,
}

/// Returns the replicas of `service` that stay, in the order of their addresses: the newest incarnation at each, since one
/// that was started again may be listed twice until its old entry lapses, and none that is leaving.
pub fn staying_replicas(replicas: impl Iterator<Item = Replica>, service: &str) -> Vec<Replica> {
    let mut by_address: BTreeMap<SocketAddr, Replica> = BTreeMap::new();
    for replica in replicas.filter(|it| it.service == service) {
        let known = by_address.get(&replica.address);
        if known.is_none_or(|it| it.born_ms < replica.born_ms) {
            by_address.insert(replica.address, replica);
        }
    }
    by_address.retain(|_, it| it.state == ReplicaState::Ready);
    by_address.into_values().collect()
}

impl Replica {
    /// Returns the version of `model` that is loaded.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models
            .iter()
            .find(|it| it.name == model)
            .map(|it| it.version)
    }
}
