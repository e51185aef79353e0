//! Requests to cold replicas in an emulation of limits.

use std::time::Duration;

use rand::RngExt;
use routing::TurnGrant;

use crate::cold_replicas::ColdPhase;
use crate::cold_scenario::{ColdNotice, ColdScenario};
use crate::limit_scenario::LimitPolicy;
use crate::limit_simulation::{LimitEvent, LimitSimulation};

/// What an entry knows of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coldness {
    /// It gets no requests: it is starting, or its zone is evacuated.
    Closed,
    /// It is cold until this time.
    Cold(Duration),
    /// It is not cold.
    Warm,
}

impl LimitSimulation {
    /// Returns the requests per second that all entries receive now.
    pub(super) fn offered_rate(&self) -> f64 {
        let Some(cold) = self.scenario.cold else {
            return self.scenario.requests_per_second as f64;
        };
        let in_cycle = self.queue.now().as_secs_f64() % BURST_INTERVAL_S;
        let factor = if in_cycle < BURST_S { 2.0 } else { 1.0 };
        cold.requests_per_replica * self.scenario.replicas as f64 * factor
    }

    /// Makes the replicas cold, and determines when the entries learn it.
    pub(super) fn begin_cold_phase(&mut self) {
        let Some(cold) = self.scenario.cold else {
            return;
        };
        let now = self.queue.now();
        self.cold.end_phase(now);
        let ends_at = now + cold.duration;
        let mut known = Vec::new();
        for _ in 0..self.entries.len() {
            let view_age = self.milliseconds(200, 2000);
            let replicas = 0..self.cold.ids.len();
            let times = replicas.map(|_| self.notice(cold, now, ends_at, view_age));
            known.push(times.collect());
        }
        self.cold.phase = Some(ColdPhase {
            begins_at: now,
            ends_at,
            known,
        });
        self.queue.schedule(cold.interval, LimitEvent::ColdPhase);
    }

    /// Returns when an entry learns that a replica is cold, and until when the replica counts as cold for it.
    fn notice(
        &mut self,
        cold: ColdScenario,
        begins_at: Duration,
        ends_at: Duration,
        view_age: Duration,
    ) -> (Duration, Duration) {
        if cold.notice == ColdNotice::Return {
            let learned_at = begins_at + view_age;
            return (learned_at, learned_at + cold.duration + RETURN_RESERVE);
        }
        let written_after = match cold.notice {
            ColdNotice::Late => self.milliseconds(0, 1200),
            _ => Duration::ZERO,
        };
        let learned_at = begins_at + written_after + self.milliseconds(20, 800);
        let left = ends_at.saturating_sub(begins_at + written_after);
        (learned_at, learned_at + left)
    }

    fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    fn coldness(&self, entry: usize, replica: usize, cold: ColdScenario) -> Coldness {
        let now = self.queue.now();
        let Some(phase) = &self.cold.phase else {
            return Coldness::Warm;
        };
        // An entry that was added reads the rows before it serves.
        let known = phase.known.get(entry).map(|it| it[replica]);
        let (learned_at, until) = known.unwrap_or((Duration::ZERO, phase.ends_at));
        match now {
            _ if now >= until => Coldness::Warm,
            _ if now >= learned_at => Coldness::Cold(until),
            _ if cold.notice == ColdNotice::Late => Coldness::Warm,
            _ => Coldness::Closed,
        }
    }

    /// Sends a request to a cold replica if the entry has a turn at one, as it prefers these, and otherwise to any other replica.
    pub(super) fn receive_cold_request(&mut self, entry: usize, cold: ColdScenario) {
        let now = self.queue.now();
        self.outcome.requests += 1;
        if !self.entries[entry].is_serving(now) {
            return;
        }
        let replicas = self.cold.ids.len();
        let first = self.random.random_range(0..replicas);
        let mut in_turn = (0..replicas).map(|it| (first + it) % replicas);
        let with_turn = match self.scenario.policy {
            LimitPolicy::SharedTurns => in_turn.find(|it| self.take_cold_turn(entry, *it, cold)),
            _ => None,
        };
        let grant = TurnGrant::new(with_turn.map(|_| self.instant(entry)));
        let any = self.random.random_range(0..self.scenario.replicas);
        let chosen = with_turn.unwrap_or(any);
        if chosen >= replicas {
            // Replicas that are never cold take what they get.
            return;
        }
        let is_open = match self.coldness(entry, chosen, cold) {
            Coldness::Warm => true,
            Coldness::Cold(_) => {
                with_turn.is_some() || self.scenario.policy == LimitPolicy::Ignored
            }
            Coldness::Closed => false,
        };
        if !is_open {
            let has_others = replicas < self.scenario.replicas;
            self.outcome.refused += u64::from(!has_others);
            return;
        }
        let is_new_connection = self.random.random_bool(NEW_CONNECTION_SHARE);
        let opening_ms = if is_new_connection { MAX_OPENING_MS } else { 5 };
        let delay = self.milliseconds(0, opening_ms);
        let event = LimitEvent::ColdSend {
            replica: chosen,
            entry,
            grant,
        };
        self.queue.schedule(delay, event);
    }

    fn take_cold_turn(&mut self, entry: usize, replica: usize, cold: ColdScenario) -> bool {
        let Coldness::Cold(until) = self.coldness(entry, replica, cold) else {
            return false;
        };
        let now = self.queue.now();
        let instant = self.instant(entry);
        let id = self.cold.ids[replica];
        let table = &mut self.entries[entry].table;
        table.record_cold(id, cold.bound, instant + until.saturating_sub(now));
        table.take_turn(instant, id)
    }

    /// Writes a request whose connection is open, if it is still permitted.
    pub(super) fn send_to_cold(&mut self, replica: usize, entry: usize, grant: TurnGrant) {
        let now = self.queue.now();
        let frozen_until = self.entries[entry].frozen_until;
        if now < frozen_until {
            let event = LimitEvent::ColdSend {
                replica,
                entry,
                grant,
            };
            self.queue.schedule(frozen_until - now, event);
            return;
        }
        let Some(cold) = self.scenario.cold else {
            return;
        };
        let is_cold = matches!(self.coldness(entry, replica, cold), Coldness::Cold(_));
        let is_granted = grant.is_valid(self.instant(entry), is_cold);
        let keeps_turns = self.scenario.policy == LimitPolicy::SharedTurns;
        if keeps_turns && is_cold && !is_granted && !self.take_cold_turn(entry, replica, cold) {
            return;
        }
        let delay = self.milliseconds(1, 8);
        self.queue
            .schedule(delay, LimitEvent::ColdArrival { replica });
    }
}

/// Time for which the offered load is twice as high, and time between two such times, in seconds.
const BURST_S: f64 = 4.0;
const BURST_INTERVAL_S: f64 = 12.0;

/// Time that entries add for replicas of a zone that is taken back.
const RETURN_RESERVE: Duration = Duration::from_millis(500);

/// Share of the requests that wait for a new connection, and the longest such wait in milliseconds.
const NEW_CONNECTION_SHARE: f64 = 0.2;
const MAX_OPENING_MS: u64 = 300;
