//! `cargo xtask bench control`: what control costs, and how soon a command is in force, at growing sizes.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use anyhow::Context;
use standin::{AgentPlan, EntryPlan, FleetPlan, ProcessFleet, TargetPlan};

use crate::bench_control_report::{self, RoleCost, SizeResult};
use crate::bench_control_sample::{CostSample, read_cost};

/// Entries and agents of each run.
const SIZES: [(usize, usize); 4] = [(8, 25), (16, 50), (32, 100), (64, 200)];

/// Time over which costs are measured.
const COST_WINDOW: Duration = Duration::from_secs(10);

/// Time after the fleet has come together until costs are measured.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time for a fleet to come together.
const START_TIMEOUT: Duration = Duration::from_secs(90);

/// Time for a command to be in force; a host that takes longer counts with this time.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Commands whose way to every host is timed at each size.
const TIMED_COMMANDS: usize = 8;

/// Commands that are timed after a zone was lost.
const LOST_ZONE_COMMANDS: usize = 3;

/// Threads that look at the processes while a command is timed.
const WATCHERS: usize = 6;

/// Pause of a watcher between looks at its processes.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Entries in one zone.
const ENTRIES_PER_ZONE: usize = 4;

/// Runs every size, or only as many of the smallest ones as the argument says, and writes the results.
pub(crate) fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let limit = match args.first().and_then(|it| it.to_str()) {
        None => SIZES.len(),
        Some(text) => text.parse().context("the argument is a number of sizes")?,
    };
    let root = &repository_root();
    let binary = find_binary(root)?;
    std::fs::create_dir_all(root.join("target/bench"))?;
    let mut sizes = Vec::new();
    for (entries, agents) in SIZES.into_iter().take(limit) {
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
    fleet.wait_for("the fleet to come together", START_TIMEOUT, |it| {
        let whole = |name: &&&String| knows_all(it, name, entries, agents);
        entry_names.iter().all(|name| whole(&name)).then_some(())
    })?;
    let joined_ms = started.elapsed().as_millis() as u64;
    let seen = Mutex::new(BTreeMap::new());
    // The first exchanges with every peer are complete ones; they count as the cost of joining.
    std::thread::sleep(SETTLE_TIME);
    let (cost, reads, writes) = measure_cost(&mut fleet, &names)?;
    let busiest = cost
        .iter()
        .max_by(|left, right| left.1.bytes.total_cmp(&right.1.bytes));
    if let Some((name, it)) = busiest {
        println!(
            "busiest: {name}, {:.0} B/s in {:.0} messages/s",
            it.bytes, it.messages
        );
    }
    let timed = time_commands(&fleet, &names, "all", TIMED_COMMANDS, &seen)?;

    let lost = zone_of[entry_names[entry_names.len() - 1].as_str()].clone();
    for name in names.iter().filter(|it| zone_of[*it] == lost) {
        fleet.process(name).kill();
    }
    let living: Vec<_> = names
        .iter()
        .filter(|it| zone_of[*it] != lost)
        .cloned()
        .collect();
    let after_loss = time_commands(&fleet, &living, "loss", LOST_ZONE_COMMANDS, &seen)?;

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
    let reverts = seen
        .into_inner()
        .unwrap_or_default()
        .values()
        .map(|it: &Seen| it.reverts)
        .sum();
    let (entry, agent) = (RoleCost::of(&entry_cost), RoleCost::of(&agent_cost));
    Ok(SizeResult {
        entries,
        agents,
        cpu_share_max: entry.cpu_share_max.max(agent.cpu_share_max),
        rss_mb_max: entry.rss_mb_max.max(agent.rss_mb_max),
        bytes_per_s_max: entry.bytes_per_s_max.max(agent.bytes_per_s_max),
        in_force_p50_ms: percentile(&timed, 50),
        in_force_p99_ms: percentile(&timed, 99),
        in_force_max_ms: percentile(&timed, 100),
        lost_zone_in_force_max_ms: percentile(&after_loss, 100),
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

fn knows_all(fleet: &ProcessFleet, name: &str, entries: usize, agents: usize) -> bool {
    let Ok(state) = fleet.state(name) else {
        return false;
    };
    let count = |key: &str| state[key].as_array().map_or(0, Vec::len);
    state["own"]["ready"] == true && count("entries") + 1 >= entries && count("targets") >= agents
}

/// Measures the costs of every process over the window, during which one command is given.
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
        let (at, first) = before[name];
        let last = read_cost(fleet, name, pid)?;
        cost.insert(name.clone(), last.since(&first, at.elapsed()));
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = fleet.table.counters();
    let reads = (after.reads - table.reads) as f64 / seconds;
    let writes = (after.writes - table.writes) as f64 / seconds;
    Ok((cost, reads, writes))
}

/// The revisions of one host as they were seen.
#[derive(Default)]
struct Seen {
    highest: u64,
    reverts: u64,
}

/// Times commands from their acceptance until they are in force, on each host in milliseconds.
fn time_commands(
    fleet: &ProcessFleet,
    names: &[String],
    label: &str,
    count: usize,
    seen: &Mutex<BTreeMap<String, Seen>>,
) -> anyhow::Result<Vec<u64>> {
    let mut times = Vec::new();
    let entries: Vec<_> = names.iter().filter(|it| it.starts_with("entry")).collect();
    for idx in 0..count {
        let text = format!("set origin_copies {}", idx + 2);
        let id = format!("{label}-{idx}");
        let entry = entries[idx * 7 % entries.len()];
        let reply = fleet.command_until_accepted(entry, &text, &id, IN_FORCE_TIMEOUT)?;
        let accepted = Instant::now();
        let revision = reply.body["revision"].as_u64().context("no revision")?;
        let found = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for watcher in 0..WATCHERS {
                let own: Vec<_> = names.iter().skip(watcher).step_by(WATCHERS).collect();
                let found = &found;
                scope.spawn(move || watch(fleet, own, revision, accepted, seen, found));
            }
        });
        times.extend(found.into_inner().unwrap_or_default());
    }
    Ok(times)
}

fn watch(
    fleet: &ProcessFleet,
    mut waiting: Vec<&String>,
    revision: u64,
    accepted: Instant,
    seen: &Mutex<BTreeMap<String, Seen>>,
    found: &Mutex<Vec<u64>>,
) {
    while !waiting.is_empty() {
        let late = accepted.elapsed() > IN_FORCE_TIMEOUT;
        waiting.retain(|name| {
            let now = in_force_at(fleet, name);
            if let Some(now) = now {
                let mut seen = seen.lock().expect("no watcher panics");
                let host = seen.entry((*name).clone()).or_default();
                host.reverts += u64::from(now < host.highest);
                host.highest = host.highest.max(now);
            }
            let done = late || now.is_some_and(|it| it >= revision);
            if done {
                let ms = accepted.elapsed().as_millis() as u64;
                found.lock().expect("no watcher panics").push(ms);
            }
            !done
        });
        std::thread::sleep(WATCH_PAUSE);
    }
}

fn in_force_at(fleet: &ProcessFleet, name: &str) -> Option<u64> {
    let state = fleet.state(name).ok()?;
    let place = if name.starts_with("entry") {
        "own"
    } else {
        "view"
    };
    state[place]["revision"].as_u64()
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(rank).copied().unwrap_or_default()
}
