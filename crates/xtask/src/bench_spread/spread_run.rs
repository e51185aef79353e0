//! One measured spread with real agent processes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde::Serialize;
use standin::{
    AgentPlan, EngineOptions, EntryPlan, FleetPlan, LinkPlan, LoadGenerator, LoadOrganisation,
    LoadPlan, LoadReport, ProcessFleet, SwitchCounters, SwitchOptions, TargetPlan,
};

use crate::bench_spread::fault_script::FaultScript;

/// Size and speeds of the bench.
#[derive(Clone, Debug)]
pub(crate) struct BenchPlan {
    pub(crate) hosts: usize,
    pub(crate) regions: usize,
    pub(crate) profile: String,
    pub(crate) faults: bool,
    pub(crate) only_regional: bool,
    pub(crate) weight_bytes: usize,
    pub(crate) chunk_bytes: u64,
    /// Time in which the origin's link carries four copies and a host's link two.
    pub(crate) window: Duration,
}

/// How chunks find their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Strategy {
    Regional,
    RandomPeers,
    BinaryTree,
    OriginOnly,
}

/// What one spread took.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SpreadResult {
    pub(crate) strategy: Strategy,
    pub(crate) time_to_n_ms: u64,
    pub(crate) time_to_half_ms: u64,
    pub(crate) complete_hosts: usize,
    pub(crate) living_hosts: usize,
    pub(crate) origin_copies: f64,
    pub(crate) max_host_sent_copies: f64,
    pub(crate) region_pair_copies: f64,
    pub(crate) token_gap_p95_ms: f64,
    pub(crate) quiet_token_gap_p95_ms: f64,
    pub(crate) live_answered: usize,
    pub(crate) live_lost: usize,
    /// When each host was complete, in milliseconds since the start.
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

    /// Half of a link between regions is left to all other traffic.
    pub(crate) fn region_bytes_per_s(&self) -> f64 {
        2.0 * self.weight_bytes as f64 / self.window.as_secs_f64()
    }

    pub(crate) fn origin_copies(&self) -> f64 {
        if self.profile == "time" { 4.0 } else { 1.0 }
    }

    fn fleet(&self, name: &str) -> anyhow::Result<FleetPlan> {
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

    /// The value of the parameter `spread_strategy`.
    fn number(self) -> u8 {
        match self {
            Self::Regional => 0,
            Self::OriginOnly => 1,
            Self::BinaryTree => 2,
            Self::RandomPeers => 3,
        }
    }
}

impl SpreadResult {
    pub(crate) fn is_whole(&self) -> bool {
        self.complete_hosts == self.living_hosts
    }
}

/// Measures one spread of `v2` over a fleet that serves `v1`.
pub(crate) fn measure(plan: &BenchPlan, strategy: Strategy) -> anyhow::Result<SpreadResult> {
    let mut fleet = ProcessFleet::start(plan.fleet(strategy.name())?)?;
    let hosts: Vec<String> = fleet.engines.keys().cloned().collect();
    warm_up(&fleet, plan)?;
    let quiet = LoadGenerator::run(fleet.runtime(), load(&fleet), QUIET_TIME);
    let command = format!("set spread_strategy {}", strategy.number());
    fleet.command_until_accepted("entry-1", &command, "strategy", PATIENCE)?;
    std::thread::sleep(SETTLE);

    let before = counters(&fleet);
    let live = LoadGenerator::start(fleet.runtime(), load(&fleet));
    let began = wall_clock();
    let start = Instant::now();
    fleet.command_until_accepted("entry-1", "rollout demo v2", "rollout-2", PATIENCE)?;
    let mut script = plan.faults.then(|| FaultScript::start(plan.window, &hosts));
    let living: Vec<String> = match &script {
        Some(it) => hosts
            .iter()
            .filter(|host| !it.lost().contains(host))
            .cloned()
            .collect(),
        None => hosts.clone(),
    };
    let limit = plan.window * LONGEST_IN_WINDOWS;
    loop {
        if let Some(script) = &mut script {
            script.advance(&mut fleet, &hosts);
        }
        std::thread::sleep(LOOK);
        let ready = complete_times(&mut fleet, &living, began);
        if ready.len() == living.len() || start.elapsed() > limit {
            break;
        }
    }
    let spread_report = live.finish();
    let after = counters(&fleet);
    let ready = complete_times(&mut fleet, &living, began);
    Ok(result(
        plan,
        strategy,
        &living,
        ready,
        [&before, &after],
        &quiet,
        &spread_report,
    ))
}

