//! One send of a request to one replica, up to the head of the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{CallKind, ChosenReplica, LogKind, ReplicaCatalog, ReplicaOutcome};
use httpio::{ClientError, HttpReply, ReplyBody, Request, StatusCode};
use hyper::client::conn::http1::SendRequest;
use platform::{ReplicaAnswer, SendFacts};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;

/// What came of a send.
#[derive(Debug)]
pub(crate) enum SendEnd {
    /// The head of an answer that belongs to the request.
    Answered(Box<HttpReply>, ReplicaAnswer),
    /// The replica cannot have run it.
    NotRun(NotRunReason),
    /// The replica may have run it.
    Unknown(&'static str),
}

/// Why a replica cannot have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    /// No connection could be opened; the replica has not seen it.
    NotSent,
    /// The replica refused it.
    Refused,
    /// Another replica listens at the address, or it has another version of the weights.
    Misdirected,
}

impl NotRunReason {
    /// Says whether the replica counts an arrival, which a repeat adds to.
    pub(crate) fn has_arrived(self) -> bool {
        self != Self::NotSent
    }
}

/// Sends `call` to `chosen` and waits for the head of the answer for at most `wait`.
pub(crate) async fn send(
    shared: &Arc<EntryShared>,
    call: &ClientCall,
    chosen: &ChosenReplica,
    last_event: Option<u64>,
    wait: Duration,
) -> SendEnd {
    let replica = &chosen.replica;
    let facts = SendFacts {
        patience: call.time_left(),
        replica: &replica.id,
        tenant: call.tenant.as_ref().map(|it| it.name.as_str()),
        version: chosen.expect_version,
        last_event: last_event.filter(|it| Some(*it) != call.facts.last_event),
    };
    let mut request = Request::new(body(&call.body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = platform::replica_headers(&call.headers, &facts);

    // What may not be repeated never travels on a connection that may be dying, or that may still bring another answer.
    let sending = async {
        if call.route.kind == CallKind::NonIdempotent {
            shared.replicas.send_fresh(replica.address, request).await
        } else {
            shared.replicas.send(replica.address, request).await
        }
    };
    let end = match tokio::time::timeout(wait, sending).await {
        Ok(Ok(reply)) => judge_head(call, reply),
        Ok(Err(ClientError::NotSent(_))) => SendEnd::NotRun(NotRunReason::NotSent),
        Ok(Err(ClientError::Lost(_))) => SendEnd::Unknown("connection_lost"),
        Err(_) => SendEnd::Unknown("no_answer"),
    };
    note(shared, call, chosen, &end);
    end
}

/// Returns the connection of an answer that was read to its end to the pool.
pub(crate) fn recycle(
    shared: &EntryShared,
    sender: SendRequest<ReplyBody>,
    address: SocketAddr,
    facts: &ReplicaAnswer,
) {
    match facts.idle {
        Some(idle) => shared
            .replicas
            .recycle_for(sender, address, idle.mul_f64(IDLE_SHARE)),
        None => shared.replicas.recycle(sender, address),
    }
}

fn body(bytes: &Bytes) -> httpio::ReplyBody {
    if bytes.is_empty() {
        return httpio::empty();
    }
    httpio::full(bytes.clone())
}

fn judge_head(call: &ClientCall, reply: HttpReply) -> SendEnd {
    let facts = platform::answer_facts(reply.response.headers());
    let status = reply.response.status();
    let is_refusal = facts.not_run
        && matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::BAD_REQUEST
        );
    if status == StatusCode::MISDIRECTED_REQUEST {
        return SendEnd::NotRun(NotRunReason::Misdirected);
    }
    if is_refusal {
        return SendEnd::NotRun(NotRunReason::Refused);
    }
    // A late second answer to an earlier request carries that request's id.
    if facts.request_id.is_some() && facts.request_id != call.facts.id {
        return SendEnd::Unknown("foreign_answer");
    }
    if status.is_success() && (!facts.signed || facts.request_id.is_none() || facts.encoded) {
        return SendEnd::Unknown("unsigned_answer");
    }
    SendEnd::Answered(Box::new(reply), facts)
}

fn note(shared: &EntryShared, call: &ClientCall, chosen: &ChosenReplica, end: &SendEnd) {
    let id = &chosen.replica.id;
    let now = Instant::now();
    let (label, outcome) = match end {
        SendEnd::Answered(reply, _) if reply.response.status().is_server_error() => {
            ("failed", ReplicaOutcome::Failed)
        }
        SendEnd::Answered(..) => ("answered", ReplicaOutcome::Served),
        SendEnd::NotRun(NotRunReason::NotSent) => ("not_sent", ReplicaOutcome::Unreachable),
        SendEnd::NotRun(NotRunReason::Refused) => ("refused", ReplicaOutcome::Refused),
        SendEnd::NotRun(NotRunReason::Misdirected) => ("misdirected", ReplicaOutcome::Refused),
        SendEnd::Unknown(why @ ("connection_lost" | "no_answer")) => {
            (*why, ReplicaOutcome::Unreachable)
        }
        SendEnd::Unknown(why) => (*why, ReplicaOutcome::Failed),
    };
    let mut state = shared.state();
    let out = state.health.record_outcome(id, outcome, now);
    if matches!(end, SendEnd::NotRun(NotRunReason::Misdirected)) {
        note_misdirected(&mut state.catalog, call, chosen);
    }
    drop(state);
    if !matches!(end, SendEnd::Answered(..)) {
        shared.replicas.forget(chosen.replica.address);
    }
    if !matches!(end, SendEnd::Answered(..)) && shared.may_log(LogKind::Failed) {
        info!(
            shared.log, "send failed";
            "request" => call.id(),
            "replica" => id,
            "outcome" => label,
            "out_ms" => out.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX)),
            "predicted_ms" => chosen.predicted_ms.round(),
        );
    }
    let repeat = if call.sends() > 1 { "yes" } else { "no" };
    shared
        .metrics
        .sends
        .with_label_values(&[label, repeat])
        .inc();
}

/// A replica that refuses the version that it was listed with has restarted without weights or is loading others.
fn note_misdirected(catalog: &mut ReplicaCatalog, call: &ClientCall, chosen: &ChosenReplica) {
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

/// Share of a replica's idle time that a connection is kept, so that it is not used as it is being closed.
const IDLE_SHARE: f64 = 0.6;
