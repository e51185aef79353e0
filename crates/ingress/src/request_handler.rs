//! Handles clients' requests: chooses replicas, sends and retries the request, and returns the final response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{CallKind, ChoiceRequest, ChosenReplica, LogKind, NoReplica, SampleRule};
use httpio::{HeaderValue, HttpBody, Incoming, Request, Response, header};
use rand::RngExt;
use slog::info;

use crate::client_call::{ClientCall, kind_label, read_call};
use crate::crash_guard;
use crate::entry_shared::EntryShared;
use crate::limit_guard;
use crate::refusal::Refusal;
use crate::replica_send::{NotRunReason, SendOutcome};
use crate::retry_denial::RetryDenial;
use crate::stream_segment::millis;
use crate::{buffered_relay, peer_evidence, placement_guard, stop, stream_relay, switch_guard};

/// Handles one request of a client.
pub(crate) async fn handle(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let arrived = Instant::now();
    let id = platform::decode_request_headers(request.headers())
        .id
        .unwrap_or_default();
    let call = read_call(&shared, request, arrived).await.map(Arc::new);
    let (kind, mut response, reason) = match &call {
        Err(refusal) => ("unrouted", refusal.response(), refusal.reason()),
        Ok(call) => {
            let kind = kind_label(call.route.kind);
            let outcome = tokio::select! {
                biased;
                outcome = dispatch(&shared, call.clone()) => outcome,
                () = stop::final_response_due(&shared) => Err(stop::final_refusal(call)),
            };
            match outcome {
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
    let line_kind = if is_served {
        LogKind::Served
    } else {
        LogKind::Failed
    };
    // A successful stream gets its log line when it ends.
    if !(is_served && kind == "stream") && shared.may_log(line_kind) {
        let (config, config_age) = match &call {
            Ok(call) => (Some(call.table.version()), call.config_age),
            Err(_) => shared.config_in_force(),
        };
        info!(
            shared.log, "request ended";
            "request" => id,
            "kind" => kind,
            "status" => status.as_u16(),
            "reason" => reason,
            "ms" => u64::try_from(arrived.elapsed().as_millis()).unwrap_or(u64::MAX),
            "tenant" => call.as_ref().ok().and_then(|it| it.tenant_name()),
            "config" => config,
            "config_age_ms" => config_age.map(millis),
        );
    }
    response
}

/// Sends a request to replicas until there is a final response.
async fn dispatch(
    shared: &Arc<EntryShared>,
    call: Arc<ClientCall>,
) -> Result<Response<HttpBody>, Refusal> {
    let mut tried = Vec::new();
    let mut may_have_run = false;
    if stop::must_refuse(shared, &call) {
        return Err(Refusal::Leaving);
    }
    peer_evidence::wait(shared).await;
    placement_guard::wait_until_known(shared).await;
    crash_guard::admit(shared, &call)?;
    shared
        .state()
        .retry_budget(&call.service, &shared.settings, call.arrived)
        .record_request(call.arrived);
    if call.route.kind == CallKind::Stream {
        return stream_relay::respond(shared, call).await;
    }
    loop {
        if call.time_remaining() < MIN_SEND_TIME {
            return Err(if may_have_run {
                Refusal::TimedOut
            } else {
                Refusal::Expired
            });
        }
        let chosen = match choose_replica(shared, &call, &tried, call.metadata.last_event_id) {
            Ok(it) => it,
            Err(cause) => {
                log_no_replica(shared, &call, cause, &tried);
                return Err(refusal_for(shared, &call, cause, &tried, may_have_run));
            }
        };
        begin_send(shared, &call, &chosen);
        tried.push(chosen.replica.id.clone());
        let has_arrived = match buffered_relay::relay(shared, &call, &chosen).await {
            RelayOutcome::Response(response) => return Ok(response),
            RelayOutcome::NotRun(reason) => reason.has_arrived(),
            RelayOutcome::Unknown if !call.route.is_retryable() => return Err(Refusal::Unknown),
            RelayOutcome::Unknown => {
                may_have_run = true;
                true
            }
        };
        if let Err(denial) = acquire_retry(shared, &call, has_arrived) {
            log_denial(shared, &call, denial, &tried);
            return Err(if may_have_run {
                Refusal::Unknown
            } else {
                Refusal::RefusedByReplicas
            });
        }
    }
}

/// Returns the refusal for the client if no replica was chosen.
fn refusal_for(
    shared: &EntryShared,
    call: &ClientCall,
    cause: NoReplica,
    tried: &[String],
    may_have_run: bool,
) -> Refusal {
    match cause {
        _ if may_have_run => Refusal::Unknown,
        _ if !tried.is_empty() => Refusal::RefusedByReplicas,
        NoReplica::NoneUsable => Refusal::NoReplica,
        NoReplica::Outdated => Refusal::OutdatedWeights,
        NoReplica::Excluded(_) => Refusal::NoPlacement,
        NoReplica::Overloaded(_) | NoReplica::Full => Refusal::Overloaded,
        NoReplica::Limited => limit_guard::refuse(shared, call),
    }
}

/// Logs why no replica was chosen.
pub(crate) fn log_no_replica(
    shared: &EntryShared,
    call: &ClientCall,
    cause: NoReplica,
    tried: &[String],
) {
    if let NoReplica::Excluded(exclusion) = cause {
        let excluded = &shared.metrics.excluded_requests;
        excluded.with_label_values(&[exclusion.label()]).inc();
    }
    if !shared.may_log(LogKind::Failed) {
        return;
    }
    let predicted_ms = match cause {
        NoReplica::NoneUsable
        | NoReplica::Outdated
        | NoReplica::Excluded(_)
        | NoReplica::Full
        | NoReplica::Limited => None,
        NoReplica::Overloaded(predicted) => Some(predicted.round()),
    };
    let state = shared.state();
    let ready = state.catalog.ready(&call.service, Instant::now()).count();
    let evacuated: Vec<&str> = state.evacuations.zones().collect();
    let evacuated = evacuated.join(",");
    drop(state);
    let excluded = match cause {
        NoReplica::Excluded(it) => Some(it.label()),
        _ => None,
    };
    info!(
        shared.log, "no replica chosen";
        "request" => call.id(),
        "service" => &call.service,
        "best_predicted_ms" => predicted_ms,
        "objective_ms" => u64::try_from(call.route.objective.as_millis()).unwrap_or(u64::MAX),
        "left_ms" => u64::try_from(call.time_remaining().as_millis()).unwrap_or(u64::MAX),
        "limited" => cause == NoReplica::Limited,
        "full" => cause == NoReplica::Full,
        "excluded" => excluded,
        "evacuated" => evacuated,
        "homes" => placement_guard::home_regions(call).join(","),
        "late" => call.is_late(),
        "rank" => call.rank(),
        "prompt" => call.metadata.size.prompt_tokens,
        "ready" => ready,
        "tried" => tried.len(),
        "config" => call.table.version(),
    );
}

/// Outcome of a relay before any byte was forwarded to the client.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    /// The response for the client.
    Response(Response<HttpBody>),
    /// The replica has not run the request.
    NotRun(NotRunReason),
    /// The replica may have run the request.
    Unknown,
}

impl RelayOutcome {
    /// Converts the outcome of a send that returned no response.
    pub(crate) fn from_failed_send(outcome: &SendOutcome) -> Self {
        match outcome {
            SendOutcome::NotRun(reason) => Self::NotRun(*reason),
            SendOutcome::Response(..) | SendOutcome::Unknown(_) => Self::Unknown,
        }
    }
}

/// Checks whether the request may be sent again. Takes a retry from the budget if a replica has already received it.
pub(crate) fn acquire_retry(
    shared: &EntryShared,
    call: &ClientCall,
    has_arrived: bool,
) -> Result<(), RetryDenial> {
    let max_sends = if has_arrived {
        call.route.max_attempts.max(1)
    } else {
        MAX_SENDS
    };
    if call.sends() >= max_sends {
        return Err(RetryDenial::Attempts);
    }
    if !has_arrived {
        return Ok(());
    }
    let now = Instant::now();
    let is_acquired = shared
        .state()
        .retry_budget(&call.service, &shared.settings, now)
        .try_acquire(now);
    is_acquired.then_some(()).ok_or(RetryDenial::Budget)
}

/// Logs why a request is not sent to a further replica, and counts it.
pub(crate) fn log_denial(
    shared: &EntryShared,
    call: &ClientCall,
    denial: RetryDenial,
    tried: &[String],
) {
    shared
        .metrics
        .retry_denials
        .with_label_values(&[denial.label()])
        .inc();
    if shared.may_log(LogKind::Failed) {
        info!(
            shared.log, "not sent to another replica";
            "request" => call.id(),
            "why" => denial.label(),
            "replica" => tried.last(),
            "sends" => call.sends(),
            "left_ms" => u64::try_from(call.time_remaining().as_millis()).unwrap_or(u64::MAX),
            "config" => call.table.version(),
        );
    }
}

/// Records that `call` is about to be sent to `chosen`. No other task may run between the choice and this.
pub(crate) fn begin_send(shared: &EntryShared, call: &ClientCall, chosen: &ChosenReplica) {
    call.record_send();
    limit_guard::take_turn(shared, chosen);
    let predicted = chosen.predicted_ms / 1000.0;
    shared.metrics.predicted_first_event.observe(predicted);
}

/// Chooses a replica for `call`.
pub(crate) fn choose_replica(
    shared: &EntryShared,
    call: &ClientCall,
    tried: &[String],
    last_event_id: Option<u64>,
) -> Result<ChosenReplica, NoReplica> {
    let engine = call
        .table
        .service(&call.service)
        .and_then(|it| it.engine.as_ref());
    let now = Instant::now();
    let mut state = shared.state();
    let state = &mut *state;
    let turns = limit_guard::turns(shared, state, call);
    let objective = call.route.objective.saturating_sub(call.arrived.elapsed());
    let max_first_event_time = if engine.is_none() || last_event_id.is_some() || !tried.is_empty() {
        call.time_remaining()
    } else if call.is_late() {
        Duration::ZERO
    } else {
        let ranks = call.table.ranks();
        ranks.max_first_event(&call.service, call.rank(), objective)
    };
    let request = ChoiceRequest {
        service: &call.service,
        engine,
        zone: &shared.settings.zone,
        size: call.metadata.size,
        version_requirement: engine
            .and_then(|it| switch_guard::version_requirement(state, &it.model)),
        time_to_unknown_switch: switch_guard::time_to_unknown_switch(state)
            .map(|it| it.saturating_sub(switch_guard::OPENING_TIME)),
        placement: placement_guard::rule(shared, state, call),
        tried,
        max_first_event_ms: max_first_event_time.as_secs_f64() * 1000.0,
        tolerated_delay_ms: IDLE_DELAY_MS,
        random: rand::rng().random(),
        entries: match call.trial() {
            // A request that may crash its replica goes to the least loaded of all replicas.
            Some(_) => 1,
            None => state.peers.alive(now).count() + 1,
        },
        // The bounded rule is emulated, but was not measured on a deployment; see `docs/design/long-prompts.md`.
        sample_rule: SampleRule::All,
        latest_start: (call.route.kind != CallKind::Stream).then(|| call.time_remaining()),
        is_resumable: call.route.is_retryable() && call.sends() + 1 < call.route.max_attempts,
        turns: &turns,
    };
    fleet::choose_replica(&request, &state.catalog, &state.loads, &state.health, now)
}

/// Minimum remaining time for which a request is still sent.
pub(crate) const MIN_SEND_TIME: Duration = Duration::from_millis(20);

/// Maximum sends of one request if no replica was reached; more failures indicate a network fault rather than a replica
/// fault.
const MAX_SENDS: u32 = 4;

/// Delay caused by other requests, in milliseconds, up to which a replica accepts a request that is late already or
/// whose prompt alone takes up its objective. Such a request is served only where it does not delay others.
const IDLE_DELAY_MS: f64 = 100.0;
