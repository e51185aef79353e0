//! Measures one distribution of weights among real agent processes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde::Serialize;
use standin::{
    AgentPlan, EngineOptions, EntryPlan, FleetPlan, LinkPlan, LoadGenerator, LoadOrganisation,
    LoadPlan, LoadReport, ProcessFleet, SwitchCounters, SwitchOptions, TargetPlan,
};

use crate::bench_spread::fault_script::FaultScript;

/// Fleet size, link rates and options of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct BenchPlan {
    pub(crate) hosts: usize,
    pub(crate) regions: usize,
    pub(crate) profile: String,
    pub(crate) faults: bool,
    pub(crate) only_regional: bool,
    pub(crate) weight_bytes: usize,
    pub(crate) chunk_bytes: u64,
    /// Time in which the link of the origin carries four copies and the link of a host two. Sets the link rates.
    pub(crate) window: Duration,
}

/// Strategy by which agents select the sources of chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Strategy {
    Regional,
    RandomPeers,
    BinaryTree,
    OriginOnly,
}

/// Measurements of one distribution.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SpreadResult {
    pub(crate) strategy: Strategy,
    /// Time until the last host was complete.
    pub(crate) time_to_n_ms: u64,
    /// Time until half of the hosts were complete.
    pub(crate) time_to_half_ms: u64,
    pub(crate) complete_hosts: usize,
    /// Hosts that the fault script did not kill.
    pub(crate) living_hosts: usize,
    /// Bytes sent by the origin, in copies of the weights.
    pub(crate) origin_copies: f64,
    /// Bytes sent by the host that sent most, in copies.
    pub(crate) max_host_sent_copies: f64,
    /// Bytes between the two regions that exchanged most, in copies.
    pub(crate) region_pair_copies: f64,
    pub(crate) token_gap_p95_ms: f64,
    /// Token gap under the same load without a distribution.
    pub(crate) quiet_token_gap_p95_ms: f64,
    /// Live requests that were answered completely and correctly.
    pub(crate) live_answered: usize,
    /// Live requests with an unknown outcome, or whose response ended early, was incorrect or mixed versions.
    pub(crate) live_lost: usize,
    /// Completion time of each complete host in milliseconds since the start, in ascending order.
    pub(crate) ready_ms: Vec<u64>,
}

impl Default for BenchPlan {
    fn default() -> Self {
        Self {
            hosts: 100,
            regions: 3,
            profile: "time".to_owned(),
            faults: false,
            only_regional: false,
            weight_bytes: 4 << 20,
            chunk_bytes: 32 << 10,
            window: Duration::from_secs(6),
        }
    }
}

impl BenchPlan {
    pub(crate) fn host_bytes_per_s(&self) -> f64 {
        2.0 * self.weight_bytes as f64 / self.window.as_secs_f64()
    }

    pub(crate) fn origin_bytes_per_s(&self) -> f64 {
        4.0 * self.weight_bytes as f64 / self.window.as_secs_f64()
    }

    /// Rate that weights may use between two regions; the other half of the link is reserved for other traffic.
    pub(crate) fn region_bytes_per_s(&self) -> f64 {
        2.0 * self.weight_bytes as f64 / self.window.as_secs_f64()
    }

    pub(crate) fn origin_copies(&self) -> f64 {
        if self.profile == "time" { 4.0 } else { 1.0 }
    }

    fn fleet_plan(&self, name: &str) -> anyhow::Result<FleetPlan> {
        let target = std::env::current_dir()?.join("target");
        let binary = std::env::var_os("FULMARLINE_BINARY").map(PathBuf::from);
        let binary = binary.unwrap_or_else(|| target.join("debug").join("fulmarline"));
        let mut plan = FleetPlan::uniform(binary, target.join("bench").join(name), self.regions, 0);
        plan.entries = (0..2 * self.regions)
            .map(|idx| EntryPlan {
                name: format!("entry-{}", idx + 1),
                zone: format!("zone-{}", idx % (2 * self.regions) + 1),
                region: format!("region-{}", idx % self.regions + 1),
            })
            .collect();
        plan.agents = (0..self.hosts)
            .map(|idx| AgentPlan {
                name: format!("model-{:03}", idx + 1),
                zone: format!("zone-{}", idx % (2 * self.regions) + 1),
                region: format!("region-{}", idx % self.regions + 1),
                target: TargetPlan::Engine(EngineOptions::default()),
            })
            .collect();
        plan.weight_bytes = self.weight_bytes;
        plan.chunk_bytes = self.chunk_bytes;
        plan.profile.clone_from(&self.profile);
        plan.links = Some(LinkPlan {
            options: SwitchOptions {
                region_bytes_per_s: Some(self.region_bytes_per_s()),
                local_delay: Duration::from_micros(500),
                region_delay: Duration::from_millis(3),
            },
            origin_bytes_per_s: self.origin_bytes_per_s(),
            host_bytes_per_s: self.host_bytes_per_s(),
            live_share: LIVE_SHARE,
            fetch_parallel: FETCH_PARALLEL,
        });
        Ok(plan)
    }
}

