//! The turns at replicas that are cold.
//!
//! A cold replica crashes if all entries together send it too many requests in a second. The entries divide a rate below that among
//! them as they do for limits that replicas name; what they need to agree on is the time base and each other, not when the replica
//! became cold. See `docs/design/cold-replicas.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::lifetime_id::LifetimeId;
use crate::member_table::MemberTable;
use crate::turn_queue::TurnQueue;
use crate::turn_schedule::TurnSchedule;

/// Requests that a cold replica may get from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests per second that it tolerates.
    pub requests_per_second: f64,
    /// Requests that it may get in any one second.
    pub max_in_second: f64,
}

/// Turns of one entry at cold replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdTurns {
    replicas: BTreeMap<LifetimeId, ColdReplica>,
}

#[derive(Clone, Debug)]
struct ColdReplica {
    bound: ColdBound,
    schedule: TurnSchedule,
    until: Instant,
    queue: TurnQueue,
}

impl ColdTurns {
    pub(crate) fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Records that `replica` is cold until `until` and may get requests up to `bound`.
    pub(crate) fn record(&mut self, replica: LifetimeId, bound: ColdBound, until: Instant) {
        let cold = self.replicas.entry(replica).or_insert_with(|| ColdReplica {
            bound,
            schedule: TurnSchedule::of_cold_replica(replica, bound),
            until,
            queue: TurnQueue::default(),
        });
        if cold.bound != bound {
            cold.bound = bound;
            cold.schedule = TurnSchedule::of_cold_replica(replica, bound);
            cold.queue.restart();
        }
        cold.until = until;
    }

    /// Returns whether a request may be sent to `replica` now, or `None` if it is not cold.
    pub(crate) fn has_turn(
        &mut self,
        now: Instant,
        base_now: Duration,
        replica: LifetimeId,
        members: &MemberTable,
    ) -> Option<bool> {
        let cold = self.replicas.get_mut(&replica)?;
        if cold.until <= now {
            self.replicas.remove(&replica);
            return None;
        }
        let may_use = members.may_use_cold_turns(now);
        cold.queue
            .refresh(&cold.schedule, members, base_now, may_use);
        Some(!cold.queue.turns.is_empty())
    }

    /// Uses a turn that [`Self::has_turn`] has found.
    pub(crate) fn take(&mut self, replica: LifetimeId) -> bool {
        let cold = self.replicas.get_mut(&replica);
        cold.is_none_or(|it| it.queue.take())
    }

    /// Returns the number of turns per second of all entries at `replica`, if it is cold.
    pub(crate) fn rate(&self, replica: LifetimeId) -> Option<f64> {
        let cold = self.replicas.get(&replica);
        cold.map(|it| it.schedule.rate())
    }

    /// Drops all turns, since the time base has changed.
    pub(crate) fn restart(&mut self) {
        for cold in self.replicas.values_mut() {
            cold.queue.restart();
        }
    }

    /// Returns the numbers of turns that can be used, were used and have lapsed.
    pub(crate) fn counts(&self) -> [u64; 3] {
        let mut counts = [0; 3];
        for queue in self.replicas.values().map(|it| &it.queue) {
            counts[0] += queue.turns.len() as u64;
            counts[1] += queue.used;
            counts[2] += queue.lapsed;
        }
        counts
    }

    /// Forgets replicas that are not cold any more.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.replicas.retain(|_, it| it.until > now);
    }
}
