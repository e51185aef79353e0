//! The sequence of steps of the demo.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::bail;
use standin::{
    CallOutcome, EngineOptions, FleetPlan, LoadGenerator, LoadOrganisation, LoadPlan, LoadReport,
    ObservedRuns, ProcessFleet, RunningLoad, ServiceFaults, TableFaults, TargetPlan,
};

use crate::demo::demo_report::DemoReport;
use crate::demo::progress_line::ProgressLine;

/// Runs the demo with the program `binary`. All files are written to `dir`.
pub(crate) fn run(binary: PathBuf, dir: PathBuf) -> anyhow::Result<DemoReport> {
    let mut progress = ProgressLine::new();
    progress.start_phase("starting the processes");
    let mut fleet = ProcessFleet::start(fleet_plan(binary, dir))?;
    let mut report = DemoReport {
        hosts: fleet.process_names().len(),
        ..DemoReport::default()
    };

    progress.start_phase("first rollout");
    report.time_to_first_n_ms = rollout(&fleet, &mut progress, "v1", None)?;
    let targets = fleet.plan().agents.len();
    wait_with_progress(&fleet, &mut progress, "v1", None, "open targets", |fleet| {
        fleet.entries_see_targets(targets)
    })?;

    let load = LoadGenerator::start(fleet.runtime(), load_plan(&fleet));
    progress.start_phase("load");
    pause_with_progress(&fleet, &mut progress, "v1", &load, EVENT_INTERVAL);
    for service in fleet.services.values() {
        service.set_faults(ServiceFaults {
            lose_next: LOST_RESPONSES_PER_SERVICE,
            lose_keyed_only: true,
            ..ServiceFaults::default()
        });
    }
    fleet.table.set_faults(TableFaults {
        lose_share: LOST_TRANSACTION_RESPONSE_SHARE,
        ..TableFaults::default()
    });
    progress.start_phase("second rollout under load");
    report.time_to_n_ms = rollout(&fleet, &mut progress, "v2", Some(&load))?;

    progress.start_phase("drain");
    fleet.command_until_accepted(
        "entry-1",
        &format!("drain {DRAINED_HOST}"),
        "drain",
        TIMEOUT,
    )?;
    let drain_deadline = Instant::now() + DRAIN_PROPAGATION_LIMIT;
    pause_with_progress(&fleet, &mut progress, "v2", &load, EVENT_INTERVAL);
    progress.start_phase("an agent is killed");
    fleet.process(KILLED_HOST).kill();
    pause_with_progress(&fleet, &mut progress, "v2", &load, EVENT_INTERVAL);
    progress.start_phase("an entry is stopped");
    let stop_time = Instant::now();
    fleet.process(STOPPED_ENTRY).terminate();
    pause_with_progress(&fleet, &mut progress, "v2", &load, 2 * EVENT_INTERVAL);
    progress.start_phase("waiting for the last responses");
    let load = load.finish();
    progress.finish();
    if fleet.process(STOPPED_ENTRY).wait(TIMEOUT).is_none() {
        bail!("{STOPPED_ENTRY} did not stop");
    }

    fill_report(&mut report, &fleet, &load, drain_deadline, stop_time);
    Ok(report)
}

