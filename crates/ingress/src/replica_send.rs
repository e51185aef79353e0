//! Sends a request to one replica and reads the head of its response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{CallKind, ChosenReplica, LogKind, ReplicaCatalog, ReplicaOutcome};
use httpio::{ClientConnection, ClientError, PooledResponse, Request, StatusCode};
use platform::{ForwardMetadata, ResponseMetadata};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::send_permit::{PermitDenial, SendPermit};
use crate::stream_segment::millis;
use crate::{crash_guard, departure_guard, limit_guard, switch_guard, time_limit_log};

/// Outcome of a send.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The head of a response that belongs to the request.
    Response(Box<PooledResponse>, ResponseMetadata),
    /// The replica cannot have run the request.
    NotRun(NotRunReason),
    /// The replica may have run the request; the reason is a label in logs and metrics.
    Unknown(&'static str),
}

/// Why a replica cannot have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    /// No connection could be opened, so the replica has not received the request.
    NotSent,
    /// The replica refused the request.
    Refused,
    /// The replica has named a limit since it was chosen, and this entry has no turn.
    Limited,
    /// The replica has said that it leaves since it was chosen.
    Leaving,
    /// The zone of the replica has been evacuated since it was chosen.
    Excluded,
    /// The weights of the replica will be replaced earlier than the request says, or this entry was suspended after the choice.
    Outdated,
    /// Another replica listens at the address, or the replica has another version of the weights.
    Misdirected,
}

impl NotRunReason {
    /// Returns whether a replica received the request, so that sending it again counts as a retry.
    pub(crate) fn has_arrived(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::Limited | Self::Leaving | Self::Excluded | Self::Outdated
        )
    }
}

