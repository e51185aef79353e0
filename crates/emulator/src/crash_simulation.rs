//! Emulates entries, replicas and datagrams in virtual time.

mod exchange;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routing::{
    CrashConclusion, CrashDigest, DigestSource, LifetimeId, PartAdmission, PartChange, PartId,
};

use crate::crash_outcome::CrashOutcome;
use crate::crash_scenario::CrashScenario;
use crate::event_queue::EventQueue;
use crate::exchange_plan::{ExchangePlan, HEARTBEAT_INTERVAL};
use crate::simulated_entry::SimulatedEntry;
use crate::simulated_pool::{RunningRequest, SimulatedPool};
use crate::simulated_traffic::{self, GUILTY_PARTS, part_id, pool_id};
use crate::simulation_event::{SimulatedRequest, SimulationEvent};

/// An emulation, which a seed determines.
pub struct CrashSimulation {
    scenario: CrashScenario,
    random: StdRng,
    /// Instant of the virtual time 0.
    epoch: Instant,
    now: Duration,
    queue: EventQueue<SimulationEvent>,
    exchange: ExchangePlan,
    entries: Vec<SimulatedEntry>,
    pool: SimulatedPool,
    requests: BTreeMap<u64, SimulatedRequest>,
    request_count: u64,
    /// Times of the crashes by guilty part.
    guilty_crashes: BTreeMap<u64, Vec<Duration>>,
    /// Guilty parts by the entries that refuse them.
    holders: BTreeMap<u64, BTreeSet<usize>>,
    held_sound: BTreeSet<u64>,
    outcome: CrashOutcome,
}

