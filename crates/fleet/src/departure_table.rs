//! Replicas that have left, or have said that they leave, by lifetime.
//!
//! The store can return from a copy in which a replica is still ready, and a replica says that it leaves before its row
//! does. What a process has learned outweighs both; see
//! [decision 48](../../../docs/decisions/0048-lives-of-the-store.md).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use routing::LifetimeId;
use serde::{Deserialize, Serialize};

use crate::store_position::StorePosition;

/// What showed that a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureEvidence {
    /// The replica said so in a response.
    Said,
    /// Its row said so.
    Draining(StorePosition),
    /// Its row was removed, not during an outage of the store.
    Removed(StorePosition),
}

/// A departure in the form in which entries tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRecord {
    /// Lifetime of the replica.
    pub replica: LifetimeId,
    /// What showed it.
    pub evidence: DepartureEvidence,
}

/// What an entry tells others of departures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureDigest {
    /// The departures, newest first.
    pub records: Vec<DepartureRecord>,
    /// Whether these are all that the sender knows, which an entry that has started awaits.
    pub is_complete: bool,
}

/// Where a row comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowOrigin {
    /// Position at which the row changed.
    pub position: StorePosition,
    /// Whether the row may be older than what this process knew before the store returned from a copy.
    pub from_copy: bool,
    /// Whether the row was read after an outage of the store, during which rows expire by mistake.
    pub after_outage: bool,
}

/// What known departures say of a row in which a replica is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowVerdict {
    /// The row holds, and refutes an earlier departure.
    Holds,
    /// The replica has said that it leaves; the row is older, or wrong.
    Draining,
    /// The replica was removed after the row was written.
    Gone,
}

/// Departures by lifetime. Only a bounded number of the last ones is remembered.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureTable {
    departures: BTreeMap<LifetimeId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    evidence: DepartureEvidence,
    recorded_at: Instant,
}

impl DepartureTable {
    /// Records a departure; returns whether it was unknown, or known only by weaker evidence.
    pub(crate) fn record(
        &mut self,
        replica: LifetimeId,
        evidence: DepartureEvidence,
        now: Instant,
    ) -> bool {
        let existing = self.departures.get(&replica);
        if existing.is_some_and(|it| rank(it.evidence) >= rank(evidence)) {
            return false;
        }
        let departure = Departure {
            evidence,
            recorded_at: now,
        };
        self.departures.insert(replica, departure);
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|it| it.1.recorded_at);
            if let Some(oldest) = oldest.map(|it| *it.0) {
                self.departures.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether a departure outweighs a row from `origin` in which the replica is ready.
    pub(crate) fn judge(&self, replica: LifetimeId, origin: RowOrigin) -> RowVerdict {
        let Some(departure) = self.departures.get(&replica) else {
            return RowVerdict::Holds;
        };
        let is_newer =
            |it: StorePosition| it.era() == origin.position.era() && it < origin.position;
        match departure.evidence {
            DepartureEvidence::Said => RowVerdict::Draining,
            // The row is written by the replica, which does not return within its lifetime. Only within one life of the
            // store is it certain which row is the later one.
            DepartureEvidence::Draining(at) if is_newer(at) => RowVerdict::Holds,
            DepartureEvidence::Draining(_) => RowVerdict::Draining,
            // A row is also removed while a replica is silent for a moment, and then written again.
            DepartureEvidence::Removed(at) if is_newer(at) || !origin.from_copy => {
                RowVerdict::Holds
            }
            DepartureEvidence::Removed(_) => RowVerdict::Gone,
        }
    }

    /// Forgets a departure that a later row has refuted.
    pub(crate) fn forget(&mut self, replica: LifetimeId) {
        self.departures.remove(&replica);
    }

    /// Returns what other entries have to learn at once: departures that replicas have said recently.
    pub(crate) fn news(&self, now: Instant) -> Vec<DepartureRecord> {
        self.records(MAX_NEWS, |it| {
            it.evidence == DepartureEvidence::Said
                && now.saturating_duration_since(it.recorded_at) < NEWS_AGE
        })
    }

    /// Returns what an entry that has started has to learn, since the store may list these replicas as ready.
    pub(crate) fn known(&self) -> Vec<DepartureRecord> {
        self.records(MAX_KNOWN, |it| {
            !matches!(it.evidence, DepartureEvidence::Removed(_))
        })
    }

    /// Returns the newest departures for which `is_included` holds.
    fn records(
        &self,
        max_count: usize,
        is_included: impl Fn(&Departure) -> bool,
    ) -> Vec<DepartureRecord> {
        let mut included: Vec<_> = self
            .departures
            .iter()
            .filter(|it| is_included(it.1))
            .collect();
        included.sort_unstable_by_key(|it| std::cmp::Reverse(it.1.recorded_at));
        let newest = included.into_iter().take(max_count);
        let records = newest.map(|it| DepartureRecord {
            replica: *it.0,
            evidence: it.1.evidence,
        });
        records.collect()
    }
}

/// Returns how much evidence is worth. Of the same kind, the later position is worth more.
fn rank(evidence: DepartureEvidence) -> (u8, StorePosition) {
    match evidence {
        DepartureEvidence::Removed(at) => (0, at),
        DepartureEvidence::Draining(at) => (1, at),
        DepartureEvidence::Said => (2, StorePosition::new(u64::MAX, u64::MAX)),
    }
}

/// Maximum number of departures that are remembered: those of a day at the size to design for.
const MAX_DEPARTURES: usize = 4096;

/// Maximum number of departures in a message, with 12 bytes each.
const MAX_NEWS: usize = 32;
const MAX_KNOWN: usize = 256;

/// Time for which a departure is told to other entries: a few messages of which some may be lost.
const NEWS_AGE: Duration = Duration::from_secs(2);
