//! Replicas that have started or returned a short time ago and crash if they get many requests at once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use routing::LifetimeId;

use crate::replica::Replica;

/// What a replica bears while it is cold, as its service is configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a replica is cold after its start.
    pub duration: Duration,
    /// Requests per second that it tolerates meanwhile.
    pub requests_per_second: f64,
}

/// Until when replicas are cold, as far as this process knows.
///
/// Times are those of a clock that may stand still while the host is suspended, so a replica counts as cold for too long rather than
/// too short a time.
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    by_replica: BTreeMap<LifetimeId, Instant>,
    /// Zones that have been taken back after an evacuation, whose replicas may have become cold meanwhile.
    by_zone: BTreeMap<String, Instant>,
}

impl ColdTable {
    /// Records that a replica says that it is cold for another `remaining` time, or not at all. Returns whether it became cold.
    ///
    /// In an older copy of the store (`from_copy`) the row may be from before the replica became cold, so it does not end that.
    pub fn record_replica(
        &mut self,
        replica: LifetimeId,
        remaining: Duration,
        from_copy: bool,
        now: Instant,
    ) -> bool {
        self.by_replica.retain(|_, until| *until > now);
        if remaining.is_zero() {
            if !from_copy {
                self.by_replica.remove(&replica);
            }
            return false;
        }
        let known = self.by_replica.get(&replica).copied();
        let until = now + remaining.min(MAX_DURATION);
        let until = known
            .filter(|_| from_copy)
            .map_or(until, |it| it.max(until));
        self.by_replica.insert(replica, until);
        known.is_none()
    }

    /// Records that an evacuated zone is used again. Its replicas count as cold for `duration`, whatever they have said before.
    pub fn record_return(&mut self, zone: &str, duration: Duration, now: Instant) {
        self.by_zone.retain(|_, until| *until > now);
        let until = now + duration.min(MAX_DURATION);
        self.by_zone.insert(zone.to_owned(), until);
    }

    /// Returns until when `replica` is cold, or `None` if it is not.
    pub fn cold_until(&self, replica: &Replica, now: Instant) -> Option<Instant> {
        if self.by_replica.is_empty() && self.by_zone.is_empty() {
            return None;
        }
        let said = self.by_replica.get(&replica.lifetime());
        let returned = self.by_zone.get(&replica.zone);
        let until = said.into_iter().chain(returned).max().copied();
        until.filter(|it| *it > now)
    }

    /// Returns whether no replica is cold.
    pub fn is_empty(&self, now: Instant) -> bool {
        let mut times = self.by_replica.values().chain(self.by_zone.values());
        times.all(|it| *it <= now)
    }

    /// Returns the number of replicas that have said that they are cold.
    pub fn count(&self, now: Instant) -> usize {
        self.by_replica.values().filter(|it| **it > now).count()
    }
}

/// Longest time for which a replica counts as cold by one statement; a wrong one must not hold it back for long.
const MAX_DURATION: Duration = Duration::from_secs(120);