/// Sends `call` to `chosen`, which may work on it for up to `time_limit`, and waits for the head of the response. Sets `is_sent`
/// when the request is about to be written to a connection.
pub(crate) async fn send(
    shared: &Arc<EntryShared>,
    call: &ClientCall,
    chosen: &ChosenReplica,
    last_event_id: Option<u64>,
    time_limit: Duration,
    is_sent: &AtomicBool,
) -> SendOutcome {
    let replica = &chosen.replica;
    let metadata = ForwardMetadata {
        time_limit,
        replica: &replica.id,
        tenant: call.tenant_name(),
        rank: call
            .table
            .ranks()
            .has_ranks(&call.service)
            .then(|| call.rank()),
        version: chosen.expect_version,
        last_event_id: last_event_id.filter(|it| Some(*it) != call.metadata.last_event_id),
    };
    let mut request = Request::new(request_body(&call.body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = platform::forwarded_request_headers(&call.headers, &metadata);

    // A reused connection may be closing or may still deliver the response to an earlier request. That loses a request
    // which may not be repeated, and shows only in the id of the request.
    let needs_new_connection = !call.route.is_retryable() || call.metadata.id.is_none();
    let permit = SendPermit::new(shared, call, chosen, time_limit, is_sent);
    let ends_at = switch_guard::ends_at(call, time_limit);
    let may_send = || {
        permit.check().inspect(|_| {
            time_limit_log::record(shared, call, chosen, time_limit, ends_at.is_some());
        })
    };
    let exchange = async {
        let client = &shared.replica_client;
        if needs_new_connection {
            client
                .send_on_new_connection_if(replica.address, request, &may_send)
                .await
        } else {
            client.send_if(replica.address, request, &may_send).await
        }
    };
    let sent_at = shared.suspend_aware_now();
    let outcome = match tokio::time::timeout(call.time_remaining(), exchange).await {
        Ok(Ok(pooled_response)) => {
            let metadata = platform::decode_response_headers(pooled_response.response.headers());
            if !is_foreign(call, &pooled_response, &metadata) {
                limit_guard::record_head(shared, replica, metadata.named_limit, sent_at);
                if metadata.leaving {
                    departure_guard::record_said(shared, replica.lifetime(), "response");
                }
                let pause = metadata.retry_after.filter(|_| metadata.not_executed);
                if let Some(delay) = pause.filter(|_| !switch_guard::is_at_switch(ends_at)) {
                    limit_guard::record_pause(shared, replica, delay);
                }
            }
            classify_head(call, pooled_response, metadata)
        }
        Ok(Err(ClientError::NotSent(err))) if err.kind() == std::io::ErrorKind::Interrupted => {
            SendOutcome::NotRun(NotRunReason::Outdated)
        }
        Ok(Err(ClientError::NotSent(_))) => SendOutcome::NotRun(match permit.denial() {
            Some(PermitDenial::Limited) => NotRunReason::Limited,
            Some(PermitDenial::Leaving) => NotRunReason::Leaving,
            Some(PermitDenial::Excluded) => NotRunReason::Excluded,
            Some(PermitDenial::Outdated) => NotRunReason::Outdated,
            None => NotRunReason::NotSent,
        }),
        Ok(Err(ClientError::NoResponse(_))) if switch_guard::is_at_switch(ends_at) => {
            SendOutcome::Unknown("ended_at_switch")
        }
        Ok(Err(ClientError::NoResponse(_))) => SendOutcome::Unknown("connection_lost"),
        Err(_) => SendOutcome::Unknown("no_answer"),
    };
    record_outcome(shared, call, chosen, &outcome, ends_at);
    outcome
}

/// Returns a connection to the pool after its response has been read to the end.
pub(crate) fn return_connection(
    shared: &EntryShared,
    connection: ClientConnection,
    address: SocketAddr,
    metadata: &ResponseMetadata,
) {
    match metadata.keep_alive_timeout {
        Some(idle) => shared.replica_client.recycle_with_max_idle_age(
            connection,
            address,
            idle.mul_f64(IDLE_TIMEOUT_FRACTION),
        ),
        None => shared.replica_client.recycle(connection, address),
    }
}

fn request_body(bytes: &Bytes) -> httpio::HttpBody {
    if bytes.is_empty() {
        return httpio::empty();
    }
    httpio::full(bytes.clone())
}

/// Returns whether the response belongs to an earlier request. A late duplicate contains that request's id, or none.
/// Only the first response on a connection needs no id, as a server that refuses everything may not read the request.
fn is_foreign(
    call: &ClientCall,
    pooled_response: &PooledResponse,
    metadata: &ResponseMetadata,
) -> bool {
    match &metadata.request_id {
        Some(id) => call.metadata.id.as_ref() != Some(id),
        None => pooled_response.is_reused(),
    }
}

fn classify_head(
    call: &ClientCall,
    pooled_response: PooledResponse,
    metadata: ResponseMetadata,
) -> SendOutcome {
    if !pooled_response.has_valid_status() {
        return SendOutcome::Unknown("invalid_status");
    }
    let status = pooled_response.response.status();
    if is_foreign(call, &pooled_response, &metadata) {
        return SendOutcome::Unknown("foreign_answer");
    }
    let is_promise = platform::promises_not_run(status);
    if status == StatusCode::MISDIRECTED_REQUEST {
        return SendOutcome::NotRun(NotRunReason::Misdirected);
    }
    if metadata.not_executed && (is_promise || status == StatusCode::BAD_REQUEST) {
        return SendOutcome::NotRun(NotRunReason::Refused);
    }
    // The replica may have run the request and failed it, while its client would send it again and have it run twice. See
    // `docs/incidents/unproven-refusals.md`.
    if is_promise && !call.route.is_retryable() {
        return SendOutcome::Unknown(UNPROVEN_REFUSAL);
    }
    if status.is_success()
        && (!metadata.signed || metadata.request_id.is_none() || metadata.encoded)
    {
        return SendOutcome::Unknown("unsigned_answer");
    }
    SendOutcome::Response(Box::new(pooled_response), metadata)
}

fn record_outcome(
    shared: &Arc<EntryShared>,
    call: &ClientCall,
    chosen: &ChosenReplica,
    outcome: &SendOutcome,
    ends_at: Option<Instant>,
) {
    let id = &chosen.replica.id;
    let now = Instant::now();
    let (label, replica_outcome) = match outcome {
        SendOutcome::Response(pooled_response, _)
            if pooled_response.response.status().is_server_error() =>
        {
            ("failed", Some(ReplicaOutcome::Failed))
        }
        // A whole response is recorded when its body has been read.
        SendOutcome::Response(..) if call.route.kind != CallKind::Stream => ("answered", None),
        SendOutcome::Response(..) => ("answered", Some(ReplicaOutcome::Served)),
        SendOutcome::NotRun(NotRunReason::NotSent) => {
            ("not_sent", Some(ReplicaOutcome::Unreachable))
        }
        SendOutcome::NotRun(NotRunReason::Limited) => ("limited", None),
        SendOutcome::NotRun(NotRunReason::Leaving) => ("leaving", None),
        SendOutcome::NotRun(NotRunReason::Excluded) => ("excluded", None),
        SendOutcome::NotRun(NotRunReason::Outdated) => ("outdated", None),
        SendOutcome::NotRun(NotRunReason::Refused) => ("refused", Some(ReplicaOutcome::Refused)),
        SendOutcome::NotRun(NotRunReason::Misdirected) => {
            ("misdirected", Some(ReplicaOutcome::Refused))
        }
        SendOutcome::Unknown(reason @ ("connection_lost" | "no_answer")) => {
            (*reason, Some(ReplicaOutcome::Unreachable))
        }
        SendOutcome::Unknown(reason) => (*reason, Some(ReplicaOutcome::Failed)),
    };
    // A replica that refuses a request, or ends it, at the switch does what it was asked to.
    let is_at_switch = switch_guard::is_at_switch(ends_at);
    let replica_outcome = replica_outcome.filter(|_| !is_at_switch);
    let mut state = shared.state();
    let ejected_for = replica_outcome.and_then(|it| state.health.record_outcome(id, it, now));
    if matches!(outcome, SendOutcome::NotRun(NotRunReason::Misdirected)) {
        record_misdirected(&mut state.catalog, call, chosen);
    }
    drop(state);
    if matches!(outcome, SendOutcome::Unknown("connection_lost")) {
        crash_guard::record_break(shared, call, &chosen.replica, true);
    }
    let is_sound = matches!(
        outcome,
        SendOutcome::Response(..)
            | SendOutcome::Unknown(UNPROVEN_REFUSAL)
            | SendOutcome::NotRun(
                NotRunReason::Limited
                    | NotRunReason::Leaving
                    | NotRunReason::Excluded
                    | NotRunReason::Outdated
            )
    );
    if !is_sound && !is_at_switch {
        shared
            .replica_client
            .drop_idle_connections(chosen.replica.address);
    }
    if !matches!(outcome, SendOutcome::Response(..)) && shared.may_log(LogKind::Failed) {
        info!(
            shared.log, "send failed";
            "request" => call.id(),
            "replica" => id,
            "outcome" => label,
            "out_ms" => ejected_for.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
            "predicted_ms" => chosen.predicted_ms.round(),
            "expect_version" => chosen.expect_version,
            "switch_ms" => chosen.must_start_within.map(millis),
            "parts" => call.shared_parts(),
        );
    }
    let retry_label = if call.sends() > 1 { "yes" } else { "no" };
    shared
        .metrics
        .sends
        .with_label_values(&[label, retry_label])
        .inc();
}

/// Records that a request was misdirected. A replica that refuses the version that it was listed with has restarted
/// without weights or is loading another version. Without an expected version, another replica listens at the address.
fn record_misdirected(catalog: &mut ReplicaCatalog, call: &ClientCall, chosen: &ChosenReplica) {
    let id = &chosen.replica.id;
    let service = call.table.service(&call.service);
    let engine = service.and_then(|it| it.engine.as_ref());
    match (chosen.expect_version, engine) {
        (Some(version), Some(engine)) => {
            catalog.record_missing_version(id, &engine.model, version);
        }
        _ => catalog.remove_misdirected(id),
    }
}

/// Label of a response whose status promises that a request has not run, although the replica does not state it.
const UNPROVEN_REFUSAL: &str = "unproven_refusal";

/// Fraction of a replica's idle timeout for which a connection is kept, so that it is not reused while the replica
/// closes it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
