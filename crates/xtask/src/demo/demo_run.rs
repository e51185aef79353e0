//! The course of the demo.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::bail;
use standin::{
    CallOutcome, EngineOptions, FleetPlan, LoadGenerator, LoadOrganisation, LoadPlan, LoadReport,
    ObservedRuns, ProcessFleet, RunningLoad, ServiceFaults, TableFaults, TargetPlan,
};

use crate::demo::demo_report::DemoReport;
use crate::demo::progress_line::ProgressLine;

/// Runs the demo with the program `binary`, and everything that it writes in `dir`.
pub(crate) fn run(binary: PathBuf, dir: PathBuf) -> anyhow::Result<DemoReport> {
    let mut line = ProgressLine::new();
    line.phase("starting the processes");
    let mut fleet = ProcessFleet::start(plan(binary, dir))?;
    let mut report = DemoReport {
        hosts: fleet.process_names().len(),
        ..DemoReport::default()
    };

    line.phase("first rollout");
    report.time_to_first_n_ms = rollout(&fleet, &mut line, "v1", None)?;
    let targets = fleet.plan().agents.len();
    wait(&fleet, &mut line, "v1", None, "open targets", |fleet| {
        fleet.entries_see_targets(targets)
    })?;

    let load = LoadGenerator::start(fleet.runtime(), load_plan(&fleet));
    line.phase("load");
    pause(&fleet, &mut line, "v1", &load, SETTLE);
    for service in fleet.services.values() {
        service.set_faults(ServiceFaults {
            lose_next: LOST_ANSWERS,
            lose_keyed_only: true,
            ..ServiceFaults::default()
        });
    }
    fleet.table.set_faults(TableFaults {
        lose_share: LOST_REPLIES_SHARE,
        ..TableFaults::default()
    });
    line.phase("second rollout under load");
    report.time_to_n_ms = rollout(&fleet, &mut line, "v2", Some(&load))?;

    line.phase("drain");
    fleet.command_until_accepted("entry-1", &format!("drain {DRAINED}"), "drain", PATIENCE)?;
    let left = Instant::now() + LEAVING_LIMIT;
    pause(&fleet, &mut line, "v2", &load, SETTLE);
    line.phase("an agent is killed");
    fleet.process(KILLED).kill();
    pause(&fleet, &mut line, "v2", &load, SETTLE);
    line.phase("an entry is stopped");
    let stopped = Instant::now();
    fleet.process(STOPPED_ENTRY).terminate();
    pause(&fleet, &mut line, "v2", &load, 2 * SETTLE);
    line.phase("the last answers");
    let load = load.finish();
    line.finish();
    if fleet.process(STOPPED_ENTRY).wait(PATIENCE).is_none() {
        bail!("{STOPPED_ENTRY} did not stop");
    }

    fill(&mut report, &fleet, &load, left, stopped);
    Ok(report)
}

fn plan(binary: PathBuf, dir: PathBuf) -> FleetPlan {
    let mut plan = FleetPlan::uniform(binary, dir, ZONES, ENGINES_PER_ZONE);
    plan.weight_bytes = WEIGHT_BYTES;
    plan.origin_bytes_per_s = Some(ORIGIN_BYTES_PER_S);
    for (idx, agent) in plan.agents.iter_mut().enumerate() {
        // Engines of both kinds, with and without a check of fencing numbers, are part of the fleet.
        agent.target = TargetPlan::Engine(EngineOptions {
            checks_fencing: idx % 2 == 0,
            ..EngineOptions::default()
        });
    }
    plan.add_service("orders-1", "orders", 0);
    plan.add_service("orders-2", "orders", 1);
    plan
}

fn load_plan(fleet: &ProcessFleet) -> LoadPlan {
    let organisations = fleet.plan().organisations.iter();
    let organisations = organisations
        .zip([4, 1])
        .map(|(name, weight)| LoadOrganisation {
            name: name.clone(),
            token: format!("token-{name}"),
            weight,
        });
    LoadPlan {
        bootstrap_entries: fleet.callers(),
        organisations: organisations.collect(),
        streams_per_s: 60.0,
        orders_per_s: 30.0,
        lookups_per_s: 30.0,
        duplicate_share: 0.2,
        tokens: 25,
        deadline: Duration::from_secs(10),
        versions: fleet.manifests.values().map(|it| it.version()).collect(),
        ..LoadPlan::default()
    }
}

