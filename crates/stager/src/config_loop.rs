//! Determines from the configuration and the declared versions which weights the replica is to serve.

use std::sync::Arc;
use std::time::Duration;

use fleet::{
    ConfigHistory, DeclaredWeights, FeedChange, FeedTable, RouteTable, SWITCH_RESERVE,
    StoreInterval, SwitchDeadlines, WeightOrigin,
};
use platform::{CONFIG_KEY, VERSION_PREFIX};
use slog::{info, warn};

use crate::agent_shared::{AgentShared, AgentState, WeightTarget};
use crate::{declaration_loop, feed_reader};

/// Updates the target for the lifetime of the process.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    // The configuration may be large, so prefer to read it from an entry of the availability zone.
    let _ = tokio::time::timeout(INITIAL_WAIT, shared.declarations_received.notified()).await;
    let mut failures = 0_u32;
    let mut routes: Option<RouteTable> = None;
    let mut history = ConfigHistory::default();
    loop {
        if routes.is_some() && are_declarations_current(&shared) {
            update_target(&shared, routes.as_ref());
            // A message and the timeout are handled alike.
            let _ =
                tokio::time::timeout(DECLARATION_TIMEOUT, shared.declarations_received.notified())
                    .await;
            continue;
        }
        let update = feed_reader::refresh(&shared, FeedTable::Operator, LONG_POLL_TIMEOUT);
        let result = tokio::select! {
            result = update => result,
            // Messages from entries arrive again; a request to the store may take long to fail.
            () = shared.declarations_received.notified(), if routes.is_some() => continue,
        };
        match result {
            Ok(changes) => {
                if failures > 0 {
                    info!(shared.log, "operator table available again"; "failures" => failures);
                }
                failures = 0;
                for change in &changes {
                    let applied = apply_row(&shared, change, &mut routes, &mut history);
                    if let Err(err) = applied {
                        warn!(shared.log, "invalid operator row ignored"; "key" => &change.key, "error" => format!("{err:#}"));
                    }
                }
                update_target(&shared, routes.as_ref());
            }
            Err(err) => {
                if failures == 0 {
                    warn!(shared.log, "operator table unavailable"; "error" => err);
                }
                failures += 1;
                let delay = fleet::retry_backoff(failures, rand::random());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Returns whether entries currently send declarations, so that the store need not be read.
fn are_declarations_current(shared: &AgentShared) -> bool {
    shared
        .state()
        .declarations_received_at
        .is_some_and(|it| it.elapsed() < DECLARATION_TIMEOUT)
}

fn apply_row(
    shared: &AgentShared,
    change: &FeedChange,
    routes: &mut Option<RouteTable>,
    history: &mut ConfigHistory,
) -> anyhow::Result<()> {
    let Some(bytes) = &change.value else {
        return Ok(());
    };
    if change.key == CONFIG_KEY {
        let decoded = platform::decode_config(bytes)?;
        if history.accepts(decoded.version(), bytes) {
            *routes = Some(decoded);
        }
    } else if change.key.starts_with(VERSION_PREFIX) {
        let (model, version) = platform::decode_declared_version(bytes)?;
        let weights = DeclaredWeights {
            model,
            version,
            declared: change.committed,
        };
        declaration_loop::record_declaration(shared, &mut shared.state(), &weights);
    }
    Ok(())
}

fn update_target(shared: &AgentShared, routes: Option<&RouteTable>) {
    let Some(routes) = routes else {
        return;
    };
    let service = shared
        .settings
        .replica_service
        .as_deref()
        .unwrap_or_default();
    let Some(engine) = routes.service(service).and_then(|it| it.engine.as_ref()) else {
        return;
    };
    let newest = shared.state().declarations.newest(&engine.model);
    let newest = newest.unwrap_or(INITIAL_VERSION);
    let origins: Vec<&WeightOrigin> = routes
        .services()
        .filter_map(|it| it.origin.as_ref())
        .collect();
    let origin_zone = origins.first().and_then(|it| it.zone.as_ref());
    let mut target = WeightTarget {
        model: engine.model.clone(),
        version: newest,
        origins: origins.iter().map(|it| it.address).collect(),
        origin_region: origin_zone.and_then(|it| shared.settings.regions.get(it).cloned()),
    };
    let mut state = shared.state();
    update_deadlines(&mut state, &target, shared.settings.bounds.version_switch);
    let serving = state.serving.iter().flatten();
    let serving = serving
        .filter(|it| it.name == target.model)
        .map(|it| it.version);
    let serving = serving.max().max(state.ordered_version);
    let staged_share = |version: u64| {
        let staged = state.staged_pieces.pieces(&target.model, version);
        staged.map_or(0.0, |it| it.count() as f64 / it.len().max(1) as f64)
    };
    let deadlines = &state.deadlines;
    let now = state.latest_store_time();
    target.version = deadlines.version_to_load(serving, staged_share, now);
    if state.target.as_ref() == Some(&target) {
        return;
    }
    info!(
        shared.log, "weights wanted";
        "model" => &target.model,
        "version" => target.version,
        "newest" => newest,
        "serving" => serving,
        "missing_before" => state.staged_pieces.missing_count(),
    );
    state.target = Some(target);
    drop(state);
    shared.target_changed.notify_one();
}

/// Updates the deadlines of the target's model.
fn update_deadlines(state: &mut AgentState, target: &WeightTarget, switch_bound: Duration) {
    let mut deadlines = SwitchDeadlines::new(switch_bound, SWITCH_RESERVE);
    for (model, version, declared) in state.declarations.all() {
        if model == target.model {
            deadlines.declare(version, declared);
        }
    }
    deadlines.declare(target.version, StoreInterval::UNKNOWN);
    state.deadlines = deadlines;
}

/// Time without a message from entries after which the store is read; three message intervals.
const DECLARATION_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time to wait for the first message of an entry after the start. Entries send one every 0.7 s once the replica is
/// registered, which takes up to two seconds.
const INITIAL_WAIT: Duration = Duration::from_millis(3000);

/// Version of the weights of a model without a declared version.
const INITIAL_VERSION: u64 = 1;

/// Maximum time for which the store holds a long poll. Agents enforce no maximum age of the configuration, so it only
/// has to be short enough to detect a connection that hangs, well before the deadline for declared weights (8 s).
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(6000);
