//! Emulation of entries that choose replicas for more requests than these can serve in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{
    ChoiceRequest, EngineProfile, EvacuationTable, HealthTable, LoadSample, LoadTable, LoadedModel,
    NoReplica, PlacementRule, Replica, ReplicaCatalog, ReplicaOutcome, ReplicaState, RequestSize,
    RowOrigin, StorePosition,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::batching_engine::{BatchedRequest, BatchingEngine, StreamEvent};
use crate::event_queue::EventQueue;
use crate::exchange_plan::ExchangePlan;
use crate::room_outcome::{RoomOutcome, RoomResult};
use crate::room_scenario::{PODBOR_KINDS, RoomScenario, RoomStrategy, podbor_engine};

mod patterns;

/// Entries in front of modelled engines.
#[derive(Debug)]
pub struct RoomSimulation {
    scenario: RoomScenario,
    strategy: RoomStrategy,
    profile: EngineProfile,
    random: StdRng,
    queue: EventQueue<RoomEvent>,
    start: Instant,
    plan: ExchangePlan,
    entries: Vec<RoomEntry>,
    replicas: Vec<RoomReplica>,
    catalog: ReplicaCatalog,
    row_version: u64,
    calls: Vec<RoomCall>,
}

#[derive(Debug)]
struct RoomEntry {
    zone: String,
    loads: LoadTable,
    health: HealthTable,
}

#[derive(Debug)]
struct RoomReplica {
    row: Replica,
    engine: BatchingEngine,
    is_lost: bool,
    /// Increased when the replica is lost, so that its steps end.
    life: u32,
}

#[derive(Debug)]
struct RoomCall {
    result: RoomResult,
    entry: usize,
    tried: Vec<String>,
    replica: usize,
    sent_at: Duration,
    predicted_ms: f64,
    last_event: Option<Duration>,
    is_paused: bool,
}

#[derive(Debug)]
enum RoomEvent {
    /// A request of a kind arrives and the next one is scheduled.
    Arrival(usize),
    /// A refused caller returns.
    Return(usize),
    /// A request reaches its replica.
    Delivery(usize),
    /// A step of a replica ends.
    Step(usize, u32),
    /// An entry takes a view of the load of all others, which it has a little later.
    Snapshot(usize),
    View(usize, BTreeMap<u64, LoadSample>),
    /// The pattern begins or ends.
    Trouble(bool),
}

impl RoomSimulation {
    /// Prepares an emulation with the given seed.
    pub fn new(scenario: RoomScenario, strategy: RoomStrategy, seed: u64) -> Self {
        let profile = podbor_engine();
        let plan = ExchangePlan::new(ZONES as u64, 0.0);
        let entry = |it| RoomEntry {
            zone: format!("z{}", plan.zone_of(it)),
            loads: LoadTable::default(),
            health: HealthTable::default(),
        };
        let replica = |it| RoomReplica {
            row: replica_row(it, &profile),
            engine: BatchingEngine::new(profile.clone()),
            is_lost: false,
            life: 0,
        };
        let mut simulation = Self {
            entries: (0..scenario.entries).map(entry).collect(),
            replicas: (0..scenario.replicas).map(replica).collect(),
            scenario,
            strategy,
            profile,
            random: StdRng::seed_from_u64(seed),
            queue: EventQueue::new(),
            start: Instant::now(),
            plan,
            catalog: ReplicaCatalog::default(),
            row_version: 0,
            calls: Vec::new(),
        };
        for replica in 0..scenario.replicas {
            simulation.put_row(replica, ReplicaState::Ready);
        }
        simulation
    }

    /// Runs the emulation.
    pub fn run(mut self) -> RoomOutcome {
        for kind in 0..PODBOR_KINDS.len() {
            self.queue
                .schedule(Duration::ZERO, RoomEvent::Arrival(kind));
        }
        for entry in 0..self.scenario.entries {
            let event = RoomEvent::Snapshot(entry);
            self.queue.schedule(VIEW_DELAY, event);
        }
        let start = RoomScenario::TROUBLE_START;
        self.queue.schedule(start, RoomEvent::Trouble(true));
        let end = start + patterns::TROUBLE_TIME;
        self.queue.schedule(end, RoomEvent::Trouble(false));
        // Requests that arrive near the end are served too.
        let end = self.scenario.duration + TIME_LIMIT;
        while let Some(event) = self.queue.next(end) {
            self.handle(event);
        }
        let results = self.calls.into_iter().map(|it| it.result);
        let is_counted = |it: &RoomResult| it.arrived >= WARM_UP;
        RoomOutcome {
            results: results.filter(is_counted).collect(),
        }
    }