fn fleet_plan(binary: PathBuf, dir: PathBuf) -> FleetPlan {
    let mut plan = FleetPlan::uniform(binary, dir, ZONES, ENGINES_PER_ZONE);
    plan.weight_bytes = WEIGHT_BYTES;
    plan.origin_bytes_per_s = Some(ORIGIN_BYTES_PER_S);
    for (idx, agent) in plan.agents.iter_mut().enumerate() {
        // Half of the engines check fencing numbers, so that the fleet contains both kinds.
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

/// Rolls out the version `label` and returns the milliseconds from acceptance until every engine serves it.
fn rollout(
    fleet: &ProcessFleet,
    progress: &mut ProgressLine,
    label: &str,
    load: Option<&RunningLoad>,
) -> anyhow::Result<u64> {
    let command = format!("rollout demo {label}");
    fleet.command_until_accepted("entry-1", &command, &format!("rollout-{label}"), TIMEOUT)?;
    let accepted_at = Instant::now();
    wait_with_progress(fleet, progress, label, load, "the rollout", |it| {
        it.all_engines_serve(label, &[])
    })?;
    Ok(accepted_at.elapsed().as_millis() as u64)
}

/// Waits for `condition` and updates the progress line meanwhile. The error after a timeout names `what`.
fn wait_with_progress(
    fleet: &ProcessFleet,
    progress: &mut ProgressLine,
    label: &str,
    load: Option<&RunningLoad>,
    what: &str,
    mut condition: impl FnMut(&ProcessFleet) -> bool,
) -> anyhow::Result<()> {
    fleet.wait_for(what, TIMEOUT, |fleet| {
        progress.update(fleet, label, load);
        condition(fleet).then_some(())
    })
}

/// Lets the load run for `duration` and updates the progress line meanwhile.
fn pause_with_progress(
    fleet: &ProcessFleet,
    progress: &mut ProgressLine,
    label: &str,
    load: &RunningLoad,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        progress.update(fleet, label, Some(load));
        std::thread::sleep(PROGRESS_INTERVAL);
    }
}

fn fill_report(
    report: &mut DemoReport,
    fleet: &ProcessFleet,
    load: &LoadReport,
    drain_deadline: Instant,
    stop_time: Instant,
) {
    let observed = ObservedRuns {
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
    report.orders_run_twice = load.orders_run_twice(&observed);
    report.false_not_run = load.false_not_run(&observed).len();
    report.new_work_after_leaving = fleet.engines[DRAINED_HOST].arrived_after(drain_deadline);
    report.cut_by_planned_stop = cut_by_planned_stop(fleet, load, stop_time);
    report.first_token_p95_ms = load.first_token_us.value_at_quantile(0.95) as f64 / 1000.0;
    report.token_gap_p95_ms = load.token_gap_us.value_at_quantile(0.95) as f64 / 1000.0;
    report.faults = load.describe_faults(MAX_FAULTS_SHOWN);
}

/// Counts the requests that engines cancelled because of a version load or the drain, and the streams that broke after
/// the stop of the entry.
fn cut_by_planned_stop(fleet: &ProcessFleet, load: &LoadReport, stop_time: Instant) -> usize {
    let cancelled_by_load: u64 = fleet.engines.values().map(|it| it.aborted_by_load()).sum();
    let drained = fleet.engines[DRAINED_HOST].runs_by_prompt();
    let cancelled_by_drain: u32 = drained.iter().map(|(_, count)| count.cancelled).sum();
    let broken_streams = load.records.iter().filter(|it| {
        it.ended_at > stop_time
            && matches!(
                it.outcome,
                CallOutcome::Truncated(_) | CallOutcome::EndedWithError(_)
            )
    });
    cancelled_by_load as usize + cancelled_by_drain as usize + broken_streams.count()
}

/// Number of orders per service whose response is lost after the order ran.
const LOST_RESPONSES_PER_SERVICE: u32 = 3;

/// Share of table transactions whose response is lost after the transaction was applied.
const LOST_TRANSACTION_RESPONSE_SHARE: f64 = 0.02;

/// Number of zones, each in its own region and with one entry.
const ZONES: usize = 3;

/// Number of engines per zone.
const ENGINES_PER_ZONE: usize = 3;

/// Size of a version in bytes.
const WEIGHT_BYTES: usize = 8 << 20;

/// Rate of the origin in bytes per second.
const ORIGIN_BYTES_PER_S: f64 = 30e6;

/// Host that is drained.
const DRAINED_HOST: &str = "model-4";

/// Host whose agent is killed.
const KILLED_HOST: &str = "model-8";

/// Entry that is stopped gracefully.
const STOPPED_ENTRY: &str = "entry-3";

/// Time after the acceptance of a drain within which a target may still receive requests.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the load runs between two events.
const EVENT_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for a command or a state change.
const TIMEOUT: Duration = Duration::from_secs(25);

/// Interval between updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of faulty responses that are described.
const MAX_FAULTS_SHOWN: usize = 5;
