//! Load and fault phases of the benchmark, all on one fleet.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use standin::{
    CallOutcome, EngineFaults, EngineOptions, FleetPlan, LoadGenerator, LoadOrganisation, LoadPlan,
    LoadReport, ObservedRuns, ProcessFleet, TargetPlan,
};

use crate::bench_requests::load_phase::LoadPhase;
use crate::bench_requests::request_report::RequestReport;

/// A running fleet and the results of the phases so far.
pub(crate) struct RequestBench {
    fleet: ProcessFleet,
    report: RequestReport,
    /// Report of the load generator for each phase.
    load_reports: Vec<LoadReport>,
    /// Seed of the previous load plan; each plan uses the next number.
    seed: u64,
    /// Number of commands issued so far, used for unique command ids.
    command_count: u32,
}

impl RequestBench {
    /// Starts three zones with one entry and four engines each, close to the ratio in the users' fleet, and two order
    /// services.
    pub(crate) fn start(binary: PathBuf, dir: PathBuf) -> anyhow::Result<Self> {
        let mut plan = FleetPlan::uniform(binary, dir, ZONES, ENGINES_PER_ZONE);
        plan.weight_bytes = 1 << 20;
        plan.organisations = std::iter::once(LARGE.to_owned())
            .chain((1..=SMALL_COUNT).map(small_organisation))
            .collect();
        for agent in &mut plan.agents {
            agent.target = TargetPlan::Engine(EngineOptions {
                token_interval: TOKEN_INTERVAL,
                batch_slowdown: BATCH_SLOWDOWN,
                max_batch: MAX_BATCH,
                ..EngineOptions::default()
            });
        }
        plan.add_service("orders-1", "orders", 0);
        plan.add_service("orders-2", "orders", 1);
        let targets = plan.agents.len();
        let fleet = ProcessFleet::start(plan)?;
        fleet.command_until_accepted("entry-1", "rollout demo v1", "rollout-1", START_TIMEOUT)?;
        fleet.wait_for("open targets", START_TIMEOUT, |it| {
            (it.all_engines_serve("v1", &[]) && it.entries_see_targets(targets)).then_some(())
        })?;
        Ok(Self {
            fleet,
            report: RequestReport::default(),
            load_reports: Vec::new(),
            seed: 0,
            command_count: 0,
        })
    }

    /// Raises the load in steps from half to three times the capacity.
    pub(crate) fn run_load_steps(&mut self) -> anyhow::Result<()> {
        self.run_phase("warm up", 0.5, PHASE_TIME, |_| Ok(()))?;
        for load in LOAD_STEPS {
            if load == 2.0 {
                // The overload state of the previous step must have ended, so that its next start can be measured.
                std::thread::sleep(OVERLOAD_RECOVERY_TIME);
            }
            let name = format!("step {load}");
            let begin = Instant::now();
            let mut overloaded_at = None;
            self.run_phase(&name, load, PHASE_TIME, |bench| {
                overloaded_at = bench.wait_for_overload(begin + PHASE_TIME);
                Ok(())
            })?;
            if load == 2.0 {
                self.report.overload_visible_ms = self.overload_visibility_delay_ms(overloaded_at);
            }
            // Lets the queues drain before the next step.
            std::thread::sleep(PHASE_PAUSE);
        }
        let goodput = |bench: &Self, name: &str| bench.report.phase(name).goodput_per_s;
        self.report.goodput_ratio_2x = goodput(self, "step 2") / goodput(self, "step 1");
        self.report.small_org_share = self.smallest_fair_share_ratio();
        Ok(())
    }

    /// Compares the strategies of replica selection while one replica is ten times slower than the others.
    pub(crate) fn run_slow_replica(&mut self) -> anyhow::Result<()> {
        self.fleet.engines["model-1"].set_faults(EngineFaults {
            slow_factor: 10.0,
            ..EngineFaults::default()
        });
        for (name, strategy) in [
            ("round robin", 1),
            ("least reported", 2),
            ("expected wait", 0),
        ] {
            self.command(&format!("set choice_strategy {strategy}"))?;
            std::thread::sleep(PHASE_PAUSE);
            self.run_phase(
                &format!("slow replica, {name}"),
                0.8,
                PHASE_TIME,
                |_| Ok(()),
            )?;
        }
        self.fleet.engines["model-1"].set_faults(EngineFaults::default());
        let p95 = |name: &str| self.report.phase(name).first_token_p95_ms;
        self.report.slow_replica_ttft_ratio =
            p95("slow replica, expected wait") / p95("slow replica, round robin");
        std::thread::sleep(PHASE_PAUSE);
        Ok(())
    }

