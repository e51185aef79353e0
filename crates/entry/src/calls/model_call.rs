//! Handler for requests to models.

use std::time::Instant;

use bytes::Bytes;
use httpio::{HttpBody, Method, Response};
use model::{ResultCode, TargetKind, VersionDigest};
use routing::CallKind;
use serde::de::IgnoredAny;
use slog::Logger;

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::call_error::CallError;
use crate::calls::crash_guard;
use crate::calls::dispatcher::Dispatcher;
use crate::calls::model_request::ModelRequest;
use crate::calls::stream_relay::StreamRelay;
use crate::calls::target_response::TargetResponse;
use crate::control::ControlSnapshot;

/// Handles a request to a model.
pub(crate) async fn handle(
    dispatcher: &Dispatcher,
    call: CallContext,
    snapshot: &ControlSnapshot,
    guard: CallGuard,
    log: &Logger,
) -> Result<Response<HttpBody>, CallError> {
    if call.method != Method::POST {
        return Err(CallError::new(
            ResultCode::MethodNotAllowed,
            "the method is not POST",
        ));
    }
    let request: ModelRequest<'_> = serde_json::from_slice(&call.body).map_err(|err| {
        let message = format!("the body is not a valid completion request: {err}");
        CallError::new(ResultCode::BadRequest, message)
    })?;
    let config = snapshot.config.as_ref();
    if !config.is_some_and(|it| it.models.contains_key(&request.model)) {
        let message = format!("the model {} does not exist", request.model);
        return Err(CallError::new(ResultCode::NotFound, message));
    }
    let target = TargetKind::Model(request.model.clone());
    let plan = AttemptPlan {
        parts: crash_guard::parts(&target, request.texts().map(str::as_bytes)),
        cost: request.estimated_tokens(),
        tokens_before_response: match request.stream {
            true => 0,
            false => request.estimated_tokens(),
        },
        prefix_digest: request.prefix_digest(),
        ..AttemptPlan::new(target, CallKind::Completion)
    };
    let is_streamed = request.stream;
    dispatcher.scheduler.on_request();
    if !is_streamed {
        return buffered_response(dispatcher, &call, &plan).await;
    }
    let target_response = dispatcher.dispatch(&call, &plan).await?;
    let head = target_response.head();
    let version = head.headers().get(model::VERSION_HEADER);
    let version: Option<VersionDigest> = version
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.parse().ok());
    let (Some(version), true) = (version, head.status().is_success()) else {
        return read_response(target_response, &call).await;
    };
    let (sender, body) = httpio::stream(RELAY_BUFFER_FRAMES);
    let response = copy_head(head, body);
    let relay = StreamRelay {
        dispatcher: dispatcher.clone(),
        call,
        plan,
        version,
        sender,
        log: log.clone(),
    };
    tokio::spawn(relay.run(target_response, guard));
    Ok(response)
}

/// Handles a request without streaming.
///
/// Nothing is delivered to the caller before the response is complete, so an interrupted response can be computed
/// again, within the retry budget.
async fn buffered_response(
    dispatcher: &Dispatcher,
    call: &CallContext,
    plan: &AttemptPlan,
) -> Result<Response<HttpBody>, CallError> {
    loop {
        let response = dispatcher.dispatch(call, plan).await?;
        let host = response.slot.row.host.clone();
        let row = response.slot.row.clone();
        let result = read_completion(response, call).await;
        let guard = &dispatcher.guard;
        if result.is_ok() {
            guard.record_survival(&plan.parts, Instant::now());
            return result;
        }
        let may_retry = guard.may_retry_lost(&row, &plan.parts).await;
        let in_time = Instant::now() < call.deadline;
        if !in_time || !may_retry || !dispatcher.scheduler.try_acquire_retry() {
            return result;
        }
        plan.mark_tried(&host);
        dispatcher.scheduler.on_failure(&host);
    }
}

/// Reads the complete response to a request without streaming.
///
/// Without a length or chunks, a response whose engine crashed can end like a complete one, so a success must also be
/// complete JSON.
async fn read_completion(
    response: TargetResponse,
    call: &CallContext,
) -> Result<Response<HttpBody>, CallError> {
    let response = read_bytes(response, call).await?;
    let is_complete = serde_json::from_slice::<IgnoredAny>(response.body()).is_ok();
    if response.status().is_success() && !is_complete {
        let message = "the engine's response ended before its JSON was complete";
        return Err(CallError::new(ResultCode::TargetLost, message));
    }
    Ok(caller_response(&response))
}

/// Reads the complete body of a response, and copies the headers that are passed on to callers.
pub(crate) async fn read_response(
    response: TargetResponse,
    call: &CallContext,
) -> Result<Response<HttpBody>, CallError> {
    Ok(caller_response(&read_bytes(response, call).await?))
}

async fn read_bytes(
    response: TargetResponse,
    call: &CallContext,
) -> Result<Response<Bytes>, CallError> {
    let deadline = call.deadline.into();
    let response = response.read(MAX_RESPONSE_BYTES, deadline).await;
    response.map_err(|err| {
        let code = match err.kind() {
            std::io::ErrorKind::TimedOut => ResultCode::DeadlineUnknown,
            _ => ResultCode::TargetLost,
        };
        CallError::new(code, err.to_string())
    })
}

fn caller_response(response: &Response<Bytes>) -> Response<HttpBody> {
    copy_head(response, httpio::full(response.body().clone()))
}

fn copy_head<B>(head: &Response<B>, body: HttpBody) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status();
    let copied = [
        httpio::header::CONTENT_TYPE.as_str(),
        httpio::header::CACHE_CONTROL.as_str(),
        model::VERSION_HEADER,
    ];
    for name in copied {
        if let Some(value) = head.headers().get(name) {
            let name = httpio::header::HeaderName::from_static(name);
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Number of body frames buffered for a slow caller before backpressure is applied to the target.
const RELAY_BUFFER_FRAMES: usize = 32;

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
