//! Executes single calls, including retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use httpio::{
    ClientError, HttpClient, Incoming, Method, PooledResponse, Request, Response, StatusCode,
};
use model::{ResultCode, RunStatus, VersionDigest};
use rand::{RngExt, rngs::StdRng};
use serde_json::json;

use crate::load::call_outcome::{CallKind, CallOutcome, CallRecord};
use crate::load::entry_directory::EntryDirectory;
use crate::load::load_plan::LoadPlan;
use crate::load::stream_check::StreamCheck;
use crate::plain_service::ServiceResponse;

/// Sends calls on behalf of the organisations of a plan.
#[derive(Clone, Debug)]
pub(crate) struct CallClient {
    pub(crate) plan: Arc<LoadPlan>,
    pub(crate) directory: Arc<EntryDirectory>,
    pub(crate) http: HttpClient,
}

/// A call with its scheduled start.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledCall {
    pub(crate) kind: CallKind,
    pub(crate) run_key: String,
    pub(crate) organisation: usize,
    pub(crate) scheduled_at: Instant,
}

/// Maximum number of attempts at one call, each through a different entry if possible.
const MAX_ATTEMPTS: usize = 4;

/// Delay before a call to a service is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Time that a caller waits beyond the deadline, so that it receives the error response with which the system reports
/// the missed deadline.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

impl CallClient {
    /// Executes a call and returns its record.
    pub(crate) async fn call(&self, call: ScheduledCall, mut rng: StdRng) -> CallRecord {
        let mut record = CallRecord {
            kind: call.kind,
            run_key: call.run_key.clone(),
            organisation: call.organisation,
            scheduled_at: call.scheduled_at,
            ended_at: call.scheduled_at,
            outcome: CallOutcome::Unknown(0),
            version: None,
            time_to_first_token: None,
            token_gaps: Vec::new(),
        };
        let time_limit = self.plan.deadline + DEADLINE_GRACE;
        let attempts = async {
            match call.kind {
                CallKind::Stream => self.call_stream(&call, &mut record, &mut rng).await,
                CallKind::Order => self.place_order(&call, &mut rng).await,
                CallKind::Lookup => self.call_service(&call, &mut rng).await,
            }
        };
        let outcome = tokio::time::timeout(time_limit, attempts).await;
        record.outcome = outcome.unwrap_or(CallOutcome::Unknown(0));
        record.ended_at = Instant::now();
        record
    }