/// Brings `v1` to all hosts.
fn warm_up(fleet: &ProcessFleet, plan: &BenchPlan) -> anyhow::Result<()> {
    fleet.command_until_accepted("entry-1", "rollout demo v1", "rollout-1", PATIENCE)?;
    fleet.wait_for("v1 everywhere", PATIENCE, |it| {
        it.all_engines_serve("v1", &[]).then_some(())
    })?;
    fleet.wait_for("open targets", PATIENCE, |it| {
        it.entries_see_targets(plan.hosts).then_some(())
    })
}

fn load(fleet: &ProcessFleet) -> LoadPlan {
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

/// Bytes of chunks that passed the switch, from peers and from the origin.
fn counters(fleet: &ProcessFleet) -> (SwitchCounters, f64) {
    let chunks = fleet.switch.as_ref().map(|it| it.route_counters("peers"));
    (
        chunks.unwrap_or_default(),
        fleet.origin.served_copies("demo", "v2"),
    )
}

/// Reads from the agents' logs when each was complete, in milliseconds since `began`.
fn complete_times(fleet: &mut ProcessFleet, hosts: &[String], began: u64) -> BTreeMap<String, u64> {
    let version = fleet.manifests["v2"].version().to_string();
    let mut times = BTreeMap::new();
    for host in hosts {
        let text = fleet.process(host).log_text();
        let mut lines = text.lines().filter(|it| it.contains("version is complete"));
        if let Some(line) = lines.find(|it| it.contains(&version))
            && let Some(at) = time_of_day_ms(line)
        {
            times.insert(host.clone(), (at + DAY_MS - began) % DAY_MS);
        }
    }
    times
}

fn result(
    plan: &BenchPlan,
    strategy: Strategy,
    living: &[String],
    ready: BTreeMap<String, u64>,
    [before, after]: [&(SwitchCounters, f64); 2],
    quiet: &LoadReport,
    live: &LoadReport,
) -> SpreadResult {
    let copy = plan.weight_bytes as f64;
    let sent = |it: &SwitchCounters, host: &str| it.hosts.get(host).map_or(0, |it| it.sent);
    // Requests for chunks are counted with what a host sends; they are a few hundred bytes for each chunk.
    let most_sent = after
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
    let totals = &live.totals;
    SpreadResult {
        strategy,
        time_to_n_ms: ready_ms.last().copied().unwrap_or(0),
        time_to_half_ms: ready_ms.get(ready_ms.len() / 2).copied().unwrap_or(0),
        complete_hosts: ready_ms.len(),
        living_hosts: living.len(),
        origin_copies: after.1,
        max_host_sent_copies: most_sent.unwrap_or(0) as f64 / copy,
        region_pair_copies: pairs.max().unwrap_or(0) as f64 / copy,
        token_gap_p95_ms: gap_ms(live),
        quiet_token_gap_p95_ms: gap_ms(quiet),
        live_answered: totals.answered,
        live_lost: totals.unknown + totals.error_ends + totals.cut + totals.wrong + totals.mixed,
        ready_ms,
    }
}

/// Milliseconds since midnight, as the logs count them.
fn wall_clock() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64 % DAY_MS
}

/// Reads the time of day of a log line, `"ts":"2026-01-31T12:34:56.789..."`.
fn time_of_day_ms(line: &str) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let text = value.get("ts")?.as_str()?.split('T').nth(1)?;
    let hours: u64 = text.get(0..2)?.parse().ok()?;
    let minutes: u64 = text.get(3..5)?.parse().ok()?;
    let millis: u64 =
        text.get(6..8)?.parse::<u64>().ok()? * 1000 + text.get(9..12)?.parse::<u64>().ok()?;
    Some((hours * 60 + minutes) * 60_000 + millis)
}

/// Milliseconds of a day.
const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// Share of a host's link that the agents leave for live requests.
const LIVE_SHARE: f64 = 0.05;

/// Chunks that an agent fetches at once.
const FETCH_PARALLEL: usize = 5;

/// Streams asked for in a second by the live load.
const LIVE_STREAMS_PER_S: f64 = 20.0;

/// Time of the load without a spread.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// Longest wait for anything before the spread.
const PATIENCE: Duration = Duration::from_secs(90);

/// Pause in which the strategy reaches every entry.
const SETTLE: Duration = Duration::from_secs(2);

/// Time between looks at the agents' logs.
const LOOK: Duration = Duration::from_millis(200);

/// Windows after which a spread is given up.
const LONGEST_IN_WINDOWS: u32 = 30;
