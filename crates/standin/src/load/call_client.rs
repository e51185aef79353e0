//! Single calls and their repeats.

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

/// Makes calls for the organisations of a plan.
#[derive(Clone, Debug)]
pub(crate) struct CallClient {
    pub(crate) plan: Arc<LoadPlan>,
    pub(crate) directory: Arc<EntryDirectory>,
    pub(crate) http: HttpClient,
}

/// One call to make.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    pub(crate) kind: CallKind,
    pub(crate) marker: String,
    pub(crate) organisation: usize,
    pub(crate) planned: Instant,
}

/// Attempts at one call, over different entries.
const MAX_ATTEMPTS: usize = 4;

/// Pause before an order is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Largest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Time that a caller waits beyond the deadline, so that the system's own word comes first.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

impl CallClient {
    /// Makes one call and returns its record.
    pub(crate) async fn call(&self, call: PlannedCall, mut dice: StdRng) -> CallRecord {
        let mut record = CallRecord {
            kind: call.kind,
            run_key: call.marker.clone(),
            organisation: call.organisation,
            scheduled_at: call.planned,
            ended_at: call.planned,
            outcome: CallOutcome::Unknown(0),
            version: None,
            time_to_first_token: None,
            token_gaps: Vec::new(),
        };
        let limit = self.plan.deadline + DEADLINE_GRACE;
        let work = async {
            match call.kind {
                CallKind::Stream => self.stream(&call, &mut record, &mut dice).await,
                CallKind::Order => self.order(&call, &mut dice).await,
                CallKind::Lookup => self.service(&call, &mut dice).await,
            }
        };
        let outcome = tokio::time::timeout(limit, work).await;
        record.outcome = outcome.unwrap_or(CallOutcome::Unknown(0));
        record.ended_at = Instant::now();
        record
    }