    async fn call_stream(
        &self,
        call: &ScheduledCall,
        record: &mut CallRecord,
        rng: &mut StdRng,
    ) -> CallOutcome {
        let mut avoid = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let entry = self.directory.choose(&self.http, &avoid, rng).await;
            match self.http.send(entry, self.stream_request(call)).await {
                Ok(it) => return self.read_stream(call, record, it).await,
                // The request was not sent, so it is safe to try another entry.
                Err(ClientError::NotSent(_)) => avoid.push(entry),
                Err(ClientError::NoResponse(err)) => {
                    return CallOutcome::Truncated(err.to_string());
                }
            }
        }
        CallOutcome::NotRun(0)
    }

    /// Reads and verifies a streamed response, and records its latencies in `record`.
    async fn read_stream(
        &self,
        call: &ScheduledCall,
        record: &mut CallRecord,
        pooled_response: PooledResponse,
    ) -> CallOutcome {
        if pooled_response.response.status() != StatusCode::OK {
            return outcome_of_error(&pooled_response.response);
        }
        let Some(version) = version_header(&pooled_response.response) else {
            return CallOutcome::Incorrect("the response has no valid version header".to_owned());
        };
        record.version = Some(version);
        if !self.plan.versions.is_empty() && !self.plan.versions.contains(&version) {
            return CallOutcome::Incorrect(format!("version {version} is not in the load plan"));
        }
        let (response, sender, address) = pooled_response.into_parts();
        let mut check = StreamCheck::new(version, &call.run_key, self.plan.tokens);
        let mut body = response.into_body();
        let connection_error = loop {
            match body.frame().await {
                None => break None,
                Some(Err(err)) => break Some(err.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        check.feed(&data, Instant::now());
                    }
                }
            }
        };
        if connection_error.is_none() {
            self.http.recycle(sender, address);
        }
        let first_token = check.first_token;
        record.time_to_first_token =
            first_token.map(|it| it.saturating_duration_since(call.scheduled_at));
        record.token_gaps = std::mem::take(&mut check.token_gaps);
        check.into_outcome(connection_error)
    }

    /// Places an order. A fraction of the answered orders, `duplicate_share`, is sent again, as impatient callers do.
    async fn place_order(&self, call: &ScheduledCall, rng: &mut StdRng) -> CallOutcome {
        let first_outcome = self.call_service(call, rng).await;
        if first_outcome != CallOutcome::Correct || !rng.random_bool(self.plan.duplicate_share) {
            return first_outcome;
        }
        match self.call_service(call, rng).await {
            incorrect @ CallOutcome::Incorrect(_) => incorrect,
            // Any other outcome of the duplicate is irrelevant, because the order has already been answered.
            _ => first_outcome,
        }
    }

    /// Places an order or executes a lookup. If the response is lost, the same request is retried through another
    /// entry.
    async fn call_service(&self, call: &ScheduledCall, rng: &mut StdRng) -> CallOutcome {
        let mut avoid = Vec::new();
        let mut unknown_code = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            let entry = self.directory.choose(&self.http, &avoid, rng).await;
            avoid.push(entry);
            match self.attempt_service_call(call, entry).await {
                Ok(CallOutcome::Unknown(code)) => {
                    unknown_code = Some(code);
                    let code = ResultCode::from_number(code);
                    if !code.is_some_and(ResultCode::is_retryable) {
                        break;
                    }
                }
                // A refusal applies only to this attempt; an earlier attempt with unknown outcome may still have run.
                Ok(CallOutcome::NotRun(_)) if unknown_code.is_some() => {}
                Ok(outcome) => return outcome,
                Err(ClientError::NotSent(_)) => {}
                Err(ClientError::NoResponse(_)) => unknown_code = Some(0),
            }
        }
        unknown_code.map_or(CallOutcome::NotRun(0), CallOutcome::Unknown)
    }

    async fn attempt_service_call(
        &self,
        call: &ScheduledCall,
        entry: SocketAddr,
    ) -> Result<CallOutcome, ClientError> {
        let pooled_response = self.http.send(entry, self.service_request(call)).await?;
        if pooled_response.response.status() != StatusCode::OK {
            return Ok(outcome_of_error(&pooled_response.response));
        }
        let read_result = pooled_response
            .read(&self.http, MAX_RESPONSE_BYTES, self.plan.deadline)
            .await;
        let Ok(response) = read_result else {
            return Ok(CallOutcome::Unknown(0));
        };
        let service_response = serde_json::from_slice::<ServiceResponse>(response.body());
        Ok(match service_response {
            Ok(it) if matches_call(call, &it) => CallOutcome::Correct,
            Ok(it) => CallOutcome::Incorrect(format!("the response belongs to {it:?}")),
            Err(err) => CallOutcome::Incorrect(err.to_string()),
        })
    }

    fn stream_request(&self, call: &ScheduledCall) -> Request<httpio::HttpBody> {
        let body = json!({
            "model": self.plan.model,
            "messages": [{ "role": "user", "content": call.run_key }],
            "max_tokens": self.plan.tokens,
            "stream": true,
        });
        self.request(Method::POST, "/v1/chat/completions", call)
            .body(httpio::full(body.to_string()))
            .expect("the parts of the request are valid")
    }

    fn service_request(&self, call: &ScheduledCall) -> Request<httpio::HttpBody> {
        let service = &self.plan.service;
        let request = match call.kind {
            CallKind::Order => self
                .request(Method::POST, &format!("/services/{service}/reserve"), call)
                .header(model::IDEMPOTENCY_HEADER, &call.run_key),
            _ => self.request(
                Method::GET,
                &format!("/services/{service}{}", call.run_key),
                call,
            ),
        };
        let body = match call.kind {
            CallKind::Order => httpio::full(json!({ "order": call.run_key }).to_string()),
            _ => httpio::empty(),
        };
        request
            .body(body)
            .expect("the parts of the request are valid")
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        call: &ScheduledCall,
    ) -> hyper::http::request::Builder {
        let token = &self.plan.organisations[call.organisation].token;
        Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json")
            .header(
                model::DEADLINE_HEADER,
                self.plan.deadline.as_millis() as u64,
            )
    }
}

/// Returns whether `response` belongs to `call`.
fn matches_call(call: &ScheduledCall, response: &ServiceResponse) -> bool {
    match call.kind {
        CallKind::Order => response.key.as_deref() == Some(&call.run_key),
        _ => response.path == call.run_key,
    }
}

fn version_header(response: &Response<Incoming>) -> Option<VersionDigest> {
    let value = response.headers().get(model::VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Derives the outcome from the result code of a response whose status is not 200.
fn outcome_of_error(response: &Response<Incoming>) -> CallOutcome {
    let code = response
        .headers()
        .get(model::RESULT_HEADER)
        .and_then(|it| it.to_str().ok())
        .and_then(ResultCode::from_header);
    let Some(code) = code else {
        return CallOutcome::Incorrect(format!(
            "status {} without a result code",
            response.status()
        ));
    };
    match code.run_status() {
        RunStatus::NotRun => CallOutcome::NotRun(code.number()),
        RunStatus::Unknown => CallOutcome::Unknown(code.number()),
        RunStatus::Partial => CallOutcome::EndedWithError(code.number()),
        RunStatus::Ran => CallOutcome::Incorrect(format!(
            "status {} with result code {code}",
            response.status()
        )),
    }
}
