//! Requests to plain services.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{self, Either};
use httpio::{ReplyBody, Response};
use model::{ResultCode, ServiceName, TargetKind};
use routing::{CallKind, OrderAnswer, OrderOutcome, OrderRow, OrderState, OrderStateMachine};
use tokio::sync::oneshot;
use upstream::TableClient;

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::call_refusal::CallRefusal;
use crate::calls::call_shared::Arrival;
use crate::calls::dispatcher::{self, Dispatcher};
use crate::calls::model_call;
use crate::calls::order_driver::{self, OrderDriver};
use crate::calls::order_table::OrderTable;
use crate::control::ControlSnapshot;

type Reply = Result<Response<ReplyBody>, CallRefusal>;

/// Answers a request to a plain service.
pub(crate) async fn answer(
    dispatcher: &Dispatcher,
    table: &TableClient,
    mut call: CallContext,
    snapshot: &ControlSnapshot,
    guard: CallGuard,
) -> Reply {
    let rest = &call.path[SERVICE_PREFIX.len()..];
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::new(name)
        .map_err(|err| CallRefusal::new(ResultCode::BadRequest, err.to_string()))?;
    call.path = format!("/{path}");
    let target = TargetKind::Service(service.clone());
    if !snapshot.targets.values().any(|it| it.row.kind == target) {
        let message = format!("the service {service} does not exist");
        return Err(CallRefusal::new(ResultCode::NotFound, message));
    }
    let config = snapshot
        .config
        .as_ref()
        .map(|it| it.service(&service))
        .unwrap_or_default();
    let kind = routing::call_kind(call.method.as_str(), config.orders);
    let plan = AttemptPlan::new(target, kind);
    dispatcher.shared.on_request();
    if kind == CallKind::Lookup {
        return lookup(dispatcher, &call, &plan).await;
    }
    match call.idempotency_key.clone() {
        Some(key) => {
            let table = OrderTable::new(table.clone(), &call.organisation, &service, &key);
            let keep = Duration::from_secs(config.keep_outcome_s);
            keyed_order(dispatcher.clone(), table, call, plan, keep, guard).await
        }
        None => {
            let reply = dispatcher.dispatch(&call, &plan).await?;
            model_call::read_answer(reply, &call).await
        }
    }
}

/// Sends a lookup a second time when the first is slower than most; the first answer counts.
async fn lookup(dispatcher: &Dispatcher, call: &CallContext, plan: &AttemptPlan) -> Reply {
    let start = Instant::now();
    let left = call.deadline.saturating_duration_since(start);
    let attempt = || async {
        let reply = dispatcher.dispatch(call, plan).await?;
        plan.note_tried(&reply.slot.row.host);
        model_call::read_answer(reply, call).await
    };
    let first = std::pin::pin!(attempt());
    let Some(delay) = dispatcher.shared.hedge_delay(plan.kind, left) else {
        return first.await;
    };
    let timer = std::pin::pin!(tokio::time::sleep(delay));
    let first = match future::select(first, timer).await {
        Either::Left((answer, _)) => {
            dispatcher.shared.on_lookup_answer(start.elapsed());
            return answer;
        }
        Either::Right(((), first)) => first,
    };
    if !dispatcher.shared.take_retry() {
        let answer = first.await;
        dispatcher.shared.on_lookup_answer(start.elapsed());
        return answer;
    }
    let second = std::pin::pin!(attempt());
    let answer = match future::select(first, second).await {
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
        Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
    };
    dispatcher.shared.on_lookup_answer(start.elapsed());
    answer
}

async fn keyed_order(
    dispatcher: Dispatcher,
    table: OrderTable,
    call: CallContext,
    plan: AttemptPlan,
    keep: Duration,
    guard: CallGuard,
) -> Reply {
    let need = dispatcher.need(&call, &plan);
    let slot = match dispatcher.shared.acquire(need, Arrival::New).await {
        Ok(it) => it,
        Err(refusal) => return known_outcome(&table, &call, refusal).await,
    };
    let now_ms = order_driver::now_ms();
    let left = call.deadline.saturating_duration_since(Instant::now());
    let own = OrderRow {
        fingerprint: fingerprint(&call),
        attempt: dispatcher::new_attempt(),
        gate: dispatcher::order_gate(&slot),
        claimed_ms: now_ms,
        dispatch_until_ms: now_ms + left.min(MAX_CLAIM_TIME).as_millis() as u64,
        expires_ms: now_ms + keep.as_millis() as u64,
        state: OrderState::Claimed,
    };
    let (sender, receiver) = oneshot::channel();
    let driver = OrderDriver {
        dispatcher,
        table,
        call,
        plan,
        machine: OrderStateMachine::new(own),
        slot: Some(slot),
    };
    tokio::spawn(async move {
        let _guard = guard;
        driver.run(sender).await;
    });
    match receiver.await {
        Ok(answer) => order_reply(answer),
        Err(_) => Err(CallRefusal::new(
            ResultCode::OrderUnknown,
            "the order's task ended without an answer",
        )),
    }
}

/// Looks for a recorded outcome when no target is left to run the order.
async fn known_outcome(table: &OrderTable, call: &CallContext, refusal: CallRefusal) -> Reply {
    let routing::OrderEvent::Read(Some((row, _))) = table.read().await else {
        return Err(refusal);
    };
    if row.fingerprint != fingerprint(call) {
        return order_reply(OrderAnswer::Refused(ResultCode::KeyReused));
    }
    order_reply(match row.state {
        OrderState::Done(outcome) => OrderAnswer::Replayed(outcome),
        OrderState::Unknown => OrderAnswer::Refused(ResultCode::OrderUnknown),
        OrderState::Claimed => OrderAnswer::Refused(ResultCode::OrderInProgress),
    })
}

fn order_reply(answer: OrderAnswer) -> Reply {
    match answer {
        OrderAnswer::Ran(outcome) => outcome_response(&outcome, ResultCode::Ok),
        OrderAnswer::Replayed(outcome) => outcome_response(&outcome, ResultCode::Replayed),
        OrderAnswer::Refused(code) => {
            let message = match code {
                ResultCode::OrderInProgress => "the same order is in progress",
                ResultCode::OrderUnknown => "the order may have run; it will not run again",
                ResultCode::KeyReused => "the key was used for another request",
                ResultCode::TableUnavailable => "the platform's table is down; nothing was started",
                ResultCode::DeadlineUnknown => "the order was running when its deadline passed",
                _ => "the order has not run",
            };
            Err(CallRefusal::new(code, message))
        }
    }
}

fn outcome_response(outcome: &OrderOutcome, code: ResultCode) -> Reply {
    let body = match outcome.is_hex {
        false => Bytes::from(outcome.body.clone()),
        true => from_hex(&outcome.body).into(),
    };
    let mut response = Response::new(httpio::full(body));
    *response.status_mut() =
        httpio::StatusCode::from_u16(outcome.status).unwrap_or(httpio::StatusCode::BAD_GATEWAY);
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

/// Start of the paths of plain services.
pub(crate) const SERVICE_PREFIX: &str = "/services/";

/// Time after which a repeat may ask whether a claim's owner is still there, whatever the deadline.
const MAX_CLAIM_TIME: Duration = Duration::from_secs(30);
