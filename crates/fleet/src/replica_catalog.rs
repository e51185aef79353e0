//! Known replicas by id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use routing::LifetimeId;

use crate::departure_table::{
    DepartureEvidence, DepartureRecord, DepartureTable, RowOrigin, RowVerdict,
};
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
    /// Where the rows of the replicas come from.
    origins: BTreeMap<String, RowOrigin>,
    departures: DepartureTable,
}

impl ReplicaCatalog {
    /// Adds or updates a replica.
    ///
    /// A replica that restarts with a new id leaves its old registration at the same address until that expires; only
    /// the newest incarnation is used. A known departure outweighs a row that may be older.
    pub fn put(
        &mut self,
        mut replica: Replica,
        origin: RowOrigin,
        now: Instant,
    ) -> Option<CatalogChange> {
        let lifetime = replica.lifetime();
        if replica.state == ReplicaState::Draining {
            let evidence = DepartureEvidence::Draining(origin.position);
            self.departures.record(lifetime, evidence, now);
        } else {
            match self.departures.judge(lifetime, origin) {
                RowVerdict::Holds => self.departures.forget(lifetime),
                RowVerdict::Draining => replica.state = ReplicaState::Draining,
                RowVerdict::Gone => {
                    let known = self.replicas.remove(&replica.id);
                    return known.map(|it| CatalogChange::Gone(it.id));
                }
            }
        }
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
        self.origins.insert(id.clone(), origin);
        if self.origins.len() > 2 * self.replicas.len() + MIN_ORIGINS {
            self.origins
                .retain(|it, _| *it == id || self.replicas.contains_key(it));
        }
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
    pub fn remove(&mut self, id: &str, origin: RowOrigin, now: Instant) -> Option<CatalogChange> {
        let replica = self.replicas.get(id)?;
        let lifetime = replica.lifetime();
        if origin.after_outage && replica.state == ReplicaState::Ready {
            if self.lapsed.contains_key(id) {
                return None;
            }
            self.lapsed.insert(id.to_owned(), now + GRACE_PERIOD);
            return Some(CatalogChange::Lapsed(id.to_owned()));
        }
        self.replicas.remove(id);
        self.origins.remove(id);
        // A row that is missing in an older copy may not have been written again yet.
        if !origin.from_copy {
            let evidence = DepartureEvidence::Removed(origin.position);
            self.departures.record(lifetime, evidence, now);
        }
        Some(CatalogChange::Gone(id.to_owned()))
    }

    /// Records that a replica says in a response that it leaves. Returns the change, or `None` if that was known.
    pub fn record_leaving(&mut self, replica: LifetimeId, now: Instant) -> Option<CatalogChange> {
        let evidence = DepartureEvidence::Said;
        self.record_departure(DepartureRecord { replica, evidence }, now)
    }

    /// Records a departure that another process has told; returns the change, or `None` if it was known or does not
    /// concern a ready replica.
    pub fn record_departure(
        &mut self,
        record: DepartureRecord,
        now: Instant,
    ) -> Option<CatalogChange> {
        let DepartureRecord { replica, evidence } = record;
        if !self.departures.record(replica, evidence, now) {
            return None;
        }
        let mut replicas = self.replicas.values_mut();
        let known = replicas.find(|it| it.lifetime() == replica)?;
        let origin = self.origins.get(&known.id)?;
        let is_leaving = self.departures.judge(replica, *origin) == RowVerdict::Draining;
        if !is_leaving || known.state != ReplicaState::Ready {
            return None;
        }
        known.state = ReplicaState::Draining;
        Some(CatalogChange::Draining(known.id.clone()))
    }

    /// Returns whether requests may be sent to an incarnation that was chosen before: it has not left since.
    pub fn may_send(&self, replica: &Replica) -> bool {
        let known = self.replicas.get(&replica.id);
        let known = known.filter(|it| it.started_ms == replica.started_ms);
        known.is_none_or(|it| it.state == ReplicaState::Ready)
    }

    /// Returns the departures that other entries have to learn at once.
    pub fn departure_news(&self, now: Instant) -> Vec<DepartureRecord> {
        self.departures.news(now)
    }

    /// Returns the departures that an entry which has started has to learn.
    pub fn known_departures(&self) -> Vec<DepartureRecord> {
        self.departures.known()
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

/// Number of origins of rows up to which those of replicas that are gone are kept.
const MIN_ORIGINS: usize = 16;

/// Time in which a live replica renews its registration after an outage of the store; the platform's documentation of
/// discovery states "about two seconds".
const GRACE_PERIOD: Duration = Duration::from_millis(1600);
