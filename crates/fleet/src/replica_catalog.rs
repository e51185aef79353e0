//! Known replicas by id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::replica::{LoadedModel, Replica, ReplicaState};

/// Effect of an update on the catalog, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChange {
    /// A replica was added, or a known id was registered by a new incarnation.
    Added(String),
    /// A replica started to drain.
    Draining(String),
    /// Other properties of a replica changed.
    Updated(String),
    /// The registration was removed.
    Gone(String),
    /// The registration expired during an outage of the store; the replica is used until the grace period ends.
    Lapsed(String),
}

/// The replicas that are registered in the store.
#[derive(Clone, Debug, Default)]
pub struct ReplicaCatalog {
    replicas: BTreeMap<String, Replica>,
    /// Replicas whose registrations were missing after an outage of the store, with the end of their grace periods.
    lapsed: BTreeMap<String, Instant>,
    /// Whether the store was unreachable since it was last read.
    had_outage: bool,
}

impl ReplicaCatalog {
    /// Records that the store was unreachable.
    pub fn record_outage(&mut self) {
        self.had_outage = true;
    }

    /// Records that all changes up to now were read: later removals are deliberate and not due to the outage.
    pub fn record_sync(&mut self) {
        self.had_outage = false;
    }

    /// Adds or updates a replica.
    ///
    /// A replica that restarts with a new id leaves its old registration at the same address until that expires; only
    /// the newest incarnation is used.
    pub fn put(&mut self, replica: Replica) -> Option<CatalogChange> {
        let is_same_address = |it: &Replica| {
            it.address == replica.address && it.service == replica.service && it.id != replica.id
        };
        let mut others = self.replicas.values().filter(|it| is_same_address(it));
        if others.any(|it| it.started_ms > replica.started_ms) {
            return self
                .replicas
                .remove(&replica.id)
                .map(|it| CatalogChange::Gone(it.id));
        }
        self.replicas
            .retain(|_, it| !is_same_address(it) || it.started_ms >= replica.started_ms);
        self.lapsed.remove(&replica.id);
        let id = replica.id.clone();
        let before = self.replicas.insert(id.clone(), replica);
        let after = &self.replicas[&id];
        match before {
            None => Some(CatalogChange::Added(id)),
            Some(before) if before == *after => None,
            Some(before) if before.started_ms != after.started_ms => Some(CatalogChange::Added(id)),
            Some(before)
                if before.state != after.state && after.state == ReplicaState::Draining =>
            {
                Some(CatalogChange::Draining(id))
            }
            Some(_) => Some(CatalogChange::Updated(id)),
        }
    }

    /// Removes a replica whose registration is missing. After an outage of the store it is marked as lapsed instead.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<CatalogChange> {
        let replica = self.replicas.get(id)?;
        if self.had_outage && replica.state == ReplicaState::Ready {
            if self.lapsed.contains_key(id) {
                return None;
            }
            self.lapsed.insert(id.to_owned(), now + GRACE_PERIOD);
            return Some(CatalogChange::Lapsed(id.to_owned()));
        }
        self.replicas.remove(id);
        Some(CatalogChange::Gone(id.to_owned()))
    }

    /// Removes lapsed replicas whose grace period has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<CatalogChange> {
        let expired: Vec<String> = self
            .lapsed
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .into_iter()
            .map(|id| {
                self.lapsed.remove(&id);
                self.replicas.remove(&id);
                CatalogChange::Gone(id)
            })
            .collect()
    }

    /// Removes a replica because its address belongs to a replica with another id.
    pub fn remove_misdirected(&mut self, id: &str) {
        self.replicas.remove(id);
    }

    /// Records that a replica refused a request because it does not have `version` of `model`. Its registration is out
    /// of date, so it is treated as having no weights of the model until an update lists some. Returns whether the
    /// catalog changed.
    pub fn record_missing_version(&mut self, id: &str, model: &str, version: u64) -> bool {
        let Some(replica) = self.replicas.get_mut(id) else {
            return false;
        };
        if replica.version_of(model) != Some(version) {
            return false;
        }
        replica.models.retain(|it| it.name != model);
        true
    }

    /// Updates the weights of the replica at `address` to those that its agent reports; returns whether they changed.
    pub fn update_weights(&mut self, address: SocketAddr, models: &[LoadedModel]) -> bool {
        let Some(replica) = self.replicas.values_mut().find(|it| it.address == address) else {
            return false;
        };
        if replica.models == models {
            return false;
        }
        replica.models = models.to_vec();
        true
    }

    /// Returns a replica by id.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Returns all replicas, ordered by id.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Returns the replicas of `service` that accept new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Replica> {
        self.replicas
            .values()
            .filter(move |it| it.service == service && it.state == ReplicaState::Ready)
            .filter(move |it| self.lapsed.get(&it.id).is_none_or(|end| now < *end))
    }
}

/// Time in which a live replica renews its registration after an outage of the store; the platform's documentation of
/// discovery states "about two seconds".
const GRACE_PERIOD: Duration = Duration::from_millis(1600);
