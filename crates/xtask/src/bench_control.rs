//! `cargo xtask bench control`: resource usage of the control plane and latency until a command is in force, at growing
//! fleet sizes.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use anyhow::Context;
use standin::{AgentPlan, EntryPlan, FleetPlan, ProcessFleet, TargetPlan};

use crate::bench_control_report::{self, RoleCost, SizeResult};
use crate::bench_control_sample::{CostSample, read_cost};

/// Numbers of entries and agents in each run.
const SIZES: [(usize, usize); 4] = [(8, 25), (16, 50), (32, 100), (64, 200)];

/// Duration of the resource usage measurement.
const COST_WINDOW: Duration = Duration::from_secs(10);

/// Delay between the end of discovery and the start of the resource usage measurement.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Timeout for every entry to discover all entries and agents.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(90);

/// Timeout for a command to be accepted, and then to be in force; a host that takes longer is recorded with about this
/// latency.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Commands whose propagation to every host is measured at each size.
const TIMED_COMMANDS: usize = 8;

/// Commands whose propagation is measured after the loss of a zone.
const ZONE_LOSS_COMMANDS: usize = 3;

/// Threads that poll the processes while a command propagates.
const POLL_THREADS: usize = 6;

/// Delay between two polls by the same thread.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of entries per zone.
const ENTRIES_PER_ZONE: usize = 4;

/// Measures every fleet size, or only the N smallest if the argument is a number N, and writes the results.
pub(crate) fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let size_count = match args.first().and_then(|it| it.to_str()) {
        None => SIZES.len(),
        Some(text) => text
            .parse()
            .context("the argument must be a number of sizes")?,
    };
    let root = &repository_root();
    let binary = find_binary(root)?;
    std::fs::create_dir_all(root.join("target/bench"))?;
    let mut sizes = Vec::new();
    for (entries, agents) in SIZES.into_iter().take(size_count) {
        let result = run_size(&binary, root, entries, agents)?;
        bench_control_report::print(&result);
        sizes.push(result);
        bench_control_report::write(root, &sizes)?;
    }
    Ok(())
}

/// Returns the root of the repository.
pub(crate) fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the most recently built `fulmarline` binary.
fn find_binary(root: &Path) -> anyhow::Result<PathBuf> {
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
    let candidates = ["release", "debug"].map(|it| target.join(it).join("fulmarline"));
    let newest = candidates
        .into_iter()
        .filter(|it| it.exists())
        .max_by_key(|it| it.metadata().and_then(|it| it.modified()).ok());
    newest.context("build the program first: cargo build -p fulmarline")
}