impl Strategy {
    pub(crate) const ALL: [Self; 4] = [
        Self::Regional,
        Self::RandomPeers,
        Self::BinaryTree,
        Self::OriginOnly,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Regional => "regional",
            Self::RandomPeers => "random-peers",
            Self::BinaryTree => "binary-tree",
            Self::OriginOnly => "origin-only",
        }
    }

    /// Returns the value of the parameter `spread_strategy` that selects this strategy.
    fn parameter_value(self) -> u8 {
        match self {
            Self::Regional => 0,
            Self::OriginOnly => 1,
            Self::BinaryTree => 2,
            Self::RandomPeers => 3,
        }
    }
}

impl SpreadResult {
    pub(crate) fn is_complete(&self) -> bool {
        self.complete_hosts == self.living_hosts
    }
}

/// Measures the distribution of `v2` to a fleet that serves `v1`.
pub(crate) fn measure(plan: &BenchPlan, strategy: Strategy) -> anyhow::Result<SpreadResult> {
    let mut fleet = ProcessFleet::start(plan.fleet_plan(strategy.name())?)?;
    let hosts: Vec<String> = fleet.engines.keys().cloned().collect();
    warm_up(&fleet, plan)?;
    let baseline_report = LoadGenerator::run(fleet.runtime(), load_plan(&fleet), BASELINE_TIME);
    let command = format!("set spread_strategy {}", strategy.parameter_value());
    fleet.command_until_accepted("entry-1", &command, "strategy", SETUP_TIMEOUT)?;
    std::thread::sleep(PROPAGATION_TIME);

    let before = transfer_counters(&fleet);
    let live_load = LoadGenerator::start(fleet.runtime(), load_plan(&fleet));
    let start_ms = time_of_day_now_ms();
    let start = Instant::now();
    fleet.command_until_accepted("entry-1", "rollout demo v2", "rollout-2", SETUP_TIMEOUT)?;
    let mut script = plan.faults.then(|| FaultScript::start(plan.window, &hosts));
    let surviving_hosts: Vec<String> = match &script {
        Some(it) => hosts
            .iter()
            .filter(|host| !it.killed_hosts().contains(host))
            .cloned()
            .collect(),
        None => hosts.clone(),
    };
    let limit = plan.window * MAX_WINDOWS;
    loop {
        if let Some(script) = &mut script {
            script.run_due_steps(&mut fleet, &hosts);
        }
        std::thread::sleep(POLL_INTERVAL);
        let ready = completion_times(&mut fleet, &surviving_hosts, start_ms);
        if ready.len() == surviving_hosts.len() || start.elapsed() > limit {
            break;
        }
    }
    let live_report = live_load.finish();
    let after = transfer_counters(&fleet);
    let ready = completion_times(&mut fleet, &surviving_hosts, start_ms);
    Ok(make_result(
        plan,
        strategy,
        &surviving_hosts,
        ready,
        [&before, &after],
        &baseline_report,
        &live_report,
    ))
}

/// Rolls `v1` out and waits until every engine serves it and every entry sees all targets as open.
fn warm_up(fleet: &ProcessFleet, plan: &BenchPlan) -> anyhow::Result<()> {
    fleet.command_until_accepted("entry-1", "rollout demo v1", "rollout-1", SETUP_TIMEOUT)?;
    fleet.wait_for("v1 everywhere", SETUP_TIMEOUT, |it| {
        it.all_engines_serve("v1", &[]).then_some(())
    })?;
    fleet.wait_for("open targets", SETUP_TIMEOUT, |it| {
        it.entries_see_targets(plan.hosts).then_some(())
    })
}

/// Returns the plan of the streams that run before and during the distribution.
fn load_plan(fleet: &ProcessFleet) -> LoadPlan {
    LoadPlan {
        bootstrap_entries: fleet.callers(),
        organisations: vec![LoadOrganisation {
            name: "north".to_owned(),
            token: "token-north".to_owned(),
            weight: 1,
        }],
        streams_per_s: LIVE_STREAMS_PER_S,
        tokens: 40,
        ..LoadPlan::default()
    }
}