    async fn stream(
        &self,
        call: &PlannedCall,
        record: &mut CallRecord,
        dice: &mut StdRng,
    ) -> CallOutcome {
        let mut avoid = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let entry = self.directory.choose(&self.http, &avoid, dice).await;
            match self.http.send(entry, self.stream_request(call)).await {
                Ok(reply) => return self.read_stream(call, record, reply).await,
                // Nothing was sent, so another entry may be asked.
                Err(ClientError::NotSent(_)) => avoid.push(entry),
                Err(ClientError::NoResponse(err)) => {
                    return CallOutcome::Truncated(err.to_string());
                }
            }
        }
        CallOutcome::NotRun(0)
    }

    async fn read_stream(
        &self,
        call: &PlannedCall,
        record: &mut CallRecord,
        reply: PooledResponse,
    ) -> CallOutcome {
        if reply.response.status() != StatusCode::OK {
            return refusal(&reply.response);
        }
        let Some(version) = version_of(&reply.response) else {
            return CallOutcome::Incorrect("the answer names no version".to_owned());
        };
        record.version = Some(version);
        if !self.plan.versions.is_empty() && !self.plan.versions.contains(&version) {
            return CallOutcome::Incorrect(format!("the version {version} was never rolled out"));
        }
        let (response, sender, address) = reply.into_parts();
        let mut check = StreamCheck::new(version, &call.marker, self.plan.tokens);
        let mut body = response.into_body();
        let cut = loop {
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
        if cut.is_none() {
            self.http.recycle(sender, address);
        }
        let first_token = check.first_token;
        record.time_to_first_token =
            first_token.map(|it| it.saturating_duration_since(call.planned));
        record.token_gaps = std::mem::take(&mut check.gaps);
        check.end(cut)
    }

    /// Makes an order, and repeats it although it was answered where the plan says so, as hasty callers do.
    async fn order(&self, call: &PlannedCall, dice: &mut StdRng) -> CallOutcome {
        let first = self.service(call, dice).await;
        if first != CallOutcome::Correct || !dice.random_bool(self.plan.duplicate_share) {
            return first;
        }
        match self.service(call, dice).await {
            wrong @ CallOutcome::Incorrect(_) => wrong,
            // Whatever else becomes of the repeat, the order itself has been answered.
            _ => first,
        }
    }

    /// Makes an order or a lookup; one whose answer was lost is repeated as it was through another entry.
    async fn service(&self, call: &PlannedCall, dice: &mut StdRng) -> CallOutcome {
        let mut avoid = Vec::new();
        let mut in_doubt = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(REPEAT_DELAY).await;
            }
            let entry = self.directory.choose(&self.http, &avoid, dice).await;
            avoid.push(entry);
            match self.try_service(call, entry).await {
                Ok(CallOutcome::Unknown(code)) => {
                    in_doubt = Some(code);
                    let code = ResultCode::from_number(code);
                    if !code.is_some_and(ResultCode::is_retryable) {
                        break;
                    }
                }
                // A refusal speaks of its own attempt, not of an earlier one in doubt.
                Ok(CallOutcome::NotRun(_)) if in_doubt.is_some() => {}
                Ok(outcome) => return outcome,
                Err(ClientError::NotSent(_)) => {}
                Err(ClientError::NoResponse(_)) => in_doubt = Some(0),
            }
        }
        in_doubt.map_or(CallOutcome::NotRun(0), CallOutcome::Unknown)
    }

    async fn try_service(
        &self,
        call: &PlannedCall,
        entry: SocketAddr,
    ) -> Result<CallOutcome, ClientError> {
        let reply = self.http.send(entry, self.service_request(call)).await?;
        if reply.response.status() != StatusCode::OK {
            return Ok(refusal(&reply.response));
        }
        let read = reply
            .read(&self.http, MAX_ANSWER_BYTES, self.plan.deadline)
            .await;
        let Ok(response) = read else {
            return Ok(CallOutcome::Unknown(0));
        };
        let answer = serde_json::from_slice::<ServiceResponse>(response.body());
        Ok(match answer {
            Ok(answer) if is_own(call, &answer) => CallOutcome::Correct,
            Ok(answer) => CallOutcome::Incorrect(format!("the answer to {answer:?}")),
            Err(err) => CallOutcome::Incorrect(err.to_string()),
        })
    }

    fn stream_request(&self, call: &PlannedCall) -> Request<httpio::HttpBody> {
        let body = json!({
            "model": self.plan.model,
            "messages": [{ "role": "user", "content": call.marker }],
            "max_tokens": self.plan.tokens,
            "stream": true,
        });
        self.request(Method::POST, "/v1/chat/completions", call)
            .body(httpio::full(body.to_string()))
            .expect("the parts of a request are valid")
    }

    fn service_request(&self, call: &PlannedCall) -> Request<httpio::HttpBody> {
        let service = &self.plan.service;
        let request = match call.kind {
            CallKind::Order => self
                .request(Method::POST, &format!("/services/{service}/reserve"), call)
                .header(model::IDEMPOTENCY_HEADER, &call.marker),
            _ => self.request(
                Method::GET,
                &format!("/services/{service}{}", call.marker),
                call,
            ),
        };
        let body = match call.kind {
            CallKind::Order => httpio::full(json!({ "order": call.marker }).to_string()),
            _ => httpio::empty(),
        };
        request
            .body(body)
            .expect("the parts of a request are valid")
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        call: &PlannedCall,
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

fn is_own(call: &PlannedCall, answer: &ServiceResponse) -> bool {
    match call.kind {
        CallKind::Order => answer.key.as_deref() == Some(&call.marker),
        _ => answer.path == call.marker,
    }
}

fn version_of(response: &Response<Incoming>) -> Option<VersionDigest> {
    let value = response.headers().get(model::VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Reads what an answer other than 200 says of itself.
fn refusal(response: &Response<Incoming>) -> CallOutcome {
    let code = response
        .headers()
        .get(model::RESULT_HEADER)
        .and_then(|it| it.to_str().ok())
        .and_then(ResultCode::from_header);
    let Some(code) = code else {
        return CallOutcome::Incorrect(format!("{} without a result code", response.status()));
    };
    match code.run_status() {
        RunStatus::NotRun => CallOutcome::NotRun(code.number()),
        RunStatus::Unknown => CallOutcome::Unknown(code.number()),
        RunStatus::Partial => CallOutcome::EndedWithError(code.number()),
        RunStatus::Ran => CallOutcome::Incorrect(format!("{} with {code}", response.status())),
    }
}