fn run_size(
    binary: &Path,
    root: &Path,
    entries: usize,
    agents: usize,
) -> anyhow::Result<SizeResult> {
    let plan = make_plan(binary, root, entries, agents);
    let zone_of: BTreeMap<_, _> = plan
        .entries
        .iter()
        .map(|it| (it.name.clone(), it.zone.clone()))
        .chain(
            plan.agents
                .iter()
                .map(|it| (it.name.clone(), it.zone.clone())),
        )
        .collect();
    let mut fleet = ProcessFleet::prepare(plan)?;
    let names = fleet.process_names();
    let started = Instant::now();
    for name in &names {
        fleet.start_process(name)?;
    }
    let entry_names: Vec<_> = names.iter().filter(|it| it.starts_with("entry")).collect();
    fleet.wait_for(
        "every entry to discover all entries and agents",
        DISCOVERY_TIMEOUT,
        |it| {
            let is_complete = |name: &&&String| knows_full_fleet(it, name, entries, agents);
            entry_names
                .iter()
                .all(|name| is_complete(&name))
                .then_some(())
        },
    )?;
    let joined_ms = started.elapsed().as_millis() as u64;
    let histories = Mutex::new(BTreeMap::new());
    // The first exchange with each peer transfers the full state. It is a cost of joining and not of steady operation.
    std::thread::sleep(SETTLE_TIME);
    let (cost, reads, writes) = measure_cost(&mut fleet, &names)?;
    let highest_traffic = cost
        .iter()
        .max_by(|left, right| left.1.bytes.total_cmp(&right.1.bytes));
    if let Some((name, it)) = highest_traffic {
        println!(
            "highest traffic: {name}, {:.0} B/s in {:.0} messages/s",
            it.bytes, it.messages
        );
    }
    let latencies = measure_propagation(&fleet, &names, "all", TIMED_COMMANDS, &histories)?;

    let lost_zone = zone_of[entry_names[entry_names.len() - 1].as_str()].clone();
    for name in names.iter().filter(|it| zone_of[*it] == lost_zone) {
        fleet.process(name).kill();
    }
    let surviving: Vec<_> = names
        .iter()
        .filter(|it| zone_of[*it] != lost_zone)
        .cloned()
        .collect();
    let latencies_after_loss =
        measure_propagation(&fleet, &surviving, "loss", ZONE_LOSS_COMMANDS, &histories)?;

    let entry_cost: Vec<_> = cost
        .iter()
        .filter(|it| it.0.starts_with("entry"))
        .map(|it| *it.1)
        .collect();
    let agent_cost: Vec<_> = cost
        .iter()
        .filter(|it| !it.0.starts_with("entry"))
        .map(|it| *it.1)
        .collect();
    let reverts = histories
        .into_inner()
        .unwrap_or_default()
        .values()
        .map(|it: &RevisionHistory| it.reverts)
        .sum();
    let (entry, agent) = (
        RoleCost::from_samples(&entry_cost),
        RoleCost::from_samples(&agent_cost),
    );
    Ok(SizeResult {
        entries,
        agents,
        cpu_share_max: entry.cpu_share_max.max(agent.cpu_share_max),
        rss_mb_max: entry.rss_mb_max.max(agent.rss_mb_max),
        bytes_per_s_max: entry.bytes_per_s_max.max(agent.bytes_per_s_max),
        in_force_p50_ms: percentile(&latencies, 50),
        in_force_p99_ms: percentile(&latencies, 99),
        in_force_max_ms: percentile(&latencies, 100),
        lost_zone_in_force_max_ms: percentile(&latencies_after_loss, 100),
        table_reads_per_s: reads,
        table_writes_per_s: writes,
        reverts,
        joined_ms,
        entry,
        agent,
    })
}

fn make_plan(binary: &Path, root: &Path, entries: usize, agents: usize) -> FleetPlan {
    let dir = root.join("target/bench/control-fleet");
    let zones = entries.div_ceil(ENTRIES_PER_ZONE);
    let zone = |idx: usize| {
        (
            format!("zone-{}", idx % zones),
            format!("region-{}", idx % zones / 3),
        )
    };
    let mut plan = FleetPlan::uniform(binary.to_path_buf(), dir, 1, 0);
    plan.heartbeat = Duration::from_secs(1);
    plan.weight_bytes = 64 << 10;
    plan.chunk_bytes = 16 << 10;
    plan.entries = (0..entries)
        .map(|idx| {
            let (zone, region) = zone(idx);
            let name = format!("entry-{idx}");
            EntryPlan { name, zone, region }
        })
        .collect();
    plan.agents = (0..agents)
        .map(|idx| {
            let (zone, region) = zone(idx);
            AgentPlan {
                name: format!("stock-{idx}"),
                zone,
                region,
                target: TargetPlan::Service("stock".to_owned()),
            }
        })
        .collect();
    plan
}

/// Returns whether the entry `name` is ready and has discovered all other entries and all agents.
fn knows_full_fleet(fleet: &ProcessFleet, name: &str, entries: usize, agents: usize) -> bool {
    let Ok(state) = fleet.state(name) else {
        return false;
    };
    let count = |key: &str| state[key].as_array().map_or(0, Vec::len);
    state["own"]["ready"] == true && count("entries") + 1 >= entries && count("targets") >= agents
}