/// Returns the bytes that peers sent each other through the link switch, and the copies of `v2` that the origin sent.
fn transfer_counters(fleet: &ProcessFleet) -> (SwitchCounters, f64) {
    let chunks = fleet.switch.as_ref().map(|it| it.route_counters("peers"));
    (
        chunks.unwrap_or_default(),
        fleet.origin.served_copies("demo", "v2"),
    )
}

/// Reads from the agents' logs when each host completed `v2`, in milliseconds since the time of day `start_ms`.
fn completion_times(
    fleet: &mut ProcessFleet,
    hosts: &[String],
    start_ms: u64,
) -> BTreeMap<String, u64> {
    let version = fleet.manifests["v2"].version().to_string();
    let mut times = BTreeMap::new();
    for host in hosts {
        let text = fleet.process(host).log_text();
        let mut lines = text.lines().filter(|it| it.contains("version is complete"));
        if let Some(line) = lines.find(|it| it.contains(&version))
            && let Some(at) = parse_time_of_day_ms(line)
        {
            times.insert(host.clone(), (at + DAY_MS - start_ms) % DAY_MS);
        }
    }
    times
}

fn make_result(
    plan: &BenchPlan,
    strategy: Strategy,
    surviving_hosts: &[String],
    ready: BTreeMap<String, u64>,
    [before, after]: [&(SwitchCounters, f64); 2],
    baseline_report: &LoadReport,
    live_report: &LoadReport,
) -> SpreadResult {
    let copy_bytes = plan.weight_bytes as f64;
    let sent = |it: &SwitchCounters, host: &str| it.hosts.get(host).map_or(0, |it| it.sent);
    // The sent bytes of a host include its requests for chunks, a few hundred bytes per chunk.
    let max_sent = after
        .0
        .hosts
        .keys()
        .map(|it| sent(&after.0, it) - sent(&before.0, it))
        .max();
    let pairs = after
        .0
        .regions
        .iter()
        .map(|(pair, bytes)| bytes - before.0.regions.get(pair).copied().unwrap_or(0));
    let mut ready_ms: Vec<u64> = ready.into_values().collect();
    ready_ms.sort_unstable();
    let gap_ms = |it: &LoadReport| it.token_gap_us.value_at_quantile(0.95) as f64 / 1000.0;
    let totals = &live_report.totals;
    SpreadResult {
        strategy,
        time_to_n_ms: ready_ms.last().copied().unwrap_or(0),
        time_to_half_ms: ready_ms.get(ready_ms.len() / 2).copied().unwrap_or(0),
        complete_hosts: ready_ms.len(),
        living_hosts: surviving_hosts.len(),
        origin_copies: after.1,
        max_host_sent_copies: max_sent.unwrap_or(0) as f64 / copy_bytes,
        region_pair_copies: pairs.max().unwrap_or(0) as f64 / copy_bytes,
        token_gap_p95_ms: gap_ms(live_report),
        quiet_token_gap_p95_ms: gap_ms(baseline_report),
        live_answered: totals.answered,
        live_lost: totals.unknown + totals.error_ends + totals.cut + totals.wrong + totals.mixed,
        ready_ms,
    }
}

/// Returns the time of day in milliseconds since midnight UTC, as in the timestamps of the logs.
fn time_of_day_now_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64 % DAY_MS
}

/// Parses the time of day in milliseconds from the timestamp of a JSON log line, `"ts":"2026-01-31T12:34:56.789..."`.
fn parse_time_of_day_ms(line: &str) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let text = value.get("ts")?.as_str()?.split('T').nth(1)?;
    let hours: u64 = text.get(0..2)?.parse().ok()?;
    let minutes: u64 = text.get(3..5)?.parse().ok()?;
    let millis: u64 =
        text.get(6..8)?.parse::<u64>().ok()? * 1000 + text.get(9..12)?.parse::<u64>().ok()?;
    Some((hours * 60 + minutes) * 60_000 + millis)
}

/// Milliseconds per day.
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Share of a host's link that the agents reserve for live requests.
const LIVE_SHARE: f64 = 0.05;

/// Number of chunks that an agent fetches concurrently.
const FETCH_PARALLEL: usize = 5;

/// Streams per second in the load of live requests.
const LIVE_STREAMS_PER_S: f64 = 20.0;

/// Duration of the baseline load without a distribution.
const BASELINE_TIME: Duration = Duration::from_secs(4);

/// Timeout for each step before the distribution.
const SETUP_TIMEOUT: Duration = Duration::from_secs(90);

/// Time for the strategy to propagate to every entry.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Interval between reads of the agents' logs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of windows after which an incomplete distribution is aborted.
const MAX_WINDOWS: u32 = 30;
