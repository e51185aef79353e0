//! Handler for requests to plain services.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{self, Either};
use httpio::{HttpBody, Response};
use model::{ResultCode, ServiceName, TargetKind};
use routing::{CallKind, OrderOutcome, OrderResponse, OrderRow, OrderState, OrderStateMachine};
use tokio::sync::oneshot;
use upstream::TableClient;

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::call_error::CallError;
use crate::calls::crash_guard;
use crate::calls::dispatcher::{self, Dispatcher};
use crate::calls::model_call;
use crate::calls::order_driver::{self, OrderDriver};
use crate::calls::order_table::OrderTable;
use crate::calls::slot_scheduler::Arrival;
use crate::control::ControlSnapshot;

type CallResult = Result<Response<HttpBody>, CallError>;

/// Handles a request to a plain service.
pub(crate) async fn handle(
    dispatcher: &Dispatcher,
    table: &TableClient,
    mut call: CallContext,
    snapshot: &ControlSnapshot,
    guard: CallGuard,
) -> CallResult {
    let service_path = &call.path[SERVICE_PREFIX.len()..];
    let (name, path) = service_path.split_once('/').unwrap_or((service_path, ""));
    let service = ServiceName::new(name)
        .map_err(|err| CallError::new(ResultCode::BadRequest, err.to_string()))?;
    call.path = format!("/{path}");
    let target = TargetKind::Service(service.clone());
    if !snapshot.targets.values().any(|it| it.row.kind == target) {
        let message = format!("the service {service} does not exist");
        return Err(CallError::new(ResultCode::NotFound, message));
    }
    let config = snapshot
        .config
        .as_ref()
        .map(|it| it.service(&service))
        .unwrap_or_default();
    let kind = routing::call_kind(call.method.as_str(), config.orders);
    // The path and the body stand for themselves: a service may crash on either.
    let texts = [call.path.as_bytes(), &call.body].into_iter();
    let plan = AttemptPlan {
        parts: crash_guard::parts(&target, texts.filter(|it| !it.is_empty())),
        ..AttemptPlan::new(target, kind)
    };
    dispatcher.scheduler.on_request();
    if kind == CallKind::Lookup {
        return hedged_lookup(dispatcher, &call, &plan).await;
    }
    match call.idempotency_key.clone() {
        Some(key) => {
            let table = OrderTable::new(table.clone(), &call.organisation, &service, &key);
            let retention = Duration::from_secs(config.keep_outcome_s);
            keyed_order(dispatcher.clone(), table, call, plan, retention, guard).await
        }
        None => {
            let response = dispatcher.dispatch(&call, &plan).await?;
            let result = model_call::read_response(response, &call).await;
            if result.is_ok() {
                dispatcher
                    .guard
                    .record_survival(&plan.parts, Instant::now());
            }
            result
        }
    }
}

/// Sends a lookup, and a hedged second request if the first exceeds the hedge delay; the first success wins.
async fn hedged_lookup(
    dispatcher: &Dispatcher,
    call: &CallContext,
    plan: &AttemptPlan,
) -> CallResult {
    let start = Instant::now();
    let time_remaining = call.deadline.saturating_duration_since(start);
    let attempt = || async {
        let response = dispatcher.dispatch(call, plan).await?;
        plan.mark_tried(&response.slot.row.host);
        let result = model_call::read_response(response, call).await;
        if result.is_ok() {
            dispatcher
                .guard
                .record_survival(&plan.parts, Instant::now());
        }
        result
    };
    let primary = std::pin::pin!(attempt());
    let Some(delay) = dispatcher.scheduler.hedge_delay(plan.kind, time_remaining) else {
        return primary.await;
    };
    let timer = std::pin::pin!(tokio::time::sleep(delay));
    let primary = match future::select(primary, timer).await {
        Either::Left((result, _)) => {
            dispatcher.scheduler.on_lookup_latency(start.elapsed());
            return result;
        }
        Either::Right(((), primary)) => primary,
    };
    if !dispatcher.scheduler.try_acquire_retry() {
        let result = primary.await;
        dispatcher.scheduler.on_lookup_latency(start.elapsed());
        return result;
    }
    let hedge = std::pin::pin!(attempt());
    let result = match future::select(primary, hedge).await {
        Either::Left((Err(_), hedge)) => hedge.await,
        Either::Right((Err(_), primary)) => primary.await,
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    };
    dispatcher.scheduler.on_lookup_latency(start.elapsed());
    result
}

