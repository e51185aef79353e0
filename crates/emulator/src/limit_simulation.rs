//! Emulates entries, replicas that name limits and datagrams in virtual time.

mod cold;
mod exchange;
mod faults;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routing::{LimitDigest, NamedLimit, RequestRate, TurnGrant};

use crate::cold_replicas::ColdReplicas;
use crate::entry_clock::EntryClock;
use crate::event_queue::EventQueue;
use crate::exchange_plan::{ExchangePlan, HEARTBEAT_INTERVAL};
use crate::limit_outcome::LimitOutcome;
use crate::limit_scenario::{EntryFault, LimitPolicy, LimitScenario};
use crate::limited_entry::LimitedEntry;
use crate::limited_replica::{LimitedReplica, WINDOW};

/// An emulation, which a seed determines.
pub struct LimitSimulation {
    scenario: LimitScenario,
    random: StdRng,
    /// Instant of the virtual time 0.
    epoch: Instant,
    queue: EventQueue<LimitEvent>,
    exchange: ExchangePlan,
    entries: Vec<LimitedEntry>,
    replicas: Vec<LimitedReplica>,
    /// Replicas that become cold.
    cold: ColdReplicas,
    /// Until when the first two zones do not reach each other.
    link_cut_until: Duration,
    end_known_at: Option<Duration>,
    outcome: LimitOutcome,
}

/// What happens at a virtual time.
#[derive(Debug)]
enum LimitEvent {
    Request,
    /// The agent on the host of a replica requests its report.
    Report {
        replica: usize,
    },
    SetLimits,
    EndLimits,
    Fault,
    /// A request arrives at a replica.
    Arrival {
        replica: usize,
        entry: usize,
        sent_at: Duration,
    },
    /// The head of a response arrives at an entry.
    Head {
        replica: usize,
        entry: usize,
        named: NamedLimit,
        sent_at: Duration,
    },
    Heartbeats,
    Reports,
    Received {
        entry: usize,
        from: usize,
        digest: Option<Box<LimitDigest>>,
        /// Entries that the sender of a report considers alive.
        roster: Vec<usize>,
        relay: bool,
    },
    ColdPhase,
    /// The connection of a request to a cold replica is open.
    ColdSend {
        replica: usize,
        entry: usize,
        grant: TurnGrant,
    },
    ColdArrival {
        replica: usize,
    },
}

impl LimitSimulation {
    /// Creates an emulation of `scenario`.
    pub fn new(scenario: LimitScenario, seed: u64) -> Self {
        let epoch = Instant::now() + Duration::from_secs(36_000);
        let mut random = StdRng::seed_from_u64(seed);
        let clocks: Vec<EntryClock> = (0..scenario.entries)
            .map(|_| Self::new_clock(&scenario, &mut random))
            .collect();
        let limited = match scenario.cold {
            Some(_) => 0,
            None => scenario.limited,
        };
        Self {
            scenario,
            random,
            epoch,
            queue: EventQueue::new(),
            exchange: ExchangePlan::new(scenario.zones, scenario.loss),
            entries: clocks
                .into_iter()
                .enumerate()
                .map(|(index, it)| LimitedEntry::new(index, Duration::ZERO, epoch, it))
                .collect(),
            replicas: (0..limited).map(LimitedReplica::new).collect(),
            cold: match scenario.cold {
                Some(cold) => ColdReplicas::new(scenario.limited, cold.bound.requests_per_second),
                None => ColdReplicas::new(0, 0.0),
            },
            link_cut_until: Duration::ZERO,
            end_known_at: None,
            outcome: LimitOutcome::default(),
        }
    }

