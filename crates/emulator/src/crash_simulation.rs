//! Emulates entries, replicas and datagrams in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use routing::{
    CrashConclusion, CrashDigest, CrashId, DigestSource, PartAdmission, PartChange, PartId, PoolId,
};

use crate::crash_outcome::CrashOutcome;
use crate::crash_scenario::CrashScenario;
use crate::simulated_entry::SimulatedEntry;
use crate::simulated_pool::{RunningRequest, SimulatedPool};

/// An emulation, which a seed determines.
pub struct CrashSimulation {
    scenario: CrashScenario,
    random: StdRng,
    /// Instant of the virtual time 0.
    epoch: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    event_count: u64,
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

/// A request of a client.
#[derive(Clone, Debug)]
struct SimulatedRequest {
    entry: usize,
    parts: Vec<PartId>,
    guilty: Option<u64>,
    attempts: u32,
    trial: Option<PartId>,
}

#[derive(Clone, Debug)]
enum SimulationEvent {
    SoundRequest,
    GuiltyRequest(u64),
    Accident {
        replicas: usize,
    },
    /// The replica begins to respond.
    Begin {
        replica: usize,
        life: u64,
        request: u64,
    },
    /// The start of the response was survived.
    Survived {
        replica: usize,
        life: u64,
        request: u64,
    },
    End {
        replica: usize,
        life: u64,
        request: u64,
    },
    /// An entry notices that a replica has ended.
    Noticed {
        entry: usize,
        crash: CrashId,
        parts: Vec<PartId>,
        lost: Vec<u64>,
    },
    Heartbeats,
    Reports,
    Received {
        entry: usize,
        digest: Box<CrashDigest>,
        source: DigestSource,
        relay: bool,
    },
}

impl CrashSimulation {
    /// Creates an emulation of `scenario`.
    pub fn new(scenario: CrashScenario, seed: u64) -> Self {
        let entries = (0..scenario.entries).map(|it| SimulatedEntry::new(it, scenario.zones));
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            // Ages must not reach before the start of the clock.
            epoch: Instant::now() + Duration::from_secs(36_000),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
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
        self.schedule(Duration::ZERO, SimulationEvent::SoundRequest);
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::Heartbeats);
        self.schedule(self.report_interval(), SimulationEvent::Reports);
        for part in 0..self.scenario.guilty_parts {
            self.schedule(GUILTY_FROM, SimulationEvent::GuiltyRequest(part));
        }
        let accidents = (self.scenario.accident_share * self.scenario.replicas as f64).round();
        let accidents = accidents as usize;
        if accidents > 0 {
            self.schedule(
                ACCIDENT_AT,
                SimulationEvent::Accident {
                    replicas: accidents,
                },
            );
        }
        for index in 0..accidents.min(MAX_SERIES) {
            let delay = ACCIDENT_INTERVAL * u32::try_from(index + 1).unwrap_or(u32::MAX);
            self.schedule(SERIES_AT + delay, SimulationEvent::Accident { replicas: 1 });
        }
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > self.scenario.duration {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.sound_parts_held = self.held_sound.len() as u64;
        self.outcome
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SoundRequest => {
                let parts = self.sound_parts();
                self.receive(parts, None);
                let pause = 1.0 / self.scenario.requests_per_second as f64;
                let pause = Duration::from_secs_f64(pause * self.random.random_range(0.0..2.0));
                self.schedule(pause, SimulationEvent::SoundRequest);
            }
            SimulationEvent::GuiltyRequest(part) => {
                let parts = self.guilty_parts(part);
                self.receive(parts, Some(part));
                let pause = 1.0 / self.scenario.guilty_per_second as f64;
                let pause = Duration::from_secs_f64(pause * self.random.random_range(0.0..2.0));
                self.schedule(pause, SimulationEvent::GuiltyRequest(part));
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
                    let peers = self.peers_of(entry);
                    self.send(&peers, &digest, source, false);
                }
            }
        }
    }

    /// Parts of a sound request: one of the first parts, mostly one that requests share, and often a further one.
    fn sound_parts(&mut self) -> Vec<PartId> {
        let first = self.random.random_range(0..FIRST_PARTS);
        let middle = self.random.random_range(0..MIDDLE_PARTS);
        let mut parts = vec![part_id(first)];
        if self.random.random_bool(0.5) {
            parts.push(part_id(FIRST_PARTS + middle));
        }
        parts
    }

    /// Parts of a request with a guilty part, which share the others with sound requests.
    fn guilty_parts(&mut self, guilty: u64) -> Vec<PartId> {
        let guilty = part_id(GUILTY_PARTS + guilty);
        let mut parts = vec![part_id(self.random.random_range(0..GUILTY_FIRST_PARTS))];
        let middle = FIRST_PARTS + self.random.random_range(0..MIDDLE_PARTS);
        parts.push(part_id(middle));
        let position = self.random.random_range(0..=parts.len());
        parts.insert(position, guilty);
        parts
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
        if !entry.table.try_begin_trial(now, part) {
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
        self.schedule(
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
                self.schedule(
                    START_TIME,
                    SimulationEvent::Survived {
                        replica,
                        life,
                        request: id,
                    },
                );
                let time = Duration::from_millis(self.random.random_range(500..2000));
                self.schedule(
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
        let crash = CrashId::new(&replica.to_string(), Some(self.pool.replicas[replica].life));
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
            self.schedule(
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

    fn notice(&mut self, entry: usize, crash: CrashId, parts: &[PartId], lost: Vec<u64>) {
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

    fn send_heartbeats(&mut self) {
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::Heartbeats);
        let now = self.instant();
        for entry in 0..self.entries.len() {
            let replicas = self.scenario.replicas;
            let state = &mut self.entries[entry];
            if state.table.is_unsettled() {
                let conclusions = state.conclude(now, replicas);
                self.note(entry, &conclusions);
            }
            let state = &mut self.entries[entry];
            if !state.to_zone.is_due(now) {
                continue;
            }
            state.to_zone.record_sent(now);
            let digest = state.table.own_digest(now);
            if !digest.is_empty() {
                let peers = self.peers_of(entry);
                self.send(&peers, &digest, DigestSource::Entry, false);
            }
        }
    }

    fn send_reports(&mut self) {
        self.schedule(self.report_interval(), SimulationEvent::Reports);
        let now = self.instant();
        let zones = self.scenario.zones;
        for zone in 0..zones {
            // Entries are numbered by zone in turn, so the first one of a zone has its number.
            let reporter = zone as usize;
            let state = &mut self.entries[reporter];
            if !state.to_others.is_due(now) {
                continue;
            }
            state.to_others.record_sent(now);
            let digest = state.table.zone_digest(now, &zone.to_string());
            if digest.is_empty() {
                continue;
            }
            let others = (0..zones).filter(|it| *it != zone);
            let targets = others.flat_map(|it| [it, it + zones]);
            let targets = targets.map(|it| it as usize);
            let targets: Vec<usize> = targets.filter(|it| *it < self.entries.len()).collect();
            self.send(&targets, &digest, DigestSource::Zone, true);
        }
    }

    fn send(&mut self, targets: &[usize], digest: &CrashDigest, source: DigestSource, relay: bool) {
        let bytes = postcard::to_allocvec(digest).map_or(0, |it| it.len());
        for target in targets {
            self.outcome.datagrams += 1;
            self.outcome.bytes += bytes as u64;
            if self.random.random_bool(self.scenario.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..8));
            // Only the first entry of a zone passes reports on.
            let relay = relay && (*target as u64) < self.scenario.zones;
            let digest = Box::new(digest.clone());
            let event = SimulationEvent::Received {
                entry: *target,
                digest,
                source,
                relay,
            };
            self.schedule(delay, event);
        }
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

    fn peers_of(&self, entry: usize) -> Vec<usize> {
        let zone = self.entries[entry].zone;
        let peers = (0..self.entries.len()).filter(|it| *it != entry);
        peers.filter(|it| self.entries[*it].zone == zone).collect()
    }

    /// Returns the interval of reports, which grows with the number of zones.
    fn report_interval(&self) -> Duration {
        let scale = (self.scenario.zones - 1).div_ceil(ZONES_AT_MIN_INTERVAL);
        REPORT_INTERVAL * u32::try_from(scale.max(1)).unwrap_or(u32::MAX)
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.event_count += 1;
        self.queue
            .push(Reverse((self.now + delay, self.event_count)));
        self.events.insert(self.event_count, event);
    }
}

fn pool_id() -> PoolId {
    PoolId::new("pool")
}

fn part_id(digest: u64) -> PartId {
    PartId {
        pool: pool_id(),
        digest,
    }
}

/// Number of first parts of sound requests; the platform's sheets have as many.
const FIRST_PARTS: u64 = 180;

/// Number of further parts of sound requests.
const MIDDLE_PARTS: u64 = 400;

/// Number of first parts that guilty requests share with sound ones.
const GUILTY_FIRST_PARTS: u64 = 3;

/// Digest of the first guilty part.
const GUILTY_PARTS: u64 = 1_000_000;

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

/// Interval of heartbeats under load, and of reports between zones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of other zones up to which reports are sent at this interval.
const ZONES_AT_MIN_INTERVAL: u64 = 5;
