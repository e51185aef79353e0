//! Planned stop: the entry accepts no new clients, finishes the requests in flight and then exits.
//!
//! A request that cannot end within the grace period is refused or, if it is in flight already, gets a final response
//! before the entry exits. `docs/OPERATIONS.md` describes the schedule.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::CallKind;
use httpio::ServerHandle;
use platform::RowWrite;
use slog::{info, warn};

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::peer_exchange::ENTRY_TABLE;
use crate::refusal::Refusal;

/// Leaves the directory, serves clients that still use its address, and waits for the requests in flight.
pub(crate) async fn drain(shared: &Arc<EntryShared>, front: &ServerHandle) {
    let began = Instant::now();
    info!(shared.log, "stopping"; "open_connections" => front.open_connections());
    shared.begin_stop();
    let deregister = tokio::spawn(deregister(shared.clone()));
    let grace = shared.settings.bounds.stop_grace;
    tokio::time::sleep(DIRECTORY_GRACE.min(grace.mul_f64(DIRECTORY_FRACTION))).await;
    front.stop();
    let final_responses = tokio::spawn(send_final_responses(shared.clone()));
    while !front.is_finished() && began.elapsed() < grace.saturating_sub(EXIT_RESERVE) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    final_responses.abort();
    deregister.abort();
    info!(
        shared.log, "stopped";
        "open_connections" => front.open_connections(),
        "ms" => u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
    );
}

/// Returns whether the entry must refuse `call` because it is stopping and the request may not end in time.
pub(crate) fn must_refuse(shared: &EntryShared, call: &ClientCall) -> bool {
    let Some(elapsed_since_stop) = shared.time_since_stop() else {
        return false;
    };
    let grace = shared.settings.bounds.stop_grace;
    let time_left = final_response_time(grace).saturating_sub(elapsed_since_stop);
    let may_outlast_stop = call.route.kind == CallKind::Stream || call.time_remaining() > time_left;
    let window = NEW_REQUEST_WINDOW.min(grace.mul_f64(NEW_REQUEST_FRACTION));
    may_outlast_stop && elapsed_since_stop > window
}

/// Completes when the entry is about to exit, so that requests without a response must get one now.
pub(crate) async fn final_response_due(shared: &EntryShared) {
    shared.final_responses_due.notified().await;
}

/// Returns the final response to a request that is in flight when [`final_response_due`] completes.
pub(crate) fn final_refusal(call: &ClientCall) -> Refusal {
    if call.sends() == 0 {
        Refusal::Leaving
    } else {
        Refusal::Unknown
    }
}

async fn send_final_responses(shared: Arc<EntryShared>) {
    let time = final_response_time(shared.settings.bounds.stop_grace);
    let elapsed = shared.time_since_stop().unwrap_or_default();
    tokio::time::sleep(time.saturating_sub(elapsed)).await;
    shared.final_responses_due.notify_waiters();
}

fn final_response_time(grace: Duration) -> Duration {
    grace.saturating_sub(EXIT_RESERVE + RESPONSE_RESERVE)
}

async fn deregister(shared: Arc<EntryShared>) {
    let row = RowWrite {
        table: ENTRY_TABLE.to_owned(),
        key: shared.settings.node.clone(),
        value: None,
    };
    if let Err(err) = shared.store.write(&[row]).await {
        warn!(shared.log, "removing the own row failed"; "error" => err.to_string());
    }
}

/// Time for which clients with an outdated directory response are still served: three times the TTL of the response.
const DIRECTORY_GRACE: Duration = Duration::from_millis(3600);

/// Part of the grace period that [`DIRECTORY_GRACE`] may take up.
const DIRECTORY_FRACTION: f64 = 0.45;

/// Time after the stop signal in which requests that may outlast the stop are still accepted; streams take up to about
/// 3 s.
const NEW_REQUEST_WINDOW: Duration = Duration::from_millis(2800);

/// Part of the grace period that [`NEW_REQUEST_WINDOW`] may take up.
const NEW_REQUEST_FRACTION: f64 = 0.35;

/// Part of the grace period that is reserved for the exit itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Time before the exit in which the final responses to the remaining requests are sent.
const RESPONSE_RESERVE: Duration = Duration::from_millis(400);

/// Interval at which the number of open connections is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
