//! All replicas that are known, by id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::replica::{LoadedModel, Replica, ReplicaState};

/// What an update did to the catalog, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogChange {
    /// A replica, or a new incarnation under a known id, has appeared.
    Added(String),
    /// A replica is leaving.
    Draining(String),
    /// Something else that is known of it has changed.
    Updated(String),
    /// Its entry is gone.
    Gone(String),
    /// Its entry is gone after an outage of the store, which lets entries lapse; it is used until the grace ends.
    Lapsed(String),
}

/// The replicas that the store lists.
#[derive(Clone, Debug, Default)]
pub struct ReplicaCatalog {
    replicas: BTreeMap<String, Replica>,
    /// Replicas whose entries were missing when the store came back, with the end of their grace.
    lapsed: BTreeMap<String, Instant>,
    /// Whether the store was away since it was last read.
    was_away: bool,
}

impl ReplicaCatalog {
    /// Notes that the store could not be reached.
    pub fn note_outage(&mut self) {
        self.was_away = true;
    }

    /// Notes that all changes up to now were read: what is removed from here on has left, and has not lapsed.
    pub fn note_read(&mut self) {
        self.was_away = false;
    }

    /// Adds a replica or replaces what is known of it.
    ///
    /// A replica that was started again at its address with a new id leaves its old entry behind until that lapses; the
    /// newest incarnation counts.
    pub fn put(&mut self, replica: Replica) -> Option<CatalogChange> {
        let is_same_place = |it: &Replica| {
            it.address == replica.address && it.service == replica.service && it.id != replica.id
        };
        let mut others = self.replicas.values().filter(|it| is_same_place(it));
        if others.any(|it| it.born_ms > replica.born_ms) {
            return self
                .replicas
                .remove(&replica.id)
                .map(|it| CatalogChange::Gone(it.id));
        }
        self.replicas
            .retain(|_, it| !is_same_place(it) || it.born_ms >= replica.born_ms);
        self.lapsed.remove(&replica.id);
        let id = replica.id.clone();
        let before = self.replicas.insert(id.clone(), replica);
        let after = &self.replicas[&id];
        match before {
            None => Some(CatalogChange::Added(id)),
            Some(before) if before == *after => None,
            Some(before) if before.born_ms != after.born_ms => Some(CatalogChange::Added(id)),
            Some(before)
                if before.state != after.state && after.state == ReplicaState::Draining =>
            {
                Some(CatalogChange::Draining(id))
            }
            Some(_) => Some(CatalogChange::Updated(id)),
        }
    }

    /// Removes a replica whose entry is gone, or lets it lapse when the store was away just before.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<CatalogChange> {
        let replica = self.replicas.get(id)?;
        if self.was_away && replica.state == ReplicaState::Ready {
            if self.lapsed.contains_key(id) {
                return None;
            }
            self.lapsed.insert(id.to_owned(), now + LAPSE_GRACE);
            return Some(CatalogChange::Lapsed(id.to_owned()));
        }
        self.replicas.remove(id);
        Some(CatalogChange::Gone(id.to_owned()))
    }

    /// Drops lapsed replicas whose grace is over.
    pub fn expire(&mut self, now: Instant) -> Vec<CatalogChange> {
        let over: Vec<String> = self
            .lapsed
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        over.into_iter()
            .map(|id| {
                self.lapsed.remove(&id);
                self.replicas.remove(&id);
                CatalogChange::Gone(id)
            })
            .collect()
    }

    /// Takes a replica out that answered at its address under another id.
    pub fn misdirected(&mut self, id: &str) {
        self.replicas.remove(id);
    }

    /// Notes that a replica refused a request because it does not have `version` of `model`: what the store lists is out of
    /// date, and the replica has no weights until it is known to have some; returns whether that is news.
    pub fn lacks_version(&mut self, id: &str, model: &str, version: u64) -> bool {
        let Some(replica) = self.replicas.get_mut(id) else {
            return false;
        };
        if replica.version_of(model) != Some(version) {
            return false;
        }
        replica.models.retain(|it| it.name != model);
        true
    }

    /// Notes the weights that the agent beside the replica at `address` saw loaded; returns whether that is news.
    pub fn note_weights(&mut self, address: SocketAddr, models: &[LoadedModel]) -> bool {
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

    /// Returns all replicas in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Returns the replicas of `service` that take new requests.
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

/// Time in which a lapsed entry comes back if its replica lives: "about two seconds" (platform's page on discovery).
const LAPSE_GRACE: Duration = Duration::from_millis(1600);
