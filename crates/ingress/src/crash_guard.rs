//! Collects evidence about requests that crash replicas, and refuses requests because of it.
//!
//! The conclusions are those of [`routing::CrashTable`]; see `docs/decisions/0045-requests-that-crash-replicas.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{LogKind, Replica, ReplicaState, RouteTable};
use relay::boot_clock;
use routing::{
    CrashConclusion, CrashDigest, DigestSource, LifetimeId, MergeEffect, PartAdmission, PartChange,
    PartId, PoolId,
};
use slog::{info, warn};

use crate::client_call::ClientCall;
use crate::crash_probe;
use crate::entry_shared::{EntryShared, EntryState};
use crate::refusal::Refusal;

/// A connection to a replica that broke during requests, until it is known whether the replica has ended.
#[derive(Debug)]
pub(crate) struct BrokenReplica {
    broke_at: Instant,
    pool: PoolId,
    /// Shared parts of the requests that the replica was about to begin or had just begun.
    parts: Vec<PartId>,
    /// Held parts that one of these requests was a trial of.
    trials: Vec<PartId>,
}

/// Marks a request as the only one with a suspected or held part that this entry sends, until it ends.
#[derive(Debug)]
pub(crate) struct TrialGuard {
    shared: Arc<EntryShared>,
    part: PartId,
    /// Whether the part is held back, so that the outcome decides about the hold.
    is_held: bool,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.shared.state().trials.remove(&self.part);
    }
}

/// Decides whether `call` may be sent to a replica.
///
/// # Errors
///
/// Returns the refusal if a part of its prompt is held back, or is suspected and another request with it is under way.
pub(crate) fn admit(shared: &Arc<EntryShared>, call: &ClientCall) -> Result<(), Refusal> {
    if call.parts.is_empty() {
        return Ok(());
    }
    let now = Instant::now();
    let mut state = shared.state();
    let version = pool_version(&state, call.pool);
    let admission = state.crashes.admission(now, &call.parts, version);
    let (part, is_held) = match admission {
        PartAdmission::Clear => return Ok(()),
        PartAdmission::Held(part, remaining) => {
            drop(state);
            log_refusal(shared, call, part, "held");
            return Err(Refusal::HeldBack(remaining.min(MAX_RETRY_DELAY)));
        }
        PartAdmission::TrialDue(part) => (part, true),
        PartAdmission::Suspected(part) => (part, false),
    };
    let may_try = if is_held {
        let entries = state.peers.alive(now).map(|it| it.node.as_str());
        part.is_owned_by(&shared.settings.node, entries) && !state.trials.contains(&part)
    } else {
        state.crashes.try_begin_trial(now, part, rand::random())
    };
    if !may_try {
        drop(state);
        log_refusal(
            shared,
            call,
            part,
            if is_held { "trial" } else { "suspected" },
        );
        return Err(Refusal::Suspected);
    }
    state.trials.insert(part);
    drop(state);
    let kind = if is_held { "held" } else { "suspected" };
    info!(shared.log, "trial with a {} part", kind; "request" => call.id(), "part" => part.to_string());
    if !is_held {
        notify_peers(shared);
    }
    let guard = TrialGuard {
        shared: shared.clone(),
        part,
        is_held,
    };
    call.begin_trial(guard);
    Ok(())
}

/// Returns whether a request that broke off at its start may be sent to another replica.
pub(crate) fn may_retry(shared: &EntryShared, call: &ClientCall) -> bool {
    call.parts.is_empty() || shared.state().crashes.may_retry(&call.parts)
}

/// Returns whether a part of `call` is held back and the call is no trial of it.
pub(crate) fn is_held_back(shared: &EntryShared, call: &ClientCall) -> bool {
    let is_trial = call.trial().is_some_and(|it| it.is_held);
    !is_trial && shared.state().crashes.is_held(&call.parts)
}