impl CrashSimulation {
    /// Creates an emulation of `scenario`.
    pub fn new(scenario: CrashScenario, seed: u64) -> Self {
        let entries = (0..scenario.entries).map(SimulatedEntry::new);
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            // Ages must not reach before the start of the clock.
            epoch: Instant::now() + Duration::from_secs(36_000),
            now: Duration::ZERO,
            queue: EventQueue::new(),
            exchange: ExchangePlan::new(scenario.zones, scenario.loss),
            entries: entries.collect(),
            pool: SimulatedPool::new(scenario.replicas),
            requests: BTreeMap::new(),
            request_count: 0,
            guilty_crashes: BTreeMap::new(),
            holders: BTreeMap::new(),
            held_sound: BTreeSet::new(),
            outcome: CrashOutcome::default(),
        }
    }

    /// Runs the emulation to its end.
    pub fn run(mut self) -> CrashOutcome {
        self.queue
            .schedule(Duration::ZERO, SimulationEvent::SoundRequest);
        self.queue
            .schedule(HEARTBEAT_INTERVAL, SimulationEvent::Heartbeats);
        self.queue
            .schedule(self.exchange.report_interval(), SimulationEvent::Reports);
        for part in 0..self.scenario.guilty_parts {
            self.queue
                .schedule(GUILTY_FROM, SimulationEvent::GuiltyRequest(part));
        }
        let accidents = (self.scenario.accident_share * self.scenario.replicas as f64).round();
        let accidents = accidents as usize;
        if accidents > 0 {
            self.queue.schedule(
                ACCIDENT_AT,
                SimulationEvent::Accident {
                    replicas: accidents,
                },
            );
        }
        for index in 0..accidents.min(MAX_SERIES) {
            let delay = ACCIDENT_INTERVAL * u32::try_from(index + 1).unwrap_or(u32::MAX);
            self.queue
                .schedule(SERIES_AT + delay, SimulationEvent::Accident { replicas: 1 });
        }
        while let Some(event) = self.queue.next(self.scenario.duration) {
            self.now = self.queue.now();
            self.handle(event);
        }
        self.outcome.sound_parts_held = self.held_sound.len() as u64;
        self.outcome
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SoundRequest => {
                let parts = simulated_traffic::sound_parts(&mut self.random);
                self.receive(parts, None);
                let pause = 1.0 / self.scenario.requests_per_second as f64;
                let pause = Duration::from_secs_f64(pause * self.random.random_range(0.0..2.0));
                self.queue.schedule(pause, SimulationEvent::SoundRequest);
            }
            SimulationEvent::GuiltyRequest(part) => {
                let parts = simulated_traffic::guilty_parts(part, &mut self.random);
                self.receive(parts, Some(part));
                let pause = 1.0 / self.scenario.guilty_per_second as f64;
                let pause = Duration::from_secs_f64(pause * self.random.random_range(0.0..2.0));
                self.queue
                    .schedule(pause, SimulationEvent::GuiltyRequest(part));
            }
            SimulationEvent::Accident { replicas } => {
                for _ in 0..replicas {
                    if let Some(replica) = self.pool.choose(self.now, &mut self.random) {
                        self.outcome.accidents += 1;
                        self.crash(replica);
                    }
                }
            }
            SimulationEvent::Begin {
                replica,
                life,
                request,
            } => self.begin(replica, life, request),
            SimulationEvent::Survived {
                replica,
                life,
                request,
            } => self.survive(replica, life, request),
            SimulationEvent::End {
                replica,
                life,
                request,
            } => {
                if self.pool.replicas[replica].life == life {
                    self.pool.remove(replica, request);
                    self.finish(request);
                }
            }
            SimulationEvent::Noticed {
                entry,
                crash,
                parts,
                lost,
            } => self.notice(entry, crash, &parts, lost),
            SimulationEvent::Heartbeats => self.send_heartbeats(),
            SimulationEvent::Reports => self.send_reports(),
            SimulationEvent::Received {
                entry,
                digest,
                source,
                relay,
            } => {
                self.merge(entry, &digest, source);
                if relay {
                    let peers = self.exchange.peers_of(entry, self.entries.len());
                    self.send(&peers, &digest, source, false);
                }
            }
        }
    }

    fn receive(&mut self, parts: Vec<PartId>, guilty: Option<u64>) {
        let entry = self.random.random_range(0..self.entries.len());
        self.outcome.sound += u64::from(guilty.is_none());
        let mut request = SimulatedRequest {
            entry,
            parts,
            guilty,
            attempts: 0,
            trial: None,
        };
        if self.scenario.is_guarded && !self.admit(&mut request) {
            self.outcome.sound_refused += u64::from(guilty.is_none());
            return;
        }
        self.request_count += 1;
        let id = self.request_count;
        self.requests.insert(id, request);
        self.send_to_replica(id);
    }

    /// Decides as an entry does.
    fn admit(&mut self, request: &mut SimulatedRequest) -> bool {
        let now = self.instant();
        let entry = &self.entries[request.entry];
        let part = match entry.table.admission(now, &request.parts, Some(1)) {
            PartAdmission::Clear => return true,
            PartAdmission::Held(..) => return false,
            PartAdmission::Suspected(part) => part,
            PartAdmission::TrialDue(_) => return false,
        };
        let entry = &mut self.entries[request.entry];
        if !entry.table.try_begin_trial(now, part, self.request_count) {
            return false;
        }
        entry.to_zone.record_change();
        entry.to_others.record_change();
        request.trial = Some(part);
        true
    }

    fn send_to_replica(&mut self, id: u64) {
        let Some(replica) = self.pool.choose(self.now, &mut self.random) else {
            self.finish(id);
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        if let Some(guilty) = request.guilty {
            let fifth = self.guilty_crashes.get(&guilty).and_then(|it| it.get(4));
            let is_late = fifth.is_some_and(|it| self.now > *it + CONTACT_TIME);
            self.outcome.late_guilty += u64::from(is_late);
        }
        let wait = Duration::from_millis(self.random.random_range(40..400));
        let life = self.pool.replicas[replica].life;
        let running = RunningRequest {
            id,
            entry: request.entry,
            begins_at: self.now + wait,
        };
        self.pool.replicas[replica].running.push(running);
        self.queue.schedule(
            wait,
            SimulationEvent::Begin {
                replica,
                life,
                request: id,
            },
        );
    }

    fn begin(&mut self, replica: usize, life: u64, id: u64) {
        if self.pool.replicas[replica].life != life {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        // A request that is held back meanwhile is withdrawn.
        let entry = &self.entries[request.entry];
        if self.scenario.is_guarded
            && request.trial.is_none()
            && entry.table.is_held(&request.parts)
        {
            self.pool.remove(replica, id);
            self.finish(id);
            return;
        }
        match request.guilty {
            Some(guilty) => {
                self.guilty_crashes
                    .entry(guilty)
                    .or_default()
                    .push(self.now);
                self.outcome.crashes += 1;
                self.crash(replica);
            }
            None => {
                self.outcome.sound_first_attempt += u64::from(request.attempts == 1);
                self.queue.schedule(
                    START_TIME,
                    SimulationEvent::Survived {
                        replica,
                        life,
                        request: id,
                    },
                );
                let time = Duration::from_millis(self.random.random_range(500..2000));
                self.queue.schedule(
                    time,
                    SimulationEvent::End {
                        replica,
                        life,
                        request: id,
                    },
                );
            }
        }
    }

    fn survive(&mut self, replica: usize, life: u64, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.pool.replicas[replica].life != life {
            return;
        }
        let (entry, parts, trial) = (request.entry, request.parts.clone(), request.trial);
        let (now, replicas) = (self.instant(), self.scenario.replicas);
        let state = &mut self.entries[entry];
        state.table.record_survival(now - START_TIME, &parts);
        if let Some(part) = trial {
            state.table.release(now, part);
            let conclusions = state.handle_news(now, replicas);
            self.note(entry, &conclusions);
        }
    }

    fn crash(&mut self, replica: usize) {
        let crash = LifetimeId::new(&replica.to_string(), Some(self.pool.replicas[replica].life));
        let lost = self.pool.crash(replica, self.now);
        let mut by_entry: BTreeMap<usize, Vec<RunningRequest>> = BTreeMap::new();
        for request in lost {
            by_entry.entry(request.entry).or_default().push(request);
        }
        for (entry, lost) in by_entry {
            let starting = lost
                .iter()
                .filter(|it| it.begins_at + START_TIME > self.now);
            let requests = starting.filter_map(|it| self.requests.get(&it.id));
            let parts = requests.flat_map(|it| it.parts.iter().copied()).collect();
            let lost = lost.iter().map(|it| it.id).collect();
            let delay = Duration::from_millis(self.random.random_range(5..20));
            self.queue.schedule(
                delay,
                SimulationEvent::Noticed {
                    entry,
                    crash,
                    parts,
                    lost,
                },
            );
        }
    }

    fn notice(&mut self, entry: usize, crash: LifetimeId, parts: &[PartId], lost: Vec<u64>) {
        let (now, replicas) = (self.instant(), self.scenario.replicas);
        if self.scenario.is_guarded {
            let state = &mut self.entries[entry];
            state.table.record_crash(now, crash, pool_id(), parts);
            let conclusions = state.handle_news(now, replicas);
            self.note(entry, &conclusions);
        }
        for id in lost {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let table = &self.entries[entry].table;
            let may_retry = !self.scenario.is_guarded || table.may_retry(&request.parts);
            if request.attempts < MAX_ATTEMPTS && may_retry {
                self.send_to_replica(id);
            } else {
                self.finish(id);
            }
        }
    }

    fn finish(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    fn merge(&mut self, entry: usize, digest: &CrashDigest, source: DigestSource) {
        let (now, replicas) = (self.instant(), self.scenario.replicas);
        let conclusions = self.entries[entry].merge(now, digest, source, replicas);
        self.note(entry, &conclusions);
        for guilty in 0..self.scenario.guilty_parts {
            let part = part_id(GUILTY_PARTS + guilty);
            if self.entries[entry].table.is_held(&[part]) {
                self.note_hold(entry, part);
            }
        }
    }

    fn note(&mut self, entry: usize, conclusions: &[CrashConclusion]) {
        let held = conclusions
            .iter()
            .filter(|it| it.change == PartChange::Held);
        for part in held.map(|it| it.part).collect::<Vec<_>>() {
            self.note_hold(entry, part);
        }
    }

    fn note_hold(&mut self, entry: usize, part: PartId) {
        let Some(guilty) = part.digest.checked_sub(GUILTY_PARTS) else {
            self.held_sound.insert(part.digest);
            return;
        };
        let holders = self.holders.entry(guilty).or_default();
        let is_new = holders.insert(entry);
        if is_new && holders.len() == self.entries.len() {
            let crashes = self.guilty_crashes.get(&guilty);
            let fifth = crashes.and_then(|it| it.get(4).or(it.last()));
            let after = self.now.saturating_sub(fifth.copied().unwrap_or_default());
            let longest = self.outcome.agreed_after.unwrap_or_default();
            self.outcome.agreed_after = Some(longest.max(after));
        }
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }
}

/// Time of the first guilty request.
const GUILTY_FROM: Duration = Duration::from_secs(6);

/// Time of a crash of many replicas at one moment.
const ACCIDENT_AT: Duration = Duration::from_secs(2);

/// Time and interval of a series of crashes.
const SERIES_AT: Duration = Duration::from_millis(3500);
const ACCIDENT_INTERVAL: Duration = Duration::from_millis(300);
const MAX_SERIES: usize = 11;

/// Time from the beginning of a response until its start counts as survived.
const START_TIME: Duration = Duration::from_millis(300);

/// Time after the fifth crash within which all entries must refuse the part.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Maximum number of replicas that a request is sent to.
const MAX_ATTEMPTS: u32 = 2;