    fn handle(&mut self, event: RoomEvent) {
        match event {
            RoomEvent::Arrival(kind) => {
                if self.queue.now() < self.scenario.duration {
                    let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate(kind);
                    let gap = Duration::from_secs_f64(gap);
                    self.queue.schedule(gap, RoomEvent::Arrival(kind));
                    self.arrive(kind);
                }
            }
            RoomEvent::Return(call) => {
                self.calls[call].entry = self.random.random_range(0..self.scenario.entries);
                self.dispatch(call);
            }
            RoomEvent::Delivery(call) => self.deliver(call),
            RoomEvent::Step(replica, life) if self.replicas[replica].life == life => {
                for event in self.replicas[replica].engine.end_step() {
                    self.receive(event);
                }
                self.begin_step(replica);
            }
            RoomEvent::Step(..) => {}
            RoomEvent::Snapshot(entry) => {
                let samples = self.others_of(entry);
                self.queue
                    .schedule(VIEW_DELAY, RoomEvent::View(entry, samples));
                let (min, max) = self.scenario.view_age_ms;
                let period = self.random.random_range(min..max);
                let period = Duration::from_millis(period);
                self.queue.schedule(period, RoomEvent::Snapshot(entry));
            }
            RoomEvent::View(entry, samples) => {
                let now = self.now();
                let loads = &mut self.entries[entry].loads;
                loads.update_zone("others", samples, now);
            }
            RoomEvent::Trouble(begins) => self.change_pattern(begins),
        }
    }

    /// Sends a request to a replica, or refuses it.
    fn dispatch(&mut self, call: usize) {
        let now = self.now();
        let call_id = call;
        let call = &mut self.calls[call];
        let kind = &PODBOR_KINDS[call.result.kind];
        let elapsed = self.queue.now() - call.result.arrived;
        let by_rank = self.strategy.max_first_event_ms[kind.rank];
        let max_first_event_ms = if !call.tried.is_empty() {
            TIME_LIMIT.saturating_sub(elapsed).as_secs_f64() * 1000.0
        } else if call.result.refusals > 0 {
            0.0
        } else {
            by_rank.min(kind.objective.as_secs_f64() * 1000.0 * MAX_OBJECTIVE_FRACTION)
        };
        let entry = &self.entries[call.entry];
        let request = ChoiceRequest {
            service: SERVICE,
            engine: Some(&self.profile),
            zone: &entry.zone,
            size: RequestSize {
                prompt_tokens: call.result.prompt_tokens,
                max_answer_tokens: kind.events * self.profile.steps_per_pass,
            },
            version_requirement: None,
            time_to_unknown_switch: None,
            placement: PlacementRule {
                regions: &BTreeMap::new(),
                route_homes: &[],
                tenant_homes: &[],
                evacuated: &EvacuationTable::default(),
            },
            tried: &call.tried,
            max_first_event_ms,
            tolerated_delay_ms: IDLE_DELAY_MS,
            random: self.random.random(),
            entries: self.scenario.entries,
            sample_rule: self.strategy.sample_rule,
            latest_start: None,
            is_resumable: true,
            turns: &BTreeMap::new(),
        };
        let chosen =
            fleet::choose_replica(&request, &self.catalog, &entry.loads, &entry.health, now);
        match chosen {
            Ok(chosen) => {
                let replica = self.replicas.iter();
                let mut replica = replica.map(|it| &it.row.id);
                call.replica = replica
                    .position(|it| *it == chosen.replica.id)
                    .expect("the catalog lists replicas of this emulation");
                call.sent_at = self.queue.now();
                call.predicted_ms = chosen.predicted_ms;
                let loads = &mut self.entries[call.entry].loads;
                loads.record_sent(&chosen.replica.id, call.result.prompt_tokens);
                self.queue
                    .schedule(SEND_DELAY, RoomEvent::Delivery(call_id));
            }
            Err(cause) => self.refuse(call_id, cause),
        }
    }

    /// Refuses a request, whose caller returns once if a third of its time allows.
    fn refuse(&mut self, call: usize, cause: NoReplica) {
        let range = match cause {
            NoReplica::Overloaded(_) => OVERLOAD_RETRY_MS,
            _ => OUTAGE_RETRY_MS,
        };
        let delay = Duration::from_millis(self.random.random_range(range.0..range.1));
        let result = &mut self.calls[call].result;
        result.refusals += 1;
        let left = TIME_LIMIT.saturating_sub(self.queue.now() - result.arrived);
        if result.refusals == 1 && delay <= left / 3 {
            self.calls[call].tried.clear();
            self.queue.schedule(delay, RoomEvent::Return(call));
        }
    }

    fn deliver(&mut self, call_id: usize) {
        let call = &self.calls[call_id];
        let kind = &PODBOR_KINDS[call.result.kind];
        let index = call.replica;
        let replica = &mut self.replicas[index];
        if replica.is_lost {
            return self.fail(call_id, ReplicaOutcome::Unreachable);
        }
        let is_admitted = replica.engine.admit(BatchedRequest {
            call: call_id,
            unread: call.result.prompt_tokens,
            context: call.result.prompt_tokens,
            written: 0,
            answer: kind.events * self.profile.steps_per_pass,
        });
        if !is_admitted {
            self.fail(call_id, ReplicaOutcome::Refused);
        } else if !replica.engine.is_busy() {
            self.begin_step(index);
        }
    }

