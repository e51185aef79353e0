//! Keeps the requests to replicas within the limits that these name for all entries together, and within what cold replicas bear.
//!
//! Limits and turns are those of [`routing::LimitTable`]; see `docs/decisions/0046-named-limits.md` and `docs/design/cold-replicas.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::{ChosenReplica, ColdStart, ColdTable, LogKind, Replica, ReportedLimit};
use routing::{
    ColdBound, LifetimeId, LimitChange, LimitDigest, LimitTable, NamedLimit, PoolId, RequestRate,
};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::{EntryShared, EntryState};
use crate::refusal::Refusal;
use crate::stream_segment::millis;

/// Records what the head of a response says about the limit of `replica`. The request was sent at `sent_at` by the
/// clock of [`EntryShared::suspend_aware_now`].
pub(crate) fn record_head(
    shared: &EntryShared,
    replica: &Replica,
    named: NamedLimit,
    sent_at: Instant,
) {
    let label = match named {
        NamedLimit::None => "none",
        NamedLimit::Limit(_) => "limit",
        NamedLimit::Unreadable => "unreadable",
    };
    let heads = &shared.metrics.response_heads;
    heads.with_label_values(&[label]).inc();
    if named == NamedLimit::Unreadable && shared.may_log(LogKind::Failed) {
        info!(shared.log, "limit of a replica cannot be read"; "replica" => &replica.id);
    }
    let now = shared.suspend_aware_now();
    let id = lifetime(replica);
    let change = shared.state().limits.record_head(now, id, named, sent_at);
    handle_own_news(shared, change, "response");
}

/// Records that `replica` has rejected a request and wants no further one for `delay`.
pub(crate) fn record_pause(shared: &EntryShared, replica: &Replica, delay: Duration) {
    let now = shared.suspend_aware_now();
    let id = lifetime(replica);
    shared.state().limits.record_pause(now, id, delay);
    if shared.may_log(LogKind::Failed) {
        info!(shared.log, "replica paused by its own words"; "replica" => &replica.id, "ms" => millis(delay));
    }
}

/// Records what an agent reports about the limit of `replica`.
pub(crate) fn record_report(shared: &EntryShared, replica: &Replica, reported: ReportedLimit) {
    if reported.started_ms != replica.started_ms {
        return;
    }
    let now = shared.suspend_aware_now();
    let age = Duration::from_millis(u64::from(reported.age_ms));
    // The clock may have begun less than `age` ago.
    let seen_at = now.checked_sub(age).unwrap_or(now);
    let id = lifetime(replica);
    let mut state = shared.state();
    let change = state.limits.record_report(now, id, reported.limit, seen_at);
    drop(state);
    handle_own_news(shared, change, "agent");
}

/// Adds what another entry knows.
pub(crate) fn merge(shared: &EntryShared, digest: &LimitDigest) {
    let now = shared.suspend_aware_now();
    let mut state = shared.state();
    let changes = state.limits.merge(now, digest);
    if !changes.is_empty() {
        // The entries of the zone have received the message, or it is passed on to them.
        state.report_digest.record_change();
    }
    drop(state);
    for change in changes {
        log_change(shared, &change, "entry");
    }
}

/// Returns what this entry tells others about limits. The first entries of a zone repeat what they know.
pub(crate) fn digest(shared: &EntryShared, state: &mut EntryState) -> Option<LimitDigest> {
    let settings = &shared.settings;
    let rank = fleet::zone_rank(&state.peers, &settings.node, &settings.zone, Instant::now());
    let now = shared.suspend_aware_now();
    state.limits.digest(now, rank < REPEATING_ENTRIES)
}

/// Updates the entries among which turns are divided, and forgets limits that have ended.
pub(crate) fn review(shared: &EntryShared) {
    let (now, peer_now) = (shared.suspend_aware_now(), Instant::now());
    let mut state = shared.state();
    let state = &mut *state;
    let mut alive = state.peers.alive(peer_now).map(|it| it.node.as_str());
    state.limits.update_members(now, &mut alive);
    let services = state.routes.iter().flat_map(|it| it.services());
    let has_cold_starts = services.into_iter().any(|it| it.cold_start.is_some());
    state.limits.set_repeats_base(has_cold_starts);
    let catalog = &state.catalog;
    let is_listed = |id| catalog.all().any(|it| lifetime(it) == id);
    state.limits.expire(now, &is_listed);
}

