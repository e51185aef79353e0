//! Clients' requests: route, key, limits, choice of replicas, repeats and the final answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{CallKind, ChoiceRequest, ChosenReplica, LogKind, NoReplica};
use httpio::{HeaderValue, Incoming, ReplyBody, Request, Response, header};
use rand::RngExt;
use slog::info;

use crate::client_call::{ClientCall, kind_label, read_call};
use crate::entry_shared::EntryShared;
use crate::refusal::Refusal;
use crate::replica_send::{NotRunReason, SendEnd};
use crate::{buffered_relay, stop, stream_relay};

/// Answers one request of a client.
pub(crate) async fn answer(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = Instant::now();
    let id = platform::request_facts(request.headers())
        .id
        .unwrap_or_default();
    let (kind, mut response, reason) = match read_call(&shared, request, arrived).await {
        Err(refusal) => ("unrouted", refusal.response(), refusal.reason()),
        Ok(call) => {
            let kind = kind_label(call.route.kind);
            match serve(&shared, Arc::new(call)).await {
                Ok(response) => (kind, response, "answered"),
                Err(refusal) => (kind, refusal.response(), refusal.reason()),
            }
        }
    };
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let status = response.status();
    let labels = [kind, status.as_str(), reason];
    shared.metrics.requests.with_label_values(&labels).inc();
    let is_served = reason == "answered" && status.is_success();
    let line = if is_served {
        LogKind::Served
    } else {
        LogKind::Failed
    };
    // A stream's own line tells its end.
    if !(is_served && kind == "stream") && shared.may_log(line) {
        info!(
            shared.log, "request ended";
            "request" => id,
            "kind" => kind,
            "status" => status.as_u16(),
            "reason" => reason,
            "ms" => u64::try_from(arrived.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    }
    response
}

/// Sends a request until there is a final answer.
async fn serve(
    shared: &Arc<EntryShared>,
    call: Arc<ClientCall>,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut tried = Vec::new();
    let mut unknown = false;
    if stop::refuses(shared, &call) {
        return Err(Refusal::Leaving);
    }
    shared
        .state()
        .budget(&call.service, &shared.settings, call.arrived)
        .record_request(call.arrived);
    loop {
        if call.time_left() < MIN_SEND_TIME {
            return Err(if unknown {
                Refusal::TimedOut
            } else {
                Refusal::Expired
            });
        }
        let chosen = match choose(shared, &call, &tried, call.facts.last_event) {
            Ok(it) => it,
            Err(why) => return Err(refuse(shared, &call, why, &tried, unknown)),
        };
        call.note_send();
        let predicted = chosen.predicted_ms / 1000.0;
        shared.metrics.predicted.observe(predicted);
        tried.push(chosen.replica.id.clone());
        let end = if call.route.kind == CallKind::Stream {
            stream_relay::start(shared, &call, &chosen).await
        } else {
            buffered_relay::relay(shared, &call, &chosen).await
        };
        let arrived_there = match end {
            RelayEnd::Answer(response) => return Ok(response),
            RelayEnd::NotRun(reason) => reason.has_arrived(),
            RelayEnd::Unknown if !call.route.may_repeat() => return Err(Refusal::Unknown),
            RelayEnd::Unknown => {
                unknown = true;
                true
            }
        };
        if !may_send_again(shared, &call, arrived_there) {
            return Err(if unknown {
                Refusal::Unknown
            } else {
                Refusal::RefusedByReplicas
            });
        }
    }
}

/// Says why no replica is chosen, and what that means for the request.
fn refuse(
    shared: &EntryShared,
    call: &ClientCall,
    why: NoReplica,
    tried: &[String],
    unknown: bool,
) -> Refusal {
    let predicted_ms = match why {
        NoReplica::NoneUsable => None,
        NoReplica::Overloaded(predicted) => Some(predicted.round()),
    };
    let state = shared.state();
    let ready = state.catalog.ready(&call.service, Instant::now()).count();
    drop(state);
    if shared.may_log(LogKind::Failed) {
        info!(
        shared.log, "no replica chosen";
        "request" => call.id(),
        "service" => &call.service,
        "best_predicted_ms" => predicted_ms,
        "objective_ms" => u64::try_from(call.route.objective.as_millis()).unwrap_or(u64::MAX),
        "left_ms" => u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX),
        "late" => call.is_late(),
        "prompt" => call.facts.size.prompt_tokens,
        "ready" => ready,
        "tried" => tried.len(),
        "config" => call.table.version(),
        );
    }
    match why {
        _ if unknown => Refusal::Unknown,
        _ if !tried.is_empty() => Refusal::RefusedByReplicas,
        NoReplica::NoneUsable => Refusal::NoReplica,
        NoReplica::Overloaded(_) => Refusal::Overloaded,
    }
}

/// How a relay ended before anything was passed on to the client.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    /// The answer for the client.
    Answer(Response<ReplyBody>),
    /// The replica has not run the request.
    NotRun(NotRunReason),
    /// It may have.
    Unknown,
}

impl RelayEnd {
    /// Returns the end of a relay whose send brought no answer.
    pub(crate) fn of_failed_send(end: &SendEnd) -> Self {
        match end {
            SendEnd::NotRun(reason) => Self::NotRun(*reason),
            SendEnd::Answered(..) | SendEnd::Unknown(_) => Self::Unknown,
        }
    }
}

/// Takes a repeat from the budget, where one is needed and the route allows another replica.
pub(crate) fn may_send_again(shared: &EntryShared, call: &ClientCall, has_arrived: bool) -> bool {
    if !has_arrived {
        return call.sends() < MAX_SENDS;
    }
    if call.sends() >= call.route.max_attempts.max(1) {
        return false;
    }
    let now = Instant::now();
    shared
        .state()
        .budget(&call.service, &shared.settings, now)
        .try_acquire(now)
}

/// Chooses a replica for `call`.
pub(crate) fn choose(
    shared: &EntryShared,
    call: &ClientCall,
    tried: &[String],
    last_event: Option<u64>,
) -> Result<ChosenReplica, NoReplica> {
    let engine = call
        .table
        .service(&call.service)
        .and_then(|it| it.engine.as_ref());
    let now = Instant::now();
    let state = shared.state();
    let objective = call.route.objective.saturating_sub(call.arrived.elapsed());
    let patience = if engine.is_none() || last_event.is_some() || !tried.is_empty() {
        call.time_left()
    } else if call.is_late() {
        Duration::ZERO
    } else {
        objective.mul_f64(FRESH_PATIENCE)
    };
    let request = ChoiceRequest {
        service: &call.service,
        engine,
        zone: &shared.settings.zone,
        size: call.facts.size,
        version_requirement: engine.and_then(|it| state.versions.requirement(&it.model, now)),
        tried,
        max_first_event_ms: patience.as_secs_f64() * 1000.0,
        tolerated_delay_ms: IDLE_DELAY_MS,
        random: rand::rng().random(),
        entries: state.peers.alive(now).count() + 1,
    };
    fleet::choose_replica(&request, &state.catalog, &state.board, &state.health, now)
}

/// Time that must be left for a send to be of use.
const MIN_SEND_TIME: Duration = Duration::from_millis(20);

/// Sends of one request that reached no replica; beyond it the network is at fault, not a replica.
const MAX_SENDS: u32 = 4;

/// Share of the objective that a prediction may use up before a request is refused rather than answered late.
const FRESH_PATIENCE: f64 = 0.95;

/// Delay by other requests, in milliseconds, up to which a replica has room for a request that is late already, or whose
/// prompt takes up its objective: it is served where it does not delay others.
const IDLE_DELAY_MS: f64 = 100.0;
