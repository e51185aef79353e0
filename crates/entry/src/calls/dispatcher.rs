//! Dispatch of requests to the gates of targets, with retries.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use httpio::{ClientError, HeaderValue, HttpClient, Request};
use model::{AttemptId, ResultCode, RunStatus, TargetRow};
use routing::OrderGate;
use settings::EntrySettings;
use slog::{Logger, info};
use wire::{RevokeOutcome, WireCounters, context};

use crate::calls::attempt_plan::{AttemptOutcome, AttemptPlan};
use crate::calls::call_context::CallContext;
use crate::calls::call_error::CallError;
use crate::calls::crash_guard::CrashGuard;
use crate::calls::dispatch_race::DispatchRace;
use crate::calls::dispatch_state::SlotRequest;
use crate::calls::slot_scheduler::SlotScheduler;
use crate::calls::target_response::TargetResponse;
use crate::calls::target_slot::TargetSlot;

/// Sends attempts to targets, and revokes attempts that got no response.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    settings: Arc<EntrySettings>,
    pub(crate) scheduler: Arc<SlotScheduler>,
    pub(crate) guard: Arc<CrashGuard>,
    client: HttpClient,
    /// Authenticates the entry to the gates.
    authorization: HeaderValue,
    counters: WireCounters,
    pub(crate) log: Logger,
}

impl Dispatcher {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        scheduler: Arc<SlotScheduler>,
        guard: Arc<CrashGuard>,
        log: Logger,
    ) -> Self {
        let token = wire::gate_token(settings.shared_key.reveal());
        let mut authorization = HeaderValue::try_from(format!("Bearer {token}"))
            .expect("a token consists of hexadecimal digits");
        authorization.set_sensitive(true);
        Self {
            settings,
            scheduler,
            guard,
            client: HttpClient::new(None, CONNECT_TIMEOUT),
            authorization,
            counters: WireCounters::default(),
            log,
        }
    }

    /// Sends a request to targets until one responds, the attempts are exhausted or an attempt may have run.
    ///
    /// While a target is silent, a lookup or completion may be sent to another one as well; the first response counts.
    ///
    /// # Errors
    ///
    /// For an order, the code of the error has the status [`RunStatus::NotRun`] only if every attempt was refused, not
    /// sent, or revoked at its gate. Lookups and completions may be retried after an attempt that may have run; their
    /// code is that of the last attempt.
    pub(crate) async fn dispatch(
        &self,
        call: &CallContext,
        plan: &AttemptPlan,
    ) -> Result<TargetResponse, CallError> {
        self.guard.admit(&plan.parts)?;
        DispatchRace::new(self, call, plan).run().await
    }

    /// Sends one attempt to the target of `slot`, and waits for the response headers until the deadline.
    pub(crate) async fn send_attempt(
        &self,
        call: &CallContext,
        plan: &AttemptPlan,
        slot: TargetSlot,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let Ok(mut request) = build_request(call, plan, &slot, attempt) else {
            return AttemptOutcome::NotRun(ResultCode::BadRequest);
        };
        let headers = request.headers_mut();
        headers.insert(httpio::header::AUTHORIZATION, self.authorization.clone());
        let row = &slot.row;
        let send = self.client.send(row.gate, request);
        let pooled_response = match tokio::time::timeout_at(call.deadline.into(), send).await {
            Ok(Ok(pooled_response)) => pooled_response,
            Ok(Err(ClientError::NotSent(_))) => {
                plan.mark_tried(&row.host);
                self.scheduler.on_failure(&row.host);
                return AttemptOutcome::NotRun(ResultCode::TargetRefused);
            }
            Ok(Err(ClientError::NoResponse(_))) | Err(_) => {
                plan.mark_tried(&row.host);
                self.scheduler.on_failure(&row.host);
                return AttemptOutcome::Unknown;
            }
        };
        let code = pooled_response.response.headers().get(model::RESULT_HEADER);
        let code = code
            .and_then(|it| it.to_str().ok())
            .and_then(ResultCode::from_header)
            // The gate of an older agent relays any status of its back end.
            .filter(|_| pooled_response.has_valid_status());
        match code {
            Some(ResultCode::Ok) => {
                self.scheduler.on_success(&row.host);
                AttemptOutcome::Response(Box::new(TargetResponse::new(
                    pooled_response,
                    self.client.clone(),
                    slot,
                )))
            }
            Some(code) if code.run_status() == RunStatus::NotRun => {
                let refused_at_limit = code == ResultCode::Overloaded;
                if !refused_at_limit {
                    plan.mark_tried(&row.host);
                }
                let mut response = TargetResponse::new(pooled_response, self.client.clone(), slot);
                response.slot.refused_at_limit = refused_at_limit;
                let deadline = tokio::time::Instant::now() + REFUSAL_READ_TIMEOUT;
                let _ = response.read(MAX_REFUSAL_BYTES, deadline).await;
                AttemptOutcome::NotRun(code)
            }
            _ => {
                plan.mark_tried(&row.host);
                self.scheduler.on_failure(&row.host);
                AttemptOutcome::Unknown
            }
        }
    }

    /// Requests that a gate refuses an attempt which may still be in transit.
    ///
    /// Only the gate's confirmation proves that the attempt has not run and never will.
    pub(crate) async fn revoke(
        &self,
        gate: &OrderGate,
        attempt: AttemptId,
    ) -> Option<RevokeOutcome> {
        let secret = self.settings.shared_key.reveal();
        let revoke = async {
            let client = wire::connect_agent(gate.control, None, secret, &self.counters)
                .await
                .ok()?;
            let call = client.revoke(context::current(), attempt, gate.incarnation);
            call.await.ok()
        };
        let outcome = tokio::time::timeout(REVOKE_TIMEOUT, revoke).await;
        let outcome = outcome.ok().flatten();
        info!(self.log, "revocation of an attempt finished"; "attempt" => %attempt, "target" => %gate.host,
            "outcome" => ?outcome);
        outcome
    }

    /// Revokes an attempt that got no response, and returns the code for what is proven about its execution.
    pub(crate) async fn resolve_lost_attempt(
        &self,
        call: &CallContext,
        gate: &OrderGate,
        attempt: AttemptId,
    ) -> ResultCode {
        let deadline_passed = Instant::now() >= call.deadline;
        match (self.revoke(gate, attempt).await, deadline_passed) {
            (Some(RevokeOutcome::NotRun), true) => ResultCode::DeadlineNotRun,
            (Some(RevokeOutcome::NotRun), false) => ResultCode::Revoked,
            (_, true) => ResultCode::DeadlineUnknown,
            (_, false) => ResultCode::TargetLost,
        }
    }

    pub(crate) fn slot_request(&self, call: &CallContext, plan: &AttemptPlan) -> SlotRequest {
        SlotRequest {
            target: plan.target.clone(),
            organisation: call.organisation.clone(),
            weight: call.weight,
            priority: call.priority,
            cost: plan.cost,
            deadline: call.deadline,
            version: plan.version,
            prefix_digest: plan.prefix_digest,
            avoided_hosts: plan.avoided_hosts(),
        }
    }
}