    /// Runs the emulation to its end.
    pub fn run(mut self) -> LimitOutcome {
        self.queue.schedule(Duration::ZERO, LimitEvent::Request);
        self.queue
            .schedule(HEARTBEAT_INTERVAL, LimitEvent::Heartbeats);
        let interval = self.exchange.report_interval();
        self.queue.schedule(interval, LimitEvent::Reports);
        match self.scenario.cold {
            Some(cold) => self.queue.schedule(cold.first_at, LimitEvent::ColdPhase),
            None => self.queue.schedule(LIMITED_FROM, LimitEvent::SetLimits),
        }
        if let Some(end) = self.scenario.ends_at {
            self.queue.schedule(end, LimitEvent::EndLimits);
        }
        if self.scenario.fault != EntryFault::None {
            self.queue.schedule(FAULTS_FROM, LimitEvent::Fault);
        }
        for replica in 0..self.replicas.len() {
            let delay = self.report_interval().mul_f64(self.random.random());
            let event = LimitEvent::Report { replica };
            self.queue.schedule(LIMITED_FROM + delay, event);
        }
        while let Some(event) = self.queue.next(self.scenario.duration) {
            self.handle(event);
        }
        self.summarize()
    }

    fn handle(&mut self, event: LimitEvent) {
        match event {
            LimitEvent::Request => {
                let pause = 1.0 / self.offered_rate();
                let pause = Duration::from_secs_f64(pause * self.random.random_range(0.0..2.0));
                self.queue.schedule(pause, LimitEvent::Request);
                let entry = self.random.random_range(0..self.entries.len());
                match self.scenario.cold {
                    Some(cold) => self.receive_cold_request(entry, cold),
                    None => self.receive_request(entry),
                }
            }
            LimitEvent::Report { replica } => {
                let now = self.queue.now();
                self.replicas[replica].record_call(now);
                let event = LimitEvent::Report { replica };
                self.queue.schedule(self.report_interval(), event);
            }
            LimitEvent::SetLimits => self.set_limits(),
            LimitEvent::EndLimits => {
                let now = self.queue.now();
                for replica in &mut self.replicas {
                    replica.set_limit(now, None);
                }
            }
            LimitEvent::Fault => self.begin_fault(),
            LimitEvent::Arrival {
                replica,
                entry,
                sent_at,
            } => {
                let now = self.queue.now();
                self.replicas[replica].record_call(now);
                let wait = Duration::from_millis(self.random.random_range(20..300));
                let named = self.replicas[replica].respond(now + wait);
                let event = LimitEvent::Head {
                    replica,
                    entry,
                    named,
                    sent_at,
                };
                self.queue.schedule(wait, event);
            }
            LimitEvent::Head {
                replica,
                entry,
                named,
                sent_at,
            } => self.receive_head(replica, entry, named, sent_at),
            LimitEvent::Heartbeats => self.send_heartbeats(),
            LimitEvent::Reports => self.send_reports(),
            LimitEvent::Received {
                entry,
                from,
                digest,
                roster,
                relay,
            } => self.receive_message(entry, from, digest, &roster, relay),
            LimitEvent::ColdPhase => self.begin_cold_phase(),
            LimitEvent::ColdSend {
                replica,
                entry,
                grant,
            } => self.send_to_cold(replica, entry, grant),
            LimitEvent::ColdArrival { replica } => {
                let now = self.queue.now();
                self.cold.record_call(replica, now);
            }
        }
    }

    fn set_limits(&mut self) {
        let now = self.queue.now();
        if self.scenario.ends_at.is_some_and(|it| now >= it) {
            return;
        }
        for index in 0..self.replicas.len() {
            let factor = if self.scenario.changes {
                self.random.random_range(0.5..1.5)
            } else {
                1.0
            };
            let limit = self.scenario.limit * factor;
            self.replicas[index].set_limit(now, Some(limit));
        }
        if self.scenario.changes {
            self.queue.schedule(CHANGE_INTERVAL, LimitEvent::SetLimits);
        }
    }

