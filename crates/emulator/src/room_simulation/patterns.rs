//! Demand and trouble of an emulation of insufficient capacity.

use std::time::Duration;

use fleet::{ReplicaOutcome, ReplicaState};
use rand::RngExt;

use super::{RoomCall, RoomSimulation, ZONES};
use crate::room_outcome::RoomResult;
use crate::room_scenario::{PODBOR_KINDS, RoomKind, RoomPattern, RoomScenario};

impl RoomSimulation {
    /// Returns the requests per second of a kind.
    pub(super) fn rate(&self, kind: usize) -> f64 {
        let elapsed = self
            .queue
            .now()
            .checked_sub(RoomScenario::TROUBLE_START)
            .unwrap_or(Duration::MAX);
        let factor = match self.scenario.pattern {
            RoomPattern::KindBurst if kind == 2 && elapsed < TROUBLE_TIME => 2.2,
            RoomPattern::LongBurst if kind == 0 && elapsed < LONG_BURST_TIME => 1.5,
            RoomPattern::OnlyLong => LONG_REQUEST_FACTOR,
            _ => 1.0,
        };
        let capacity = CAPACITY_PER_REPLICA * self.scenario.replicas as f64;
        capacity * self.scenario.load * PODBOR_KINDS[kind].share * factor
    }

    pub(super) fn arrive(&mut self, kind: usize) {
        let now = self.queue.now();
        let elapsed = now.checked_sub(RoomScenario::TROUBLE_START);
        let in_burst = elapsed.is_some_and(|it| it < LONG_BURST_TIME) && kind == 0;
        let prompt_tokens = match self.scenario.pattern {
            RoomPattern::OnlyLong => self.random.random_range(LONG_PROMPT..MAX_PROMPT),
            RoomPattern::LongBurst if in_burst => self.random.random_range(LONG_PROMPT..MAX_PROMPT),
            _ => self.prompt_tokens(&PODBOR_KINDS[kind]),
        };
        let swing = elapsed.map(|it| it.as_secs() as usize / 2 % ZONES);
        let is_swung = self.scenario.pattern == RoomPattern::ZoneSwing;
        let mut entry = self.random.random_range(0..self.scenario.entries);
        if let Some(zone) = swing
            && is_swung
            && self.random.random_bool(0.9)
        {
            let in_zone = self.plan.peers_of(zone, self.scenario.entries);
            entry = in_zone[self.random.random_range(0..in_zone.len())];
        }
        self.calls.push(RoomCall {
            result: RoomResult {
                kind,
                prompt_tokens,
                arrived: now,
                first_event: None,
                earned: 0.0,
                value: PODBOR_KINDS[kind].value,
                is_on_time: false,
                refusals: 0,
            },
            entry,
            tried: Vec::new(),
            replica: 0,
            sent_at: now,
            predicted_ms: 0.0,
            last_event: None,
            is_paused: false,
        });
        self.dispatch(self.calls.len() - 1);
    }

    /// Draws the length of a prompt: a shared part and a lognormal one with spread 1.0.
    fn prompt_tokens(&mut self, kind: &RoomKind) -> u32 {
        let radius = (-2.0 * (1.0 - self.random.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.random::<f64>()).cos();
        let own = kind.prompt_tokens * (normal - 0.5).exp();
        (SHARED_PROMPT + own as u32).min(MAX_PROMPT)
    }

    pub(super) fn change_pattern(&mut self, begins: bool) {
        match self.scenario.pattern {
            RoomPattern::AllReturn if begins => {
                for kind in 0..PODBOR_KINDS.len() {
                    let count = (self.rate(kind) * RETURNING_TIME) as usize;
                    for _ in 0..count {
                        self.arrive(kind);
                    }
                }
            }
            RoomPattern::HalfUnusable => {
                let state = match begins {
                    true => ReplicaState::Draining,
                    false => ReplicaState::Ready,
                };
                for replica in (0..self.scenario.replicas).step_by(2) {
                    self.put_row(replica, state);
                }
            }
            RoomPattern::ReplicasLost => {
                for index in 0..LOST_REPLICAS.min(self.scenario.replicas) {
                    let replica = &mut self.replicas[index];
                    replica.is_lost = begins;
                    replica.life += 1;
                    for call in replica.engine.clear() {
                        self.fail(call, ReplicaOutcome::Unreachable);
                    }
                }
            }
            _ => {}
        }
    }
}

/// Requests per second that one replica completes when all its slots are taken, by `podbor_engine` and the mean sizes.
const CAPACITY_PER_REPLICA: f64 = 9.8;

/// Duration of patterns that end.
pub(super) const TROUBLE_TIME: Duration = Duration::from_secs(6);
const LONG_BURST_TIME: Duration = Duration::from_secs(4);

/// Callers of this many seconds arrive at once in [`RoomPattern::AllReturn`].
const RETURNING_TIME: f64 = 0.5;

const LOST_REPLICAS: usize = 8;

/// Prompt tokens that requests share, the shortest long prompt and the longest prompt.
const SHARED_PROMPT: u32 = 40;
const LONG_PROMPT: u32 = 2500;
const MAX_PROMPT: u32 = 3880;

/// Requests with long prompts only that take the time of one usual request.
const LONG_REQUEST_FACTOR: f64 = 0.58;