/// Waits until a part of `call` is held back.
pub(crate) async fn held_back(shared: &EntryShared, call: &ClientCall) {
    let mut holds = shared.holds_changed.subscribe();
    while call.parts.is_empty() || !is_held_back(shared, call) {
        if holds.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Records that the connection to `replica` broke during `call`, and finds out whether the replica has ended. `is_start`
/// tells whether the request had not begun or had only just begun.
pub(crate) fn record_break(
    shared: &Arc<EntryShared>,
    call: &ClientCall,
    replica: &Replica,
    is_start: bool,
) {
    let mut state = shared.state();
    let is_probed = state.broken_replicas.contains_key(&replica.id);
    let broken = state.broken_replicas.entry(replica.id.clone());
    let broken = broken.or_insert_with(|| BrokenReplica {
        broke_at: Instant::now(),
        pool: call.pool,
        parts: Vec::new(),
        trials: Vec::new(),
    });
    if is_start {
        broken.parts.extend(&call.parts);
        let trial = call.trial().filter(|it| it.is_held);
        broken.trials.extend(trial.map(|it| it.part));
    }
    drop(state);
    if !is_probed {
        crash_probe::start(shared, replica);
    }
}

/// Records the result of the probe of `replica` after its connection broke.
pub(crate) fn record_probe(shared: &EntryShared, replica: &Replica, has_ended: bool) {
    let now = Instant::now();
    let mut state = shared.state();
    let Some(broken) = state.broken_replicas.remove(&replica.id) else {
        return;
    };
    if !has_ended {
        return;
    }
    let id = LifetimeId::new(&replica.id, replica.started_ms);
    let (at, pool) = (broken.broke_at, broken.pool);
    let version = pool_version(&state, pool);
    let mut is_changed = state.crashes.record_crash(at, id, pool, &broken.parts);
    for part in &broken.trials {
        state.crashes.record_failed_trial(now, *part, version);
        is_changed = true;
    }
    drop(state);
    for part in broken.trials {
        warn!(shared.log, "trial failed, part stays held"; "part" => part.to_string(), "replica" => &replica.id);
    }
    if is_changed {
        let parts: Vec<String> = broken.parts.iter().map(ToString::to_string).collect();
        if shared.may_log(LogKind::Failed) {
            info!(shared.log, "crash recorded"; "replica" => &replica.id, "parts" => parts.join(","));
        }
        handle_news(shared);
    }
}

/// Records that a replica survived the start of `call` at `begun_at`.
pub(crate) fn record_survival(shared: &EntryShared, call: &ClientCall, begun_at: Instant) {
    if call.parts.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut state = shared.state();
    state.crashes.record_survival(begun_at, &call.parts);
    let trial = call.trial().map(|it| (it.part, it.is_held));
    let released = trial.filter(|it| it.1 && state.crashes.release(now, it.0));
    let is_suspect = trial.is_some_and(|it| !it.1);
    drop(state);
    if let Some((part, _)) = released {
        warn!(shared.log, "part released after a trial"; "part" => part.to_string(), "request" => call.id());
    }
    if released.is_some() || is_suspect {
        handle_news(shared);
    }
}

/// Adds what an entry of the zone or another zone knows.
pub(crate) fn merge(shared: &EntryShared, digest: &CrashDigest, source: DigestSource) {
    let mut state = shared.state();
    let effect = state.crashes.merge(Instant::now(), digest, source);
    drop(state);
    match effect {
        MergeEffect::Nothing => {}
        MergeEffect::Survivals => draw_conclusions(shared),
        MergeEffect::News => handle_news(shared),
    }
}

/// Draws conclusions from news and notifies the other entries.
fn handle_news(shared: &EntryShared) {
    draw_conclusions(shared);
    notify_peers(shared);
}

/// Draws conclusions while some are pending.
pub(crate) fn review(shared: &EntryShared) {
    let is_unsettled = shared.state().crashes.is_unsettled();
    if is_unsettled {
        draw_conclusions(shared);
    }
}

/// Makes the next messages to other entries contain the evidence.
fn notify_peers(shared: &EntryShared) {
    let mut state = shared.state();
    state.heartbeat_digest.record_change();
    state.report_digest.record_change();
    drop(state);
    shared.urgent_change.notify_one();
}

fn draw_conclusions(shared: &EntryShared) {
    let now = Instant::now();
    let mut state = shared.state();
    let latest_store_ms = state.latest_store_ms(boot_clock::now());
    let state = &mut *state;
    let versions = &state.versions;
    let routes = state.routes.as_deref();
    let catalog = &state.catalog;
    let replicas = |pool: PoolId| {
        let of_pool = catalog.all().filter(|it| PoolId::new(&it.service) == pool);
        of_pool.filter(|it| it.state == ReplicaState::Ready).count()
    };
    let version = |pool: PoolId| {
        let model = pool_model(routes, pool)?;
        Some(versions.requirement(model, latest_store_ms)?.oldest_allowed)
    };
    let conclusions = state.crashes.evaluate(now, &replicas, &version);
    if !conclusions.is_empty() {
        state.heartbeat_digest.record_change();
        state.report_digest.record_change();
    }
    for conclusion in &conclusions {
        log_conclusion(shared, conclusion);
    }
    // Requests that wait at replicas check whether their parts are held back now.
    shared.holds_changed.send_replace(());
}

fn log_conclusion(shared: &EntryShared, conclusion: &CrashConclusion) {
    let (label, message) = match conclusion.change {
        PartChange::Suspected => ("suspected", "part suspected to crash replicas"),
        PartChange::Cleared => ("cleared", "part cleared"),
        PartChange::Held => ("held", "part held back"),
    };
    shared
        .metrics
        .part_changes
        .with_label_values(&[label])
        .inc();
    warn!(
        shared.log, "{}", message;
        "part" => conclusion.part.to_string(),
        "crashes" => conclusion.crashes,
        "weight" => conclusion.weight,
        "accident" => conclusion.accident,
    );
}

fn log_refusal(shared: &EntryShared, call: &ClientCall, part: PartId, why: &'static str) {
    if shared.may_log(LogKind::Failed) {
        info!(shared.log, "request held back"; "request" => call.id(), "part" => part.to_string(), "why" => why);
    }
}

/// Returns the weights that all replicas of `pool` run by now, if the pool has any.
fn pool_version(state: &EntryState, pool: PoolId) -> Option<u64> {
    let model = pool_model(state.routes.as_deref(), pool)?;
    let latest_store_ms = state.latest_store_ms(boot_clock::now());
    let requirement = state.versions.requirement(model, latest_store_ms)?;
    Some(requirement.oldest_allowed)
}

fn pool_model(routes: Option<&RouteTable>, pool: PoolId) -> Option<&str> {
    let mut services = routes?.services();
    let service = services.find(|it| PoolId::new(&it.name) == pool)?;
    service.engine.as_ref().map(|it| it.model.as_str())
}

/// Longest delay that a client with a held part is told to wait; it would not come back later than that.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
