//! Keeps a request from beginning after the weights of its replica have become too old.
//!
//! The replica is the fence: it is given no more time than is left until the switch, counted from when it reads the request, whether
//! or not it hears of a withdrawal and whether or not this entry is alive. A stream that is not complete by then is continued elsewhere.
//! The same holds for the earliest possible switch of a version that is not known yet, if the request will end by then.
//!
//! The entry also withdraws each request that has not begun by the switch, which may be found to be earlier than it was when the
//! request was sent. See `docs/decisions/0051-a-time-limit-at-old-weights.md`.

use std::future;
use std::time::{Duration, Instant};

use fleet::{ChosenReplica, LoadedModel, LogKind, SEND_RESERVE, VersionRequirement};
use relay::boot_clock;
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::{EntryShared, EntryState, REPLICA_CONNECT_TIMEOUT};
use crate::stream_segment::millis;

/// Returns the versions of the weights of `model` that may serve a request now.
pub(crate) fn version_requirement(state: &EntryState, model: &str) -> Option<VersionRequirement> {
    let latest_ms = state.latest_store_ms(boot_clock::now());
    state.versions.requirement(model, latest_ms)
}

/// Returns the time after which no request may begin on `weights`, if they are about to be replaced.
pub(crate) fn time_to_switch(shared: &EntryShared, weights: &LoadedModel) -> Option<Duration> {
    let requirement = version_requirement(&shared.state(), &weights.name)?;
    requirement.time_to_switch(Some(weights.version))
}

/// Returns the time after which a version can take effect that this entry does not know, if it is bounded.
pub(crate) fn time_to_unknown_switch(state: &EntryState) -> Option<Duration> {
    let copy = state.operator_copy()?;
    let complete_ms = state.store_times.complete_ms(copy);
    let latest_ms = state.latest_store_ms(boot_clock::now());
    state
        .versions
        .time_to_unknown_switch(complete_ms, latest_ms)
}

/// Returns the time that a request may take at `chosen`, at most `limit`.
///
/// The replica ends a response that is not complete by the switch. It counts the time from when it reads the request, so a request
/// that is read within a silence of being written does not begin after the bound, whatever happens to the replica, the
/// connection or this entry later.
pub(crate) fn time_limit(
    shared: &EntryShared,
    chosen: &ChosenReplica,
    limit: Duration,
) -> Duration {
    let known = time_to_known_switch(shared, chosen);
    let known = known.map(|it| it.saturating_sub(SEND_RESERVE));
    let unknown = time_to_unknown_end(shared, chosen);
    let unknown = unknown.map(|it| it.saturating_sub(OPENING_TIME));
    known.into_iter().chain(unknown).fold(limit, Duration::min)
}

/// Returns whether `time_limit`, which was computed for `chosen` earlier, ends after a switch by now: opening the connection
/// took long, or the switch was found to be earlier.
pub(crate) fn is_exceeded(
    shared: &EntryShared,
    chosen: &ChosenReplica,
    time_limit: Duration,
) -> bool {
    let known = time_to_known_switch(shared, chosen);
    let unknown = time_to_unknown_end(shared, chosen);
    known.into_iter().chain(unknown).any(|it| it < time_limit)
}

/// Returns the time until the weights of `chosen` become too old, if it is known. It may have become known after the choice.
pub(crate) fn time_to_known_switch(
    shared: &EntryShared,
    chosen: &ChosenReplica,
) -> Option<Duration> {
    time_to_switch(shared, chosen.weights.as_ref()?)
}

/// Returns the time until a version can take effect that is not known, if a request at `chosen` will end by then.
fn time_to_unknown_end(shared: &EntryShared, chosen: &ChosenReplica) -> Option<Duration> {
    let is_bounded = chosen.ends_before_unknown_switch;
    is_bounded.then(|| time_to_unknown_switch(&shared.state()))?
}

/// Returns when the `time_limit` of an attempt of `call` ends that begins now, if a switch has shortened it.
pub(crate) fn ends_at(call: &ClientCall, time_limit: Duration) -> Option<Instant> {
    (time_limit < call.time_remaining()).then(|| Instant::now() + time_limit)
}

/// Returns whether a replica may end a request now because its time ends at `ends_at`, the switch.
pub(crate) fn is_at_switch(ends_at: Option<Instant>) -> bool {
    ends_at.is_some_and(|it| it <= Instant::now() + SWITCH_TOLERANCE)
}

/// Completes when a request that has not begun at `chosen` must be withdrawn. Returns how late that is.
pub(crate) async fn withdrawal_due(shared: &EntryShared, chosen: &ChosenReplica) -> Duration {
    let Some(weights) = &chosen.weights else {
        return future::pending().await;
    };
    let mut changes = shared.switches_changed.subscribe();
    let mut due_at: Option<Duration> = None;
    loop {
        let remaining = time_to_switch(shared, weights);
        if remaining.is_some_and(|it| it.is_zero()) {
            let now = boot_clock::now();
            return due_at.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        }
        due_at = remaining.map(|it| boot_clock::now() + it);
        // Timers stand still while the host is suspended, unlike the time to the switch.
        let pause = remaining.map(|it| it.min(MAX_PAUSE));
        tokio::select! {
            () = sleep(pause) => {}
            // The sender lives as long as the entry.
            _ = changes.changed() => {}
        }
    }
}

async fn sleep(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => future::pending().await,
    }
}

/// Records that a request was withdrawn `late` after the switch; `has_head` is whether its response had a head.
pub(crate) fn record_withdrawal(
    shared: &EntryShared,
    call: &ClientCall,
    chosen: &ChosenReplica,
    has_head: bool,
    late: Duration,
) {
    let metrics = &shared.metrics;
    metrics.withdrawal_lateness.observe(late.as_secs_f64());
    let retry_label = if call.sends() > 1 { "yes" } else { "no" };
    if !has_head {
        let labels = ["withdrawn", retry_label];
        metrics.sends.with_label_values(&labels).inc();
    }
    if shared.may_log(LogKind::Failed) {
        info!(
            shared.log, "request withdrawn";
            "request" => call.id(),
            "replica" => &chosen.replica.id,
            "weights" => chosen.weights.as_ref().map(|it| it.version),
            "has_head" => has_head,
            "switch_ms" => chosen.must_start_within.map(millis),
            "late_ms" => millis(late),
            "left_ms" => millis(call.time_remaining()),
        );
    }
}

/// Longest time between two looks at the clock that advances while the host is suspended.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Time that is left for opening a connection before a switch of an unknown version. The switch of a known version needs none:
/// a request whose connection opens late is sent elsewhere then.
pub(crate) const OPENING_TIME: Duration = REPLICA_CONNECT_TIMEOUT.saturating_add(SEND_RESERVE);

/// Time before the end of its time limit from which on a replica may end a request because of it.
const SWITCH_TOLERANCE: Duration = Duration::from_millis(100);