    /// Kills and restarts a replica, then suspends all processes of one zone for a while.
    pub(crate) fn run_faults(&mut self) -> anyhow::Result<()> {
        self.run_phase("replica killed", 0.8, PHASE_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.process("model-1").kill();
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.start_process("model-1")
        })?;
        std::thread::sleep(PHASE_PAUSE);
        self.run_phase("zone cut", 0.5, 2 * PHASE_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            let zone = ["entry-3", "model-3", "model-6", "model-9", "model-12"];
            zone.iter().for_each(|it| bench.fleet.process(it).suspend());
            std::thread::sleep(ZONE_OUTAGE_TIME);
            zone.iter().for_each(|it| bench.fleet.process(it).resume());
            Ok(())
        })?;
        std::thread::sleep(PHASE_PAUSE);
        Ok(())
    }

    /// Drains a target, then stops an entry and an agent with a graceful shutdown.
    pub(crate) fn run_drain_and_stops(&mut self) -> anyhow::Result<()> {
        let mut accepted_at = None;
        self.run_phase("drain", 0.8, PHASE_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.command("drain model-2")?;
            accepted_at = Some(Instant::now());
            Ok(())
        })?;
        if let Some(accepted_at) = accepted_at {
            self.report.work_after_leaving_ms = self.last_arrival_ms("model-2", accepted_at);
        }
        self.command("undrain model-2")?;
        std::thread::sleep(PHASE_PAUSE);
        self.run_phase("planned stops", 0.8, 2 * PHASE_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.process("entry-2").terminate();
            bench.fleet.process("model-4").terminate();
            Ok(())
        })?;
        let totals = &self.report.phase("planned stops").totals;
        self.report.cut_by_planned_stop = totals.cut + totals.error_ends;
        Ok(())
    }

    /// Compares what the callers observed with the runs that the engines and services counted, and returns the
    /// final report.
    pub(crate) fn finish(mut self) -> RequestReport {
        let observed = ObservedRuns {
            prompts: self
                .fleet
                .engines
                .values()
                .map(|it| it.runs_by_prompt())
                .collect(),
            keys: self
                .fleet
                .services
                .values()
                .map(|it| it.runs_by_key())
                .collect(),
            paths: self
                .fleet
                .services
                .values()
                .map(|it| it.runs_by_path())
                .collect(),
        };
        for load_report in &self.load_reports {
            let totals = &load_report.totals;
            self.report.requests += totals.calls;
            self.report.wrong_answers += totals.wrong + totals.mixed + totals.cut;
            self.report.unknown += totals.unknown;
            self.report.orders_run_twice += load_report.orders_run_twice(&observed);
            self.report.false_not_run += load_report.false_not_run(&observed).len();
            self.report
                .faults
                .extend(load_report.describe_faults(MAX_FAULTS_SHOWN));
        }
        self.report
    }

    /// Runs `action` under load for `time` in all and records the results as the phase `name`.
    fn run_phase(
        &mut self,
        name: &str,
        load: f64,
        time: Duration,
        action: impl FnOnce(&mut Self) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        let begin = Instant::now();
        let plan = self.load_plan(load);
        let running_load = LoadGenerator::start(self.fleet.runtime(), plan);
        action(self)?;
        std::thread::sleep((begin + time).saturating_duration_since(Instant::now()));
        let report = running_load.finish();
        let phase = LoadPhase::new(name, load, &report);
        println!("{}", phase.table_row());
        self.report.phases.push(phase);
        self.load_reports.push(report);
        Ok(())
    }

    /// Returns a load plan for `load` times the capacity, with a new seed.
    fn load_plan(&mut self, load: f64) -> LoadPlan {
        self.seed += 1;
        let organisation = |name: &str, weight| LoadOrganisation {
            name: name.to_owned(),
            token: format!("token-{name}"),
            weight,
        };
        let mut organisations = vec![organisation(LARGE, LARGE_WEIGHT)];
        for number in 1..=SMALL_COUNT {
            organisations.push(organisation(&small_organisation(number), SMALL_WEIGHT));
        }
        LoadPlan {
            bootstrap_entries: self.fleet.callers(),
            organisations,
            streams_per_s: load * capacity(),
            orders_per_s: ORDERS_PER_S,
            lookups_per_s: LOOKUPS_PER_S,
            tokens: TOKENS,
            deadline: DEADLINE,
            seed: self.seed,
            ..LoadPlan::default()
        }
    }

    /// Issues a command under a new id and waits until it is accepted.
    fn command(&mut self, text: &str) -> anyhow::Result<()> {
        self.command_count += 1;
        let id = format!("bench-{}", self.command_count);
        self.fleet
            .command_until_accepted("entry-1", text, &id, START_TIMEOUT)?;
        Ok(())
    }

    /// Polls the state dumps of the entries until one reports overload, and returns that time, or `None` after `until`.
    fn wait_for_overload(&self, until: Instant) -> Option<Instant> {
        while Instant::now() < until {
            let entries = (1..=ZONES).map(|it| format!("entry-{it}"));
            let mut states = entries.filter_map(|it| self.fleet.state(&it).ok());
            if states.any(|it| it["own"]["overloaded_ms"].is_u64()) {
                return Some(Instant::now());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the time from the first refusal for overload in the last phase to `overloaded_at`.
    fn overload_visibility_delay_ms(&self, overloaded_at: Option<Instant>) -> Option<u64> {
        let records = &self.load_reports.last()?.records;
        let is_overload = |it: &&CallOutcome| matches!(it, CallOutcome::NotRun(200 | 201 | 203));
        let refusals = records.iter().filter(|it| is_overload(&&it.outcome));
        let first = refusals.map(|it| it.ended_at).min()?;
        let delay = overloaded_at?.saturating_duration_since(first);
        Some(delay.as_millis() as u64)
    }

    /// Returns the lowest goodput of a small organisation at twice the capacity, relative to its fair share.
    fn smallest_fair_share_ratio(&self) -> f64 {
        let phase = self.report.phase("step 2");
        let total_weight = LARGE_WEIGHT + SMALL_COUNT * SMALL_WEIGHT;
        let requested = 2.0 * capacity() * f64::from(SMALL_WEIGHT) / f64::from(total_weight);
        let capacity = self.report.phase("step 1").goodput_per_s;
        let fair_share = (capacity / f64::from(SMALL_COUNT + 1)).min(requested);
        let achieved = (1..=SMALL_COUNT).map(|it| phase.by_organisation[&small_organisation(it)]);
        achieved.fold(f64::INFINITY, f64::min) / fair_share
    }

    /// Returns the time from `since` to the arrival of the last request at the engine of `host`, in steps of
    /// `ARRIVAL_STEP_MS`.
    fn last_arrival_ms(&self, host: &str, since: Instant) -> u64 {
        let engine = &self.fleet.engines[host];
        let mut millis = 0;
        while engine.arrived_after(since + Duration::from_millis(millis)) > 0 {
            millis += ARRIVAL_STEP_MS;
        }
        millis
    }
}

/// Returns the number of streams per second that all engines together can complete.
pub(crate) fn capacity() -> f64 {
    let stream_seconds = TOKEN_INTERVAL.as_secs_f64() * (1.0 + BATCH_SLOWDOWN) * TOKENS as f64;
    (ZONES * ENGINES_PER_ZONE * MAX_BATCH) as f64 / stream_seconds
}

fn small_organisation(number: u32) -> String {
    format!("small-{number}")
}

const ZONES: usize = 3;
const ENGINES_PER_ZONE: usize = 4;
const MAX_BATCH: usize = 4;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const BATCH_SLOWDOWN: f64 = 0.5;

/// Tokens of each response.
const TOKENS: usize = 20;

/// Deadline for a complete response.
const DEADLINE: Duration = Duration::from_secs(2);

/// The organisation that causes the overload: it sends three fifths of all calls, six times as many as a small one.
const LARGE: &str = "large";
const LARGE_WEIGHT: u32 = 6;
const SMALL_WEIGHT: u32 = 1;
const SMALL_COUNT: u32 = 4;

const ORDERS_PER_S: f64 = 20.0;
const LOOKUPS_PER_S: f64 = 20.0;

/// Load of each step, relative to the capacity.
const LOAD_STEPS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Duration of a phase.
const PHASE_TIME: Duration = Duration::from_secs(4);

/// Pause between phases.
const PHASE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time after which an entry without further refusals no longer reports overload.
const OVERLOAD_RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Delay from the start of a phase to its first fault or command, and between two of them.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which the processes of a zone are suspended.
const ZONE_OUTAGE_TIME: Duration = Duration::from_secs(4);

/// Timeout for the start of the fleet and for the acceptance of a command.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between polls of the overload state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Resolution of the search for the last arrival, in milliseconds.
const ARRIVAL_STEP_MS: u64 = 10;

/// Maximum number of faulty responses that are described per phase.
const MAX_FAULTS_SHOWN: usize = 5;
