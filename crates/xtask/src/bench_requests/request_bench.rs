//! The phases of the bench on one fleet.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use standin::{
    CallOutcome, EngineFaults, EngineOptions, FleetPlan, LoadGenerator, LoadOrganisation, LoadPlan,
    LoadReport, ObservedRuns, ProcessFleet, TargetPlan,
};

use crate::bench_requests::load_phase::LoadPhase;
use crate::bench_requests::request_report::RequestReport;

/// A fleet under load, with the figures so far.
pub(crate) struct RequestBench {
    fleet: ProcessFleet,
    report: RequestReport,
    reports: Vec<LoadReport>,
    seed: u64,
    commands: u32,
}

impl RequestBench {
    /// Starts three zones with an entry and four engines each, about as many as the users run, and two order services.
    pub(crate) fn start(binary: PathBuf, dir: PathBuf) -> anyhow::Result<Self> {
        let mut plan = FleetPlan::uniform(binary, dir, ZONES, ENGINES_PER_ZONE);
        plan.weight_bytes = 1 << 20;
        plan.organisations = std::iter::once(LARGE.to_owned())
            .chain((1..=SMALL_COUNT).map(small_name))
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
            reports: Vec::new(),
            seed: 0,
            commands: 0,
        })
    }

    /// Raises the load from half to three times the capacity.
    pub(crate) fn run_steps(&mut self) -> anyhow::Result<()> {
        self.phase("warm up", 0.5, STEP_TIME, |_| Ok(()))?;
        for load in STEPS {
            if load == 2.0 {
                // The overload of the step before has to be over, so that its new start can be seen.
                std::thread::sleep(OVERLOAD_END);
            }
            let name = format!("step {load}");
            let begin = Instant::now();
            let mut seen = None;
            self.phase(&name, load, STEP_TIME, |bench| {
                seen = bench.watch_overload(begin + STEP_TIME);
                Ok(())
            })?;
            if load == 2.0 {
                self.report.overload_visible_ms = self.visible_after_refusal(seen);
            }
            // The queues and the overload state are empty again before the next step.
            std::thread::sleep(REST);
        }
        let goodput = |bench: &Self, name: &str| bench.report.phase(name).goodput_per_s;
        self.report.goodput_ratio_2x = goodput(self, "step 2") / goodput(self, "step 1");
        self.report.small_org_share = self.small_share();
        Ok(())
    }

    /// Compares strategies while one replica is ten times slower.
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
            std::thread::sleep(REST);
            self.phase(&format!("slow replica, {name}"), 0.8, STEP_TIME, |_| Ok(()))?;
        }
        self.fleet.engines["model-1"].set_faults(EngineFaults::default());
        let p95 = |name: &str| self.report.phase(name).first_token_p95_ms;
        self.report.slow_replica_ttft_ratio =
            p95("slow replica, expected wait") / p95("slow replica, round robin");
        std::thread::sleep(REST);
        Ok(())
    }

    /// Kills a replica and cuts off a zone.
    pub(crate) fn run_faults(&mut self) -> anyhow::Result<()> {
        self.phase("replica killed", 0.8, STEP_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.process("model-1").kill();
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.start_process("model-1")
        })?;
        std::thread::sleep(REST);
        self.phase("zone cut", 0.5, 2 * STEP_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            let zone = ["entry-3", "model-3", "model-6", "model-9", "model-12"];
            zone.iter().for_each(|it| bench.fleet.process(it).suspend());
            std::thread::sleep(ZONE_CUT_TIME);
            zone.iter().for_each(|it| bench.fleet.process(it).resume());
            Ok(())
        })?;
        std::thread::sleep(REST);
        Ok(())
    }

    /// Drains a target, and stops an entry and an agent as planned.
    pub(crate) fn run_leaving(&mut self) -> anyhow::Result<()> {
        let mut accepted = None;
        self.phase("drain", 0.8, STEP_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.command("drain model-2")?;
            accepted = Some(Instant::now());
            Ok(())
        })?;
        if let Some(accepted) = accepted {
            self.report.work_after_leaving_ms = self.last_arrival_ms("model-2", accepted);
        }
        self.command("undrain model-2")?;
        std::thread::sleep(REST);
        self.phase("planned stops", 0.8, 2 * STEP_TIME, |bench| {
            std::thread::sleep(FAULT_DELAY);
            bench.fleet.process("entry-2").terminate();
            bench.fleet.process("model-4").terminate();
            Ok(())
        })?;
        let totals = &self.report.phase("planned stops").totals;
        self.report.cut_by_planned_stop = totals.cut + totals.error_ends;
        Ok(())
    }

    /// Holds what callers saw against what engines and services counted.
    pub(crate) fn finish(mut self) -> RequestReport {
        let evidence = ObservedRuns {
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
        for report in &self.reports {
            let totals = &report.totals;
            self.report.requests += totals.calls;
            self.report.wrong_answers += totals.wrong + totals.mixed + totals.cut;
            self.report.unknown += totals.unknown;
            self.report.orders_run_twice += report.orders_run_twice(&evidence);
            self.report.false_not_run += report.false_not_run(&evidence).len();
            self.report
                .faults
                .extend(report.describe_faults(FAULTS_SHOWN));
        }
        self.report
    }

    fn phase(
        &mut self,
        name: &str,
        load: f64,
        time: Duration,
        act: impl FnOnce(&mut Self) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        let begin = Instant::now();
        let plan = self.plan(load);
        let running = LoadGenerator::start(self.fleet.runtime(), plan);
        act(self)?;
        std::thread::sleep((begin + time).saturating_duration_since(Instant::now()));
        let report = running.finish();
        let phase = LoadPhase::new(name, load, &report);
        println!("{}", phase.line());
        self.report.phases.push(phase);
        self.reports.push(report);
        Ok(())
    }

    fn plan(&mut self, load: f64) -> LoadPlan {
        self.seed += 1;
        let organisation = |name: &str, weight| LoadOrganisation {
            name: name.to_owned(),
            token: format!("token-{name}"),
            weight,
        };
        let mut organisations = vec![organisation(LARGE, LARGE_WEIGHT)];
        for number in 1..=SMALL_COUNT {
            organisations.push(organisation(&small_name(number), SMALL_WEIGHT));
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

    fn command(&mut self, text: &str) -> anyhow::Result<()> {
        self.commands += 1;
        let id = format!("bench-{}", self.commands);
        self.fleet
            .command_until_accepted("entry-1", text, &id, START_TIMEOUT)?;
        Ok(())
    }

    /// Returns when an entry's own dump first said that it is overloaded.
    fn watch_overload(&self, until: Instant) -> Option<Instant> {
        while Instant::now() < until {
            let entries = (1..=ZONES).map(|it| format!("entry-{it}"));
            let mut states = entries.filter_map(|it| self.fleet.state(&it).ok());
            if states.any(|it| it["own"]["overloaded_ms"].is_u64()) {
                return Some(Instant::now());
            }
            std::thread::sleep(WATCH_PAUSE);
        }
        None
    }

    fn visible_after_refusal(&self, seen: Option<Instant>) -> Option<u64> {
        let records = &self.reports.last()?.records;
        let overload = |it: &&CallOutcome| matches!(it, CallOutcome::NotRun(200 | 201 | 203));
        let refusals = records.iter().filter(|it| overload(&&it.outcome));
        let first = refusals.map(|it| it.ended_at).min()?;
        let delay = seen?.saturating_duration_since(first);
        Some(delay.as_millis() as u64)
    }

    /// Returns the smallest part of its fair share that a small organisation got at twice the capacity.
    fn small_share(&self) -> f64 {
        let phase = self.report.phase("step 2");
        let total_weight = LARGE_WEIGHT + SMALL_COUNT * SMALL_WEIGHT;
        let asked = 2.0 * capacity() * f64::from(SMALL_WEIGHT) / f64::from(total_weight);
        let capacity = self.report.phase("step 1").goodput_per_s;
        let fair = (capacity / f64::from(SMALL_COUNT + 1)).min(asked);
        let got = (1..=SMALL_COUNT).map(|it| phase.by_organisation[&small_name(it)]);
        got.fold(f64::INFINITY, f64::min) / fair
    }

    /// Returns how long after `since` the last request reached the engine of `host`.
    fn last_arrival_ms(&self, host: &str, since: Instant) -> u64 {
        let engine = &self.fleet.engines[host];
        let mut millis = 0;
        while engine.arrived_after(since + Duration::from_millis(millis)) > 0 {
            millis += ARRIVAL_STEP_MS;
        }
        millis
    }
}

/// Returns the streams a second that all engines together can answer.
pub(crate) fn capacity() -> f64 {
    let length = TOKEN_INTERVAL.as_secs_f64() * (1.0 + BATCH_SLOWDOWN) * TOKENS as f64;
    (ZONES * ENGINES_PER_ZONE * MAX_BATCH) as f64 / length
}

fn small_name(number: u32) -> String {
    format!("small-{number}")
}

const ZONES: usize = 3;
const ENGINES_PER_ZONE: usize = 4;
const MAX_BATCH: usize = 4;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const BATCH_SLOWDOWN: f64 = 0.5;

/// Tokens of each answer.
const TOKENS: usize = 20;

/// Time for a whole answer.
const DEADLINE: Duration = Duration::from_secs(2);

/// The organisation that floods: three fifths of all calls, six times a small one's.
const LARGE: &str = "large";
const LARGE_WEIGHT: u32 = 6;
const SMALL_WEIGHT: u32 = 1;
const SMALL_COUNT: u32 = 4;

const ORDERS_PER_S: f64 = 20.0;
const LOOKUPS_PER_S: f64 = 20.0;

/// Loads of the steps, relative to the capacity.
const STEPS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Length of a phase.
const STEP_TIME: Duration = Duration::from_secs(4);

/// Pause between phases.
const REST: Duration = Duration::from_millis(1_500);

/// Time after which an overload without further signs is over.
const OVERLOAD_END: Duration = Duration::from_secs(6);

/// Time from the start of a phase to its fault.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which a zone is cut off.
const ZONE_CUT_TIME: Duration = Duration::from_secs(4);

/// Time for the fleet to come together, or a command to be accepted.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between looks at the overload state.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Steps in which the last arrival is searched, in milliseconds.
const ARRIVAL_STEP_MS: u64 = 10;

/// Faulty answers that are shown of each phase.
const FAULTS_SHOWN: usize = 5;