    /// Sends a request to a limited replica if the entry may, as there is always demand for it. Others would take it
    /// otherwise, if there are any.
    fn receive_request(&mut self, entry: usize) {
        let (now, instant) = (self.queue.now(), self.instant(entry));
        self.outcome.requests += 1;
        if !self.entries[entry].is_serving(now) {
            return;
        }
        let first = self.random.random_range(0..self.replicas.len());
        let count = self.entries.len();
        let state = &mut self.entries[entry];
        let order = (0..self.replicas.len()).map(|it| first + it);
        let mut order = order.map(|it| it % self.replicas.len());
        let chosen = order.find(|index| {
            let id = self.replicas[*index].id;
            match self.scenario.policy {
                LimitPolicy::SharedTurns => state.table.take_turn(instant, id),
                LimitPolicy::Ignored => true,
                policy => state.take_own_share(now, id, policy, count),
            }
        });
        let Some(replica) = chosen else {
            let has_others = self.scenario.limited < self.scenario.replicas;
            self.outcome.refused += u64::from(!has_others);
            return;
        };
        let event = LimitEvent::Arrival {
            replica,
            entry,
            sent_at: now,
        };
        let delay = Duration::from_millis(self.random.random_range(1..15));
        self.queue.schedule(delay, event);
    }

    fn receive_head(&mut self, replica: usize, entry: usize, named: NamedLimit, sent_at: Duration) {
        let (now, instant) = (self.queue.now(), self.instant(entry));
        let id = self.replicas[replica].id;
        let sent_at = self.epoch + sent_at;
        let state = &mut self.entries[entry];
        if state.is_frozen(now) {
            return;
        }
        state.record_for_baseline(now, id, named);
        let change = state.table.record_head(instant, id, named, sent_at);
        if change.is_some() {
            state.record_news();
            self.note_end();
        }
    }

    /// Notes when all entries have learned that the limits have ended.
    fn note_end(&mut self) {
        let has_ended = self
            .scenario
            .ends_at
            .is_some_and(|it| self.queue.now() > it);
        if has_ended && self.entries.iter().all(|it| it.table.is_empty()) {
            self.end_known_at.get_or_insert(self.queue.now());
        }
    }

    fn summarize(mut self) -> LimitOutcome {
        let end = self.scenario.duration;
        self.cold.end_phase(end);
        self.outcome.cold = self.cold.outcome;
        let (mut used, mut allowed) = (0.0, 0.0);
        let mut most = f64::NEG_INFINITY;
        let mut early = f64::NEG_INFINITY;
        let window = WINDOW.as_secs_f64();
        for replica in &self.replicas {
            let Some(named_at) = replica.named_at else {
                continue;
            };
            let from = named_at + CONTACT_TIME;
            most = most.max(replica.most_beyond(from, |mean| window * mean));
            let rule = |mean| 1.5 * window * mean + 5.0;
            early = early.max(replica.most_beyond(named_at + EARLY_TIME, rule));
            let usage = replica.usage(from, end);
            used += usage.0;
            allowed += usage.1;
        }
        self.outcome.most_beyond = most;
        self.outcome.early_beyond_rule = early;
        self.outcome.share_used = used / f64::max(allowed, f64::EPSILON);
        let ends = self.replicas.iter().filter_map(|it| it.end_named_at);
        let ends: Vec<Duration> = ends.collect();
        if let (Some(ended_at), Some(last)) = (self.scenario.ends_at, ends.iter().max()) {
            let total: Duration = ends.iter().map(|it| *it - ended_at).sum();
            self.outcome.end_found_after = Some(total / u32::try_from(ends.len()).unwrap_or(1));
            let known_at = self.end_known_at;
            self.outcome.end_known_after = known_at.map(|it| it.saturating_sub(*last));
        }
        self.outcome
    }

    /// Returns the interval at which the agent of a limited replica requests its report.
    fn report_interval(&self) -> Duration {
        let limit = (self.scenario.limit * 1000.0).round();
        RequestRate::per_kilosecond(limit as u32).report_interval()
    }

    /// Returns what the clock of `entry` shows.
    fn instant(&self, entry: usize) -> Instant {
        self.epoch + self.entries[entry].clock.since_boot(self.queue.now())
    }
}

/// When replicas begin to name limits: after all entries have met.
const LIMITED_FROM: Duration = Duration::from_secs(5);

/// Time of the first fault of an entry.
const FAULTS_FROM: Duration = Duration::from_secs(9);

/// Interval of changes of limits.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the first response with a limit from which on all entries keep it, and from which on the users' rule
/// holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const EARLY_TIME: Duration = Duration::from_secs(1);
