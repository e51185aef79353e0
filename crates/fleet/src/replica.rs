//! A replica as registered in the store, with its state and loaded models.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use routing::LifetimeId;
use serde::{Deserialize, Serialize};

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Shutting down; requests in flight are completed.
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

/// One incarnation of a replica, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id, which usually changes with each start.
    pub id: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Start time of the incarnation in Unix milliseconds, if registered.
    pub started_ms: Option<u64>,
    /// Time for which it was still cold when it was registered.
    pub cold_left: Duration,
}

/// Returns the replicas of `service` that are not draining, ordered by address.
///
/// Only the newest incarnation at each address counts: a restarted replica is listed twice until its old registration
/// expires.
pub fn active_replicas(replicas: impl Iterator<Item = Replica>, service: &str) -> Vec<Replica> {
    let mut by_address: BTreeMap<SocketAddr, Replica> = BTreeMap::new();
    for replica in replicas.filter(|it| it.service == service) {
        let existing = by_address.get(&replica.address);
        if existing.is_none_or(|it| it.started_ms < replica.started_ms) {
            by_address.insert(replica.address, replica);
        }
    }
    by_address.retain(|_, it| it.state == ReplicaState::Ready);
    by_address.into_values().collect()
}

impl Replica {
    /// Returns the id of this incarnation.
    pub fn lifetime(&self) -> LifetimeId {
        LifetimeId::new(&self.id, self.started_ms)
    }

    /// Returns the loaded version of `model`.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models
            .iter()
            .find(|it| it.name == model)
            .map(|it| it.version)
    }
}