/// Returns the gate of the target that `row` describes.
pub(crate) fn order_gate(row: &TargetRow) -> OrderGate {
    OrderGate {
        host: row.host.clone(),
        incarnation: row.incarnation,
        gate: row.gate,
        control: row.control,
    }
}

pub(crate) fn new_attempt_id() -> AttemptId {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    AttemptId::new(since_epoch, rand::random())
}

fn build_request(
    call: &CallContext,
    plan: &AttemptPlan,
    slot: &TargetSlot,
    attempt: AttemptId,
) -> anyhow::Result<Request<httpio::HttpBody>> {
    let time_remaining = call.deadline.saturating_duration_since(Instant::now());
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(model::ATTEMPT_HEADER, attempt.to_string())
        .header(model::CALL_KIND_HEADER, plan.kind.name())
        .header(model::INCARNATION_HEADER, slot.row.incarnation.0)
        .header(model::REQUEST_ID_HEADER, call.id.to_string())
        .header(model::ORGANISATION_HEADER, call.organisation.as_str())
        .header(model::PRIORITY_HEADER, u16::from(call.priority))
        .header(
            model::DEADLINE_HEADER,
            time_remaining.as_millis().to_string(),
        );
    if let Some(version) = plan.version {
        builder = builder.header(model::REQUIRE_VERSION_HEADER, version.to_string());
    }
    if plan.resume_from > 0 {
        builder = builder.header(model::RESUME_HEADER, plan.resume_from);
    }
    if let Some(content_type) = &call.content_type {
        builder = builder.header(httpio::header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.idempotency_key {
        builder = builder.header(model::IDEMPOTENCY_HEADER, key.as_str());
    }
    Ok(builder.body(httpio::full(call.body.clone()))?)
}

pub(crate) fn error_from_code(code: ResultCode) -> CallError {
    let message = match code.run_status() {
        RunStatus::NotRun => "no target accepted the request; it has not run",
        _ => "the target did not respond after it may have started the request",
    };
    CallError::new(code, message)
}

/// Timeout for connecting to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a revocation, including the connection to the gate.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for reading the body of a refusal, which allows the connection to be reused.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a refusal's body.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