    fn begin_step(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        if let Some(duration) = replica.engine.begin_step() {
            let event = RoomEvent::Step(index, replica.life);
            self.queue.schedule(duration, event);
        }
    }

    /// Ends an attempt without a response, and sends the request again once.
    fn fail(&mut self, call_id: usize, outcome: ReplicaOutcome) {
        let now = self.now();
        let call = &mut self.calls[call_id];
        let entry = &mut self.entries[call.entry];
        let id = &self.replicas[call.replica].row.id;
        let pending = match call.last_event {
            Some(_) => 0,
            None => call.result.prompt_tokens,
        };
        entry.loads.record_end(id, pending);
        entry.health.record_outcome(id, outcome, now);
        call.tried.push(id.clone());
        if call.tried.len() < MAX_ATTEMPTS {
            self.dispatch(call_id);
        } else {
            self.refuse(call_id, NoReplica::NoneUsable);
        }
    }

    /// Passes an event on to the caller.
    fn receive(&mut self, event: StreamEvent) {
        let now = self.now();
        let elapsed = self.queue.now();
        let call = &mut self.calls[event.call];
        let entry = &mut self.entries[call.entry];
        let id = &self.replicas[call.replica].row.id;
        if event.is_first {
            entry
                .loads
                .record_first_event(id, call.result.prompt_tokens);
            let observed = (elapsed - call.sent_at).as_secs_f64() * 1000.0;
            entry
                .health
                .record_first_event(id, observed, call.predicted_ms, now);
        }
        let kind = &PODBOR_KINDS[call.result.kind];
        let at_caller = elapsed + SEND_DELAY;
        let first_event = at_caller - call.result.arrived;
        call.result.first_event.get_or_insert(first_event);
        let pause = call.last_event.map(|it| at_caller - it);
        call.is_paused |= pause.is_some_and(|it| it > MAX_PAUSE);
        call.last_event = Some(at_caller);
        if !event.is_last {
            return;
        }
        entry.loads.record_end(id, 0);
        entry.health.record_outcome(id, ReplicaOutcome::Served, now);
        let is_first_late = call.result.first_event > Some(kind.objective);
        call.result.is_on_time = !is_first_late && !call.is_paused;
        call.result.earned = match call.result.is_on_time {
            true => 1.0,
            false if first_event <= TIME_LIMIT => kind.late_value / kind.value,
            false => 0.0,
        };
    }

    /// Lists a replica with `state` at all entries. One that becomes usable again has started again.
    fn put_row(&mut self, replica: usize, state: ReplicaState) {
        self.row_version += 1;
        let now = self.now();
        let origin = RowOrigin {
            position: StorePosition::new(0, self.row_version),
            from_copy: false,
            after_outage: false,
        };
        let row = &mut self.replicas[replica].row;
        row.state = state;
        if state == ReplicaState::Ready {
            row.started_ms = Some(self.row_version);
        }
        self.catalog.put(row.clone(), origin, now);
    }

    /// Returns the load that all entries but `entry` put on replicas.
    fn others_of(&self, entry: usize) -> BTreeMap<u64, LoadSample> {
        let mut sum = BTreeMap::<u64, LoadSample>::new();
        let others = self.entries.iter().enumerate();
        for (_, other) in others.filter(|it| it.0 != entry) {
            for (replica, sample) in other.loads.own_samples() {
                let total = sum.entry(replica).or_default();
                total.running += sample.running;
                total.pending_prefill_tokens += sample.pending_prefill_tokens;
            }
        }
        sum
    }

    fn now(&self) -> Instant {
        self.start + self.queue.now()
    }
}

fn replica_row(index: usize, profile: &EngineProfile) -> Replica {
    Replica {
        id: format!("r{index:02}"),
        address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
        service: SERVICE.to_owned(),
        zone: format!("z{}", index % ZONES),
        slots: profile.slots,
        state: ReplicaState::Ready,
        models: vec![LoadedModel {
            name: profile.model.clone(),
            version: 1,
        }],
        started_ms: None,
        cold_left: Duration::ZERO,
    }
}

const SERVICE: &str = "pool";
const ZONES: usize = 3;

/// Time that callers allow, and the longest pause between events of a stream that is on time.
const TIME_LIMIT: Duration = Duration::from_secs(6);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Requests that arrive earlier meet empty replicas and are not counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// Delay from an entry to a replica or back.
const SEND_DELAY: Duration = Duration::from_millis(2);

/// Age of the load of others when an entry learns of it.
const VIEW_DELAY: Duration = Duration::from_millis(50);

/// Values of the crate `ingress`: `request_handler` and `refusal`.
const MAX_OBJECTIVE_FRACTION: f64 = 0.95;
const IDLE_DELAY_MS: f64 = 100.0;
const OVERLOAD_RETRY_MS: (u64, u64) = (600, 1600);
const OUTAGE_RETRY_MS: (u64, u64) = (300, 900);
const MAX_ATTEMPTS: usize = 2;
