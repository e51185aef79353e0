//! Relays responses that are read completely before they are forwarded.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use fleet::{ChosenReplica, LogKind, ReplicaOutcome};
use httpio::{Response, StatusCode};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::InFlightGuard;
use crate::replica_send::{NotRunReason, SendOutcome, return_connection, send};
use crate::request_handler::{self, RelayOutcome, acquire_retry};
use crate::{crash_guard, switch_guard};

/// Sends `call` to `chosen` and reads the complete response, so that a truncated response never reaches the client.
pub(crate) async fn relay(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
) -> RelayOutcome {
    let _guard = InFlightGuard::new(shared, call, &chosen.replica.id, 0);
    let last_event_id = call.metadata.last_event_id;
    let time_limit = switch_guard::time_limit(shared, chosen, call.time_remaining());
    let ends_at = switch_guard::ends_at(call, time_limit);
    let is_sent = AtomicBool::new(false);
    let outcome = tokio::select! {
        biased;
        outcome = send(shared, call, chosen, last_event_id, time_limit, &is_sent) => outcome,
        late = switch_guard::withdrawal_due(shared, chosen) => {
            if !is_sent.load(Ordering::Relaxed) {
                return RelayOutcome::NotRun(NotRunReason::Outdated);
            }
            switch_guard::record_withdrawal(shared, call, chosen, false, late);
            return RelayOutcome::Unknown;
        }
    };
    let (pooled_response, metadata) = match outcome {
        SendOutcome::Response(pooled_response, metadata) => (*pooled_response, metadata),
        failed => return RelayOutcome::from_failed_send(&failed),
    };
    let status = pooled_response.response.status();
    let (response, connection, address) = pooled_response.into_parts();
    let (parts, body) = response.into_parts();
    let (time, budget) = (call.time_remaining(), &shared.response_budget);
    let read = match &call.client {
        Some(client) => {
            let client = client.clone();
            httpio::read_for_client(body, MAX_RESPONSE_BYTES, time, budget, client).await
        }
        None => httpio::read_within_budget(body, MAX_RESPONSE_BYTES, time, budget).await,
    };
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(err) => {
            // Memory that is missing here, or the end of the time that the replica was given, says nothing about it.
            let is_missing_memory = err.kind() == std::io::ErrorKind::QuotaExceeded;
            if !is_missing_memory && !switch_guard::is_at_switch(ends_at) {
                record_body(shared, chosen, ReplicaOutcome::Unreachable);
                crash_guard::record_break(shared, call, &chosen.replica, true);
            }
            if shared.may_log(LogKind::Failed) {
                info!(
                    shared.log, "reading the response failed";
                    "request" => call.id(),
                    "replica" => &chosen.replica.id,
                    "error" => err.to_string(),
                    "at_switch" => switch_guard::is_at_switch(ends_at),
                );
            }
            return RelayOutcome::Unknown;
        }
    };
    if !status.is_server_error() {
        record_body(shared, chosen, ReplicaOutcome::Served);
    }
    return_connection(shared, connection, address, &metadata);
    let is_failure = status == StatusCode::INTERNAL_SERVER_ERROR;
    if is_failure && call.route.is_retryable() && acquire_retry(shared, call, true).is_ok() {
        // The retry was already deducted from the budget here; the caller's loop must not deduct another one.
        return retry_elsewhere(shared, call, chosen)
            .await
            .unwrap_or_else(|| RelayOutcome::Response(build_response(parts, bytes)));
    }
    RelayOutcome::Response(build_response(parts, bytes))
}

/// Records the outcome of an attempt whose response had a valid head.
fn record_body(shared: &EntryShared, chosen: &ChosenReplica, outcome: ReplicaOutcome) {
    let id = &chosen.replica.id;
    let mut state = shared.state();
    state.health.record_outcome(id, outcome, Instant::now());
}

/// Sends a request that failed at a replica to another one; returns `None` if that returns no response either.
async fn retry_elsewhere(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    failed: &ChosenReplica,
) -> Option<RelayOutcome> {
    let tried = [failed.replica.id.clone()];
    let other =
        request_handler::choose_replica(shared, call, &tried, call.metadata.last_event_id).ok()?;
    request_handler::begin_send(shared, call, &other);
    match Box::pin(relay(shared, call, &other)).await {
        RelayOutcome::Response(response) => Some(RelayOutcome::Response(response)),
        RelayOutcome::NotRun(_) | RelayOutcome::Unknown => None,
    }
}

fn build_response(
    mut parts: http::response::Parts,
    bytes: bytes::Bytes,
) -> Response<httpio::HttpBody> {
    parts.headers = platform::forwarded_response_headers(&parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, httpio::full(bytes))
}

/// Maximum size of a response that is read completely; responses of plain services are a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
