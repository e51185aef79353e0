//! Follows the operator's rows for the weights that the replica is to serve.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedTable, RouteTable, SwitchDeadlines, WeightOrigin};
use platform::{CONFIG_KEY, VERSION_PREFIX};
use slog::{info, warn};

use crate::agent_shared::{AgentShared, AgentState, WeightTarget};
use crate::feed_reader;

/// Follows the rows for as long as the process lives.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    // A configuration may be large, and entries of the zone pass it on.
    let _ = tokio::time::timeout(START_WAIT, shared.told.notified()).await;
    let mut failures = 0_u32;
    let mut table: Option<RouteTable> = None;
    let mut versions: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        if table.is_some() && is_told(&shared) {
            for (model, told) in &shared.state().told {
                let known = versions.entry(model.clone()).or_default();
                *known = told.keys().copied().max().unwrap_or(0).max(*known);
            }
            aim(&shared, table.as_ref(), &versions);
            // A message and its absence lead to the same look.
            let _ = tokio::time::timeout(TOLD_LIFETIME, shared.told.notified()).await;
            continue;
        }
        let reading = feed_reader::refresh(&shared, FeedTable::Operator, FEED_WAIT);
        let result = tokio::select! {
            result = reading => result,
            // Entries are heard again, and the store may be silent for long.
            () = shared.told.notified(), if table.is_some() => continue,
        };
        match result {
            Ok(changes) => {
                if failures > 0 {
                    info!(shared.log, "operator's rows regained"; "failures" => failures);
                }
                failures = 0;
                for change in &changes {
                    let Some(bytes) = &change.value else {
                        continue;
                    };
                    if let Err(err) = take(&change.key, bytes, &mut table, &mut versions) {
                        warn!(shared.log, "operator's row skipped"; "key" => &change.key, "error" => format!("{err:#}"));
                    }
                }
                aim(&shared, table.as_ref(), &versions);
            }
            Err(why) => {
                if failures == 0 {
                    warn!(shared.log, "operator's rows lost"; "error" => why);
                }
                failures += 1;
                let pause = fleet::retry_backoff(failures, rand::random());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Says whether entries tell of declarations, so that the store need not be asked.
fn is_told(shared: &AgentShared) -> bool {
    shared
        .state()
        .told_at
        .is_some_and(|it| it.elapsed() < TOLD_LIFETIME)
}

fn take(
    key: &str,
    bytes: &[u8],
    table: &mut Option<RouteTable>,
    versions: &mut BTreeMap<String, u64>,
) -> anyhow::Result<()> {
    if key == CONFIG_KEY {
        let read = platform::decode_config(bytes)?;
        if table
            .as_ref()
            .is_none_or(|it| it.version() < read.version())
        {
            *table = Some(read);
        }
    } else if key.starts_with(VERSION_PREFIX) {
        let (model, version) = platform::decode_declared_version(bytes)?;
        let known = versions.entry(model).or_default();
        *known = version.max(*known);
    }
    Ok(())
}

fn aim(shared: &AgentShared, table: Option<&RouteTable>, versions: &BTreeMap<String, u64>) {
    let Some(table) = table else {
        return;
    };
    let service = shared
        .settings
        .replica_service
        .as_deref()
        .unwrap_or_default();
    let Some(engine) = table.service(service).and_then(|it| it.engine.as_ref()) else {
        return;
    };
    let version = versions
        .get(&engine.model)
        .copied()
        .unwrap_or(FIRST_VERSION);
    let origins: Vec<(&WeightOrigin, u32)> = table
        .services()
        .filter_map(|it| {
            let connections = it.max_connections.unwrap_or(DEFAULT_CONNECTIONS);
            Some((it.origin.as_ref()?, connections))
        })
        .collect();
    let connections = origins.iter().map(|it| it.1).min().unwrap_or(1);
    let origin_zone = origins.first().and_then(|it| it.0.zone.as_ref());
    let target = WeightTarget {
        model: engine.model.clone(),
        version,
        origins: origins.iter().map(|it| it.0.address).collect(),
        origin_connections: usize::try_from(connections).unwrap_or(usize::MAX),
        origin_region: origin_zone.and_then(|it| shared.settings.regions.get(it).cloned()),
    };
    let mut state = shared.state();
    note_times(&mut state, &target, shared.settings.bounds.version_switch);
    if state.target.as_ref() == Some(&target) {
        return;
    }
    info!(
        shared.log, "weights wanted";
        "model" => &target.model,
        "version" => target.version,
        "missing_before" => state.book.missing().len(),
    );
    state.target = Some(target);
    drop(state);
    shared.wanted.notify_one();
}

/// Brings the deadlines of the target's model up to date.
fn note_times(state: &mut AgentState, target: &WeightTarget, switch_time: Duration) {
    let now = Instant::now();
    let is_other_model = |it: &WeightTarget| it.model != target.model;
    if state.target.as_ref().is_some_and(is_other_model) {
        state.deadlines = SwitchDeadlines::new(switch_time);
    }
    let told = state.told.get(&target.model);
    for (version, known) in told.into_iter().flatten() {
        match known {
            Some(known) => state.deadlines.declare(*version, *known),
            None => state.deadlines.declare_at_unknown_time(*version, now),
        }
    }
    state.deadlines.declare(target.version, now);
}

/// Connections of an origin that states no bound; that of the deployments that were described.
const DEFAULT_CONNECTIONS: u32 = 48;

/// Silence of entries after which the store is asked again; three of their messages.
const TOLD_LIFETIME: Duration = Duration::from_millis(2200);

/// Time for an entry to tell of itself after the start; entries do so every 0.7 s once the replica is listed.
const START_WAIT: Duration = Duration::from_millis(1500);

/// Version of weights before any was declared.
const FIRST_VERSION: u64 = 1;

/// Time that the store holds a question for changes. Agents enforce no bound on the age of the configuration, so only a
/// connection that went silent has to be noticed, well within the bound on declared weights (8 s).
const FEED_WAIT: Duration = Duration::from_millis(6000);