/// Measures the resource usage of every process and the table's reads and writes per second over `COST_WINDOW`.
///
/// One command is issued in the middle of the window.
fn measure_cost(
    fleet: &mut ProcessFleet,
    names: &[String],
) -> anyhow::Result<(BTreeMap<String, CostSample>, f64, f64)> {
    let mut before = BTreeMap::new();
    let table = fleet.table.counters();
    let start = Instant::now();
    for name in names {
        let pid = fleet.process(name).id();
        before.insert(name.clone(), (Instant::now(), read_cost(fleet, name, pid)?));
    }
    std::thread::sleep(COST_WINDOW / 2);
    fleet.command_until_accepted(&names[0], "set origin_copies 3", "window", IN_FORCE_TIMEOUT)?;
    std::thread::sleep(COST_WINDOW / 2);
    let mut cost = BTreeMap::new();
    for name in names {
        let pid = fleet.process(name).id();
        let (sampled_at, earlier) = before[name];
        let later = read_cost(fleet, name, pid)?;
        cost.insert(
            name.clone(),
            later.rates_since(&earlier, sampled_at.elapsed()),
        );
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = fleet.table.counters();
    let reads = (after.reads - table.reads) as f64 / seconds;
    let writes = (after.writes - table.writes) as f64 / seconds;
    Ok((cost, reads, writes))
}

/// Configuration revisions that one host has reported as in force.
#[derive(Default)]
struct RevisionHistory {
    highest: u64,
    /// Times that the host reported an older revision than `highest`.
    reverts: u64,
}

/// Issues `count` commands and returns the milliseconds from acceptance until in force, for each command and host.
fn measure_propagation(
    fleet: &ProcessFleet,
    names: &[String],
    label: &str,
    count: usize,
    histories: &Mutex<BTreeMap<String, RevisionHistory>>,
) -> anyhow::Result<Vec<u64>> {
    let mut all_latencies = Vec::new();
    let entries: Vec<_> = names.iter().filter(|it| it.starts_with("entry")).collect();
    for idx in 0..count {
        let text = format!("set origin_copies {}", idx + 2);
        let id = format!("{label}-{idx}");
        let entry = entries[idx * 7 % entries.len()];
        let response = fleet.command_until_accepted(entry, &text, &id, IN_FORCE_TIMEOUT)?;
        let accepted = Instant::now();
        let revision = response.body["revision"].as_u64().context("no revision")?;
        let host_latencies = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for thread_idx in 0..POLL_THREADS {
                let assigned: Vec<_> = names
                    .iter()
                    .skip(thread_idx)
                    .step_by(POLL_THREADS)
                    .collect();
                let host_latencies = &host_latencies;
                scope.spawn(move || {
                    poll_until_in_force(
                        fleet,
                        assigned,
                        revision,
                        accepted,
                        histories,
                        host_latencies,
                    )
                });
            }
        });
        all_latencies.extend(host_latencies.into_inner().unwrap_or_default());
    }
    Ok(all_latencies)
}

/// Polls the hosts in `pending` until `revision` is in force on each or the timeout has elapsed.
fn poll_until_in_force(
    fleet: &ProcessFleet,
    mut pending: Vec<&String>,
    revision: u64,
    accepted: Instant,
    histories: &Mutex<BTreeMap<String, RevisionHistory>>,
    host_latencies: &Mutex<Vec<u64>>,
) {
    while !pending.is_empty() {
        let timed_out = accepted.elapsed() > IN_FORCE_TIMEOUT;
        pending.retain(|name| {
            let current = revision_in_force(fleet, name);
            if let Some(current) = current {
                let mut histories = histories
                    .lock()
                    .expect("no thread panics while it holds the history lock");
                let host = histories.entry((*name).clone()).or_default();
                host.reverts += u64::from(current < host.highest);
                host.highest = host.highest.max(current);
            }
            let done = timed_out || current.is_some_and(|it| it >= revision);
            if done {
                let ms = accepted.elapsed().as_millis() as u64;
                host_latencies
                    .lock()
                    .expect("no thread panics while it holds the latency lock")
                    .push(ms);
            }
            !done
        });
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the revision that is in force on host `name`, or `None` if the host does not respond.
fn revision_in_force(fleet: &ProcessFleet, name: &str) -> Option<u64> {
    let state = fleet.state(name).ok()?;
    let section = if name.starts_with("entry") {
        "own"
    } else {
        "view"
    };
    state[section]["revision"].as_u64()
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(rank).copied().unwrap_or_default()
}