/// Returns the replicas of the service of `call` that have a limit or are cold, and whether this entry may send a request to each
/// now.
pub(crate) fn turns(
    shared: &EntryShared,
    state: &mut EntryState,
    call: &ClientCall,
) -> BTreeMap<String, bool> {
    let now = Instant::now();
    if state.limits.is_empty() && state.cold.is_empty(now) {
        return BTreeMap::new();
    }
    let (limits, cold) = (&mut state.limits, &state.cold);
    let of_service = state.catalog.ready(&call.service, now);
    let turn = |it: &Replica| Some((it.id.clone(), has_turn(shared, limits, cold, call, it)?));
    of_service.filter_map(turn).collect()
}

/// Returns whether this entry may send a request to `replica` now, or `None` if the replica has no limit and is not cold.
pub(crate) fn has_turn(
    shared: &EntryShared,
    limits: &mut LimitTable,
    cold: &ColdTable,
    call: &ClientCall,
    replica: &Replica,
) -> Option<bool> {
    let suspend_aware_now = shared.suspend_aware_now();
    let service = call.table.service(&replica.service);
    if let Some(cold_start) = service.and_then(|it| it.cold_start) {
        let now = Instant::now();
        if let Some(until) = cold.cold_until(replica, now) {
            let left = until.saturating_duration_since(now);
            let bound = cold_bound(shared, cold_start);
            limits.record_cold(lifetime(replica), bound, suspend_aware_now + left);
        }
    }
    limits.has_turn(suspend_aware_now, lifetime(replica))
}

/// Returns how many requests a cold replica may get from all entries together.
fn cold_bound(shared: &EntryShared, cold_start: ColdStart) -> ColdBound {
    let bounds = &shared.settings.bounds;
    let rate = cold_start.requests_per_second;
    ColdBound {
        requests_per_second: rate,
        max_in_second: rate * bounds.cold_factor + bounds.cold_allowance,
    }
}

/// Uses a turn for a request that is about to be sent to `chosen`, if the replica has a limit.
pub(crate) fn take_turn(shared: &EntryShared, chosen: &ChosenReplica) {
    if chosen.limited > 0 {
        count_request(shared, "elsewhere");
    }
    if chosen.has_turn {
        let now = shared.suspend_aware_now();
        let mut state = shared.state();
        state.limits.take_turn(now, lifetime(&chosen.replica));
        drop(state);
        count_request(shared, "turn");
    }
}

pub(crate) fn count_request(shared: &EntryShared, outcome: &str) {
    let requests = &shared.metrics.limited_requests;
    requests.with_label_values(&[outcome]).inc();
}

/// Returns the refusal of a request for which only replicas without a turn are left.
pub(crate) fn refuse(shared: &EntryShared, call: &ClientCall) -> Refusal {
    count_request(shared, "refused");
    let now = shared.suspend_aware_now();
    let mut state = shared.state();
    let state = &mut *state;
    let of_service = state.catalog.ready(&call.service, Instant::now());
    let mut replicas = of_service.map(lifetime);
    let pool = PoolId::new(&call.service);
    Refusal::Limited(state.limits.return_delay(now, pool, &mut replicas))
}

/// Returns the id of the lifetime of `replica`.
pub(crate) fn lifetime(replica: &Replica) -> LifetimeId {
    replica.lifetime()
}

fn handle_own_news(shared: &EntryShared, change: Option<LimitChange>, source: &'static str) {
    let Some(change) = change else {
        return;
    };
    let mut state = shared.state();
    state.heartbeat_digest.record_change();
    state.report_digest.record_change();
    drop(state);
    shared.urgent_change.notify_one();
    log_change(shared, &change, source);
}

fn log_change(shared: &EntryShared, change: &LimitChange, source: &'static str) {
    let label = match (change.before, change.after) {
        (None, _) => "began",
        (_, None) => "ended",
        _ => "changed",
    };
    let changes = &shared.metrics.limit_changes;
    changes.with_label_values(&[label]).inc();
    if !shared.may_log(LogKind::Failed) {
        return;
    }
    let state = shared.state();
    let replica = state
        .catalog
        .all()
        .find(|it| lifetime(it) == change.replica);
    let replica = replica.map(|it| it.id.clone());
    drop(state);
    let text = |it: Option<RequestRate>| it.map(|it| it.to_string());
    info!(
        shared.log, "limit of a replica {}", label;
        "replica" => replica,
        "before" => text(change.before),
        "limit" => text(change.after),
        "source" => source,
    );
}

/// Number of entries of a zone that repeat what is known about limits, so that one of them may end.
const REPEATING_ENTRIES: usize = 2;
