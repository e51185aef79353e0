//! The gate's listener, which admits requests, forwards them to the back end and relays the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use httpio::{
    BufferBudget, BufferShare, HeaderMap, HttpBody, HttpClient, HttpServer, Incoming, Request,
    Response,
};
use hyper::http::request::Parts;
use model::{AttemptId, Incarnation, ResultCode, VersionDigest};
use routing::{AdmissionRequest, CallKind, NamedLimit, RequestRate};
use serde::Deserialize;
use settings::{AgentSettings, SecretText};
use slog::{Logger, warn};

use crate::gate::admitted_attempt::AdmittedAttempt;
use crate::gate::back_end_probe::BackEndProbe;
use crate::gate::response_relay;
use crate::gate::shared_gate::SharedGate;

/// Starts the gate's listener.
pub(crate) fn serve(
    settings: &Arc<AgentSettings>,
    gate: Arc<SharedGate>,
    probe: Arc<BackEndProbe>,
    log: Logger,
) -> anyhow::Result<httpio::ServerHandle> {
    let limits = httpio::ServerLimits {
        max_connections: settings.limits.max_connections,
        max_headers: settings.limits.max_headers,
        max_header_bytes: settings.limits.max_header_bytes,
        header_timeout: settings.limits.header_timeout,
        ..httpio::ServerLimits::default()
    };
    let server = HttpServer::bind(settings.listen.gate, limits)
        .with_context(|| format!("cannot listen on {}", settings.listen.gate))?;
    let forwarder = Forwarder {
        gate,
        probe,
        token: SecretText::new(wire::gate_token(settings.shared_key.reveal())),
        settings: settings.clone(),
        body_budget: BufferBudget::new(settings.limits.max_held_body_bytes),
        back_end: crate::back_end_address(&settings.target),
        client: HttpClient::new(None, CONNECT_TIMEOUT),
        log,
    };
    Ok(server.serve(move |request, peer| {
        let forwarder = forwarder.clone();
        async move { forwarder.forward(request, peer).await }
    })?)
}

#[derive(Clone)]
struct Forwarder {
    gate: Arc<SharedGate>,
    probe: Arc<BackEndProbe>,
    token: SecretText,
    settings: Arc<AgentSettings>,
    back_end: SocketAddr,
    /// Memory that the bodies of requests share until the back end responds.
    body_budget: BufferBudget,
    client: HttpClient,
    log: Logger,
}