async fn keyed_order(
    dispatcher: Dispatcher,
    table: OrderTable,
    call: CallContext,
    plan: AttemptPlan,
    retention: Duration,
    guard: CallGuard,
) -> CallResult {
    if let Err(error) = dispatcher.guard.admit(&plan.parts) {
        return recorded_outcome(&table, &call, error).await;
    }
    let slot_request = dispatcher.slot_request(&call, &plan);
    let slot = match dispatcher
        .scheduler
        .acquire(slot_request, Arrival::New)
        .await
    {
        Ok(it) => it,
        Err(error) => return recorded_outcome(&table, &call, error).await,
    };
    let now_ms = order_driver::now_ms();
    let time_remaining = call.deadline.saturating_duration_since(Instant::now());
    let claim_row = OrderRow {
        fingerprint: fingerprint(&call),
        attempt: dispatcher::new_attempt_id(),
        gate: dispatcher::order_gate(&slot.row),
        claimed_ms: now_ms,
        dispatch_until_ms: now_ms + time_remaining.min(MAX_DISPATCH_TIME).as_millis() as u64,
        expires_ms: now_ms + retention.as_millis() as u64,
        state: OrderState::Claimed,
    };
    let (sender, receiver) = oneshot::channel();
    let driver = OrderDriver {
        dispatcher,
        table,
        call,
        plan,
        state_machine: OrderStateMachine::new(claim_row),
        slot: Some(slot),
    };
    tokio::spawn(async move {
        let _guard = guard;
        driver.run(sender).await;
    });
    match receiver.await {
        Ok(response) => order_result(response),
        Err(_) => Err(CallError::new(
            ResultCode::OrderUnknown,
            "the order's task terminated without a result",
        )),
    }
}

/// Returns the recorded outcome of an order that cannot be sent, or `error` if no row can be read.
async fn recorded_outcome(table: &OrderTable, call: &CallContext, error: CallError) -> CallResult {
    let routing::OrderEvent::Read(Some((row, _))) = table.read().await else {
        return Err(error);
    };
    if row.fingerprint != fingerprint(call) {
        return order_result(OrderResponse::Refused(ResultCode::KeyReused));
    }
    order_result(match row.state {
        OrderState::Done(outcome) => OrderResponse::Replayed(outcome),
        OrderState::Unknown => OrderResponse::Refused(ResultCode::OrderUnknown),
        OrderState::Claimed => OrderResponse::Refused(ResultCode::OrderInProgress),
    })
}

fn order_result(response: OrderResponse) -> CallResult {
    match response {
        OrderResponse::Ran(outcome) => outcome_response(&outcome, ResultCode::Ok),
        OrderResponse::Replayed(outcome) => outcome_response(&outcome, ResultCode::Replayed),
        OrderResponse::Refused(code) => {
            let message = match code {
                ResultCode::OrderInProgress => "the same order is already in progress",
                ResultCode::OrderUnknown => "the order may have run and will not be run again",
                ResultCode::KeyReused => "the idempotency key was used for a different request",
                ResultCode::TableUnavailable => {
                    "the platform's table is unavailable; the order was not started"
                }
                ResultCode::DeadlineUnknown => "the order was running when its deadline passed",
                _ => "the order has not run",
            };
            Err(CallError::new(code, message))
        }
    }
}

fn outcome_response(outcome: &OrderOutcome, code: ResultCode) -> CallResult {
    // Older entries recorded statuses that are not valid.
    let status = httpio::StatusCode::from_u16(outcome.status).ok();
    let Some(status) = status.filter(|it| httpio::is_valid_status(*it)) else {
        let message = "the recorded outcome of the order has an invalid status";
        return Err(CallError::new(ResultCode::OrderUnknown, message));
    };
    let body = match outcome.is_hex {
        false => Bytes::from(outcome.body.clone()),
        true => from_hex(&outcome.body).into(),
    };
    let mut response = Response::new(httpio::full(body));
    *response.status_mut() = status;
    if let Some(Ok(value)) = outcome.content_type.as_deref().map(str::parse) {
        let headers = response.headers_mut();
        headers.insert(httpio::header::CONTENT_TYPE, value);
    }
    if let Ok(value) = code.to_string().parse() {
        response.headers_mut().insert(model::RESULT_HEADER, value);
    }
    Ok(response)
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = (0..text.len() / 2).map(|it| text.get(2 * it..2 * it + 2));
    digits
        .filter_map(|it| u8::from_str_radix(it?, 16).ok())
        .collect()
}

fn fingerprint(call: &CallContext) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.method.as_str().as_bytes()).update(b"\n");
    hasher.update(call.path.as_bytes()).update(b"\n");
    hasher.update(&call.body);
    hasher.finalize().to_string()
}

/// Path prefix of plain services.
pub(crate) const SERVICE_PREFIX: &str = "/services/";

/// Maximum time after the claim, even with a later deadline, before a retry with the same key may request
/// revocation of the attempt.
const MAX_DISPATCH_TIME: Duration = Duration::from_secs(30);