/// Rolls `label` out and returns the milliseconds until every engine serves it.
fn rollout(
    fleet: &ProcessFleet,
    line: &mut ProgressLine,
    label: &str,
    load: Option<&RunningLoad>,
) -> anyhow::Result<u64> {
    let command = format!("rollout demo {label}");
    fleet.command_until_accepted("entry-1", &command, &format!("rollout-{label}"), PATIENCE)?;
    let accepted = Instant::now();
    wait(fleet, line, label, load, "the rollout", |it| {
        it.all_engines_serve(label, &[])
    })?;
    Ok(accepted.elapsed().as_millis() as u64)
}

fn wait(
    fleet: &ProcessFleet,
    line: &mut ProgressLine,
    label: &str,
    load: Option<&RunningLoad>,
    what: &str,
    mut reached: impl FnMut(&ProcessFleet) -> bool,
) -> anyhow::Result<()> {
    fleet.wait_for(what, PATIENCE, |fleet| {
        line.show(fleet, label, load);
        reached(fleet).then_some(())
    })
}

fn pause(
    fleet: &ProcessFleet,
    line: &mut ProgressLine,
    label: &str,
    load: &RunningLoad,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        line.show(fleet, label, Some(load));
        std::thread::sleep(STEP);
    }
}

fn fill(
    report: &mut DemoReport,
    fleet: &ProcessFleet,
    load: &LoadReport,
    left: Instant,
    stopped: Instant,
) {
    let evidence = ObservedRuns {
        prompts: fleet
            .engines
            .values()
            .map(|it| it.runs_by_prompt())
            .collect(),
        keys: fleet.services.values().map(|it| it.runs_by_key()).collect(),
        paths: fleet
            .services
            .values()
            .map(|it| it.runs_by_path())
            .collect(),
    };
    let totals = &load.totals;
    report.origin_copies = fleet.origin.served_copies("demo", "v2");
    report.weight_store_copies = fleet.weight_store.served_copies("demo", "v2");
    report.calls = totals.calls;
    report.answered = totals.answered;
    report.refused_not_run = totals.refused_not_run;
    report.unknown = totals.unknown;
    report.ended_with_error = totals.error_ends;
    report.codes = totals.codes.clone();
    report.wrong_or_cut_answers = totals.wrong + totals.cut;
    report.mixed_version_answers = totals.mixed;
    report.orders_run_twice = load.orders_run_twice(&evidence);
    report.false_not_run = load.false_not_run(&evidence).len();
    report.new_work_after_leaving = fleet.engines[DRAINED].arrived_after(left);
    report.cut_by_planned_stop = cut_by_planned_stop(fleet, load, stopped);
    report.first_token_p95_ms = load.first_token_us.value_at_quantile(0.95) as f64 / 1000.0;
    report.token_gap_p95_ms = load.token_gap_us.value_at_quantile(0.95) as f64 / 1000.0;
    report.faults = load.describe_faults(SHOWN_FAULTS);
}

/// Counts what the load orders and the drain cut off at the engines, and the streams that broke after the entry's stop.
fn cut_by_planned_stop(fleet: &ProcessFleet, load: &LoadReport, stopped: Instant) -> usize {
    let by_switch: u64 = fleet.engines.values().map(|it| it.cut_by_load()).sum();
    let drained = fleet.engines[DRAINED].runs_by_prompt();
    let by_drain: u32 = drained.iter().map(|(_, count)| count.cancelled).sum();
    let broke = load.records.iter().filter(|it| {
        it.ended_at > stopped
            && matches!(
                it.outcome,
                CallOutcome::Truncated(_) | CallOutcome::EndedWithError(_)
            )
    });
    by_switch as usize + by_drain as usize + broke.count()
}

/// Answers to orders of each service that are lost after the work has run.
const LOST_ANSWERS: u32 = 3;

/// Share of the table's transactions whose replies are lost after they were applied.
const LOST_REPLIES_SHARE: f64 = 0.02;

/// Zones, each in a region of its own with one entry.
const ZONES: usize = 3;

/// Engines in each zone.
const ENGINES_PER_ZONE: usize = 3;

/// Size of a version in bytes.
const WEIGHT_BYTES: usize = 8 << 20;

/// Speed of the origin in bytes a second.
const ORIGIN_BYTES_PER_S: f64 = 30e6;

/// The host that is drained.
const DRAINED: &str = "model-4";

/// The host whose agent is killed.
const KILLED: &str = "model-8";

/// The entry that is stopped.
const STOPPED_ENTRY: &str = "entry-3";

/// Time after which a leaving target gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time for the load to run between two events.
const SETTLE: Duration = Duration::from_secs(2);

/// Longest wait for anything.
const PATIENCE: Duration = Duration::from_secs(25);

/// How often the progress is looked at.
const STEP: Duration = Duration::from_millis(20);

/// Wrong or cut answers that are described.
const SHOWN_FAULTS: usize = 5;