/// The fields of a model request from which its cost is estimated.
#[derive(Debug, Default, Deserialize)]
struct CompletionParams {
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

impl Forwarder {
    async fn forward(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<HttpBody> {
        let received_at = Instant::now();
        let (mut parts, body) = request.into_parts();
        if !self.strip_and_verify_token(&mut parts.headers) {
            warn!(self.log, "request without the gate's token"; "peer" => %peer);
            return error_response(
                ResultCode::Unauthorized,
                "the gate accepts requests only from entries of its deployment",
            );
        }
        let Some(attempt) = header(&parts.headers, model::ATTEMPT_HEADER) else {
            return error_response(
                ResultCode::BadRequest,
                "the attempt header is missing or malformed",
            );
        };
        // The body is read completely before admission, so a sender that fails while sending it has started nothing.
        let limits = &self.settings.limits;
        let (max_bytes, timeout) = (limits.max_body_bytes, limits.body_timeout);
        let mut body_share = self.body_budget.share_without_wait();
        let body = httpio::read_into_share(body, max_bytes, timeout, &mut body_share);
        let body = match body.await {
            Ok(body) => body,
            Err(err) if err.kind() == std::io::ErrorKind::QuotaExceeded => {
                warn!(self.log, "request body refused"; "reason" => %err);
                self.gate.on_body_refused();
                return error_response(
                    ResultCode::Overloaded,
                    "other request bodies leave too little memory",
                );
            }
            Err(_) => {
                return error_response(
                    ResultCode::TooSlow,
                    "the request body was not received completely",
                );
            }
        };
        let request = admission_request(&parts.headers, attempt, received_at);
        let params = completion_params(request.kind, &body);
        let tokens = params.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let version = match self.gate.admit(&request, tokens) {
            Ok(version) => version,
            Err(refusal) => return error_response(refusal.code, refusal.reason),
        };
        let gate = self.gate.clone();
        let admitted = AdmittedAttempt::new(gate, attempt, request.kind, tokens, params.stream);
        if request.kind != CallKind::Order {
            return self
                .send_to_back_end(parts, (body, body_share), version, admitted)
                .await;
        }
        // An order continues if the entry disconnects, and counts as running at the gate until it has finished.
        let forwarder = self.clone();
        let task = tokio::spawn(async move {
            forwarder
                .send_to_back_end(parts, (body, body_share), version, admitted)
                .await
        });
        task.await
            .unwrap_or_else(|_| error_response(ResultCode::Internal, "the order's task failed"))
    }

    /// Removes the token from the headers, so that the back end never receives it, and returns whether it is valid.
    fn strip_and_verify_token(&self, headers: &mut HeaderMap) -> bool {
        let value = headers.remove(httpio::header::AUTHORIZATION);
        let token = value
            .as_ref()
            .and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "));
        token.is_some_and(|it| self.token.matches(it))
    }

    async fn send_to_back_end(
        &self,
        mut parts: Parts,
        // The share is returned when the back end has responded.
        (body, _body_share): (Bytes, BufferShare),
        version: Option<VersionDigest>,
        mut admitted: AdmittedAttempt,
    ) -> Response<HttpBody> {
        parts.headers.remove(httpio::header::HOST);
        parts.headers.remove(httpio::header::CONNECTION);
        parts.headers.remove(httpio::header::TRANSFER_ENCODING);
        parts.headers.remove(httpio::header::CONTENT_LENGTH);
        let request = Request::from_parts(parts, httpio::full(body));
        let sent_at = Instant::now();
        let pooled_response = match self.client.send(self.back_end, request).await {
            Ok(it) => it,
            Err(httpio::ClientError::NotSent(err)) => {
                warn!(self.log, "back end cannot be reached"; "reason" => %err);
                return error_response(ResultCode::TargetRefused, "the back end cannot be reached");
            }
            Err(err) => {
                warn!(self.log, "connection to the back end was lost"; "reason" => %err);
                // Noticed at once, because the back end may be started again before an entry asks.
                self.probe.ended_at().await;
                return error_response(
                    ResultCode::TargetLost,
                    "the connection to the back end was lost",
                );
            }
        };
        self.probe.record_alive();
        if !pooled_response.has_valid_status() {
            let status = pooled_response.response.status().as_u16();
            warn!(self.log, "response of the back end has an invalid status"; "status" => status);
            return error_response(
                ResultCode::TargetLost,
                "the response of the back end has an invalid status",
            );
        }
        let named = named_limit(pooled_response.response.headers());
        self.gate.record_limit(named, sent_at);
        let (response, _sender, _address) = pooled_response.into_parts();
        if admitted.kind() == CallKind::Completion && response.status() == ENGINE_REFUSAL_STATUS {
            return error_response(ResultCode::TargetRefused, "the engine refused the request");
        }
        if let Some(version) = version
            && response.status().is_success()
            && header(response.headers(), model::VERSION_HEADER) != Some(version)
        {
            // The engine switched versions after admission, so the response is not from the version that the entry
            // expects.
            return error_response(
                ResultCode::TargetRefused,
                "the engine serves another version",
            );
        }
        if admitted.kind() != CallKind::Completion {
            admitted.on_frame();
        }
        response_relay::relay(response, admitted, self.log.clone())
    }
}

/// Returns what a response of the back end says about its limit.
fn named_limit(headers: &HeaderMap) -> NamedLimit {
    let Some(value) = headers.get(model::LIMIT_HEADER) else {
        return NamedLimit::None;
    };
    let rate = value.to_str().ok().and_then(RequestRate::parse);
    rate.map_or(NamedLimit::Unreadable, NamedLimit::Limit)
}

/// Returns the request for admission of an attempt whose head was received at `received_at`. Its body may have taken long, or this
/// process may have been suspended since.
fn admission_request(
    headers: &HeaderMap,
    attempt: AttemptId,
    received_at: Instant,
) -> AdmissionRequest {
    let time_limit = header(headers, model::DEADLINE_HEADER)
        .map_or(DEFAULT_TIME_REMAINING, Duration::from_millis);
    AdmissionRequest {
        attempt,
        // Without the header it is unknown whether the call may be retried, so the strictest kind is assumed.
        kind: header(headers, model::CALL_KIND_HEADER).unwrap_or(CallKind::Order),
        incarnation: header(headers, model::INCARNATION_HEADER).map(Incarnation),
        version: header(headers, model::REQUIRE_VERSION_HEADER),
        time_remaining: time_limit.saturating_sub(received_at.elapsed()),
    }
}

fn completion_params(kind: CallKind, body: &[u8]) -> CompletionParams {
    match kind {
        CallKind::Completion => serde_json::from_slice(body).unwrap_or_default(),
        CallKind::Lookup | CallKind::Order => CompletionParams {
            max_tokens: Some(0),
            stream: false,
        },
    }
}

fn error_response(code: ResultCode, message: &str) -> Response<HttpBody> {
    let body =
        serde_json::json!({ "code": code.number(), "name": code.name(), "message": message });
    let mut response = Response::new(httpio::full(body.to_string()));
    *response.status_mut() =
        httpio::StatusCode::from_u16(code.http_status()).unwrap_or(httpio::StatusCode::BAD_GATEWAY);
    if let Ok(value) = code.to_string().parse() {
        response.headers_mut().insert(model::RESULT_HEADER, value);
    }
    response
}

fn header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Status with which an engine refuses a request that it has not started.
const ENGINE_REFUSAL_STATUS: httpio::StatusCode = httpio::StatusCode::SERVICE_UNAVAILABLE;

/// Assumed number of output tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Assumed time until the deadline of a request without one.
const DEFAULT_TIME_REMAINING: Duration = Duration::from_secs(120);

/// Timeout for connecting to the back end on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
