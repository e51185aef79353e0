//! The gate's listener: admits a request, forwards it to the back end and relays the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use httpio::{HeaderMap, HttpClient, HttpServer, Incoming, ReplyBody, Request, Response};
use hyper::http::request::Parts;
use model::{AttemptId, Incarnation, ResultCode, VersionDigest};
use routing::{AdmissionRequest, CallKind};
use serde::Deserialize;
use settings::{AgentSettings, SecretText};
use slog::{Logger, warn};

use crate::gate::admitted_attempt::AdmittedAttempt;
use crate::gate::answer_relay;
use crate::gate::gate_shared::GateShared;

/// Starts the gate's listener.
pub(crate) fn serve(
    settings: &Arc<AgentSettings>,
    gate: Arc<GateShared>,
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
        token: SecretText::new(wire::gate_token(settings.shared_key.reveal())),
        settings: settings.clone(),
        back_end: crate::back_end(&settings.target),
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
    gate: Arc<GateShared>,
    token: SecretText,
    settings: Arc<AgentSettings>,
    back_end: SocketAddr,
    client: HttpClient,
    log: Logger,
}

/// The fields of a model request that tell how much work it is.
#[derive(Debug, Default, Deserialize)]
struct RequestSize {
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

impl Forwarder {
    async fn forward(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<ReplyBody> {
        let (mut parts, body) = request.into_parts();
        if !self.takes_token(&mut parts.headers) {
            warn!(self.log, "request without the gate's token"; "peer" => %peer);
            return refusal(
                ResultCode::Unauthorized,
                "the gate takes requests from entries of its deployment only",
            );
        }
        let Some(attempt) = header(&parts.headers, model::ATTEMPT_HEADER) else {
            return refusal(
                ResultCode::BadRequest,
                "the attempt header is missing or malformed",
            );
        };
        // The whole request is here before anything starts, so a sender that dies in the middle has started nothing.
        let limits = &self.settings.limits;
        let body = httpio::read_limited(body, limits.max_body_bytes, limits.body_timeout).await;
        let Ok(body) = body else {
            return refusal(ResultCode::TooSlow, "the request did not arrive whole");
        };
        let request = admit_request(&parts.headers, attempt);
        let size = request_size(request.kind, &body);
        let tokens = size.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let version = match self.gate.admit(&request, tokens) {
            Ok(version) => version,
            Err(refused) => return refusal(refused.code, refused.reason),
        };
        let gate = self.gate.clone();
        let admitted = AdmittedAttempt::new(gate, attempt, request.kind, tokens, size.stream);
        if request.kind != CallKind::Order {
            return self.run(parts, body, version, admitted).await;
        }
        // An order goes on when the entry goes away; the gate's book says that it is running until it has ended.
        let forwarder = self.clone();
        let work = tokio::spawn(async move { forwarder.run(parts, body, version, admitted).await });
        work.await
            .unwrap_or_else(|_| refusal(ResultCode::Internal, "the order's task failed"))
    }

    /// Takes the token out of the headers, so that the back end never sees it, and tells whether it is the right one.
    fn takes_token(&self, headers: &mut HeaderMap) -> bool {
        let value = headers.remove(httpio::header::AUTHORIZATION);
        let token = value
            .as_ref()
            .and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "));
        token.is_some_and(|it| self.token.matches(it))
    }

    async fn run(
        &self,
        mut parts: Parts,
        body: Bytes,
        version: Option<VersionDigest>,
        mut admitted: AdmittedAttempt,
    ) -> Response<ReplyBody> {
        parts.headers.remove(httpio::header::HOST);
        parts.headers.remove(httpio::header::CONNECTION);
        parts.headers.remove(httpio::header::TRANSFER_ENCODING);
        parts.headers.remove(httpio::header::CONTENT_LENGTH);
        let request = Request::from_parts(parts, httpio::full(body));
        let reply = match self.client.send(self.back_end, request).await {
            Ok(reply) => reply,
            Err(httpio::ClientError::NotSent(err)) => {
                warn!(self.log, "back end cannot be reached"; "reason" => %err);
                return refusal(ResultCode::TargetRefused, "the back end cannot be reached");
            }
            Err(err) => {
                warn!(self.log, "back end was lost"; "reason" => %err);
                return refusal(ResultCode::TargetLost, "the back end was lost");
            }
        };
        let (response, _sender, _address) = reply.into_parts();
        if admitted.kind() == CallKind::Completion && response.status() == ENGINE_REFUSES {
            return refusal(ResultCode::TargetRefused, "the engine refused the request");
        }
        if let Some(version) = version
            && response.status().is_success()
            && header(response.headers(), model::VERSION_HEADER) != Some(version)
        {
            // The engine has changed under the gate, so the answer would not be what the entry asked for.
            return refusal(
                ResultCode::TargetRefused,
                "the engine answers from another version",
            );
        }
        if admitted.kind() != CallKind::Completion {
            admitted.on_piece();
        }
        answer_relay::relay(response, admitted)
    }
}

fn admit_request(headers: &HeaderMap, attempt: AttemptId) -> AdmissionRequest {
    let left = header(headers, model::DEADLINE_HEADER).map_or(DEFAULT_LEFT, Duration::from_millis);
    AdmissionRequest {
        attempt,
        // A sender that does not say how often the call may run gets the strictest treatment.
        kind: header(headers, model::CALL_KIND_HEADER).unwrap_or(CallKind::Order),
        incarnation: header(headers, model::INCARNATION_HEADER).map(Incarnation),
        version: header(headers, model::REQUIRE_VERSION_HEADER),
        time_remaining: left,
    }
}

fn request_size(kind: CallKind, body: &[u8]) -> RequestSize {
    match kind {
        CallKind::Completion => serde_json::from_slice(body).unwrap_or_default(),
        CallKind::Lookup | CallKind::Order => RequestSize {
            max_tokens: Some(0),
            stream: false,
        },
    }
}

fn refusal(code: ResultCode, message: &str) -> Response<ReplyBody> {
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

/// What an engine answers when it has not started a request.
const ENGINE_REFUSES: httpio::StatusCode = httpio::StatusCode::SERVICE_UNAVAILABLE;

/// Tokens that a request which names no number is taken to produce.
const DEFAULT_TOKENS: u32 = 256;

/// Time left for a request that names no deadline.
const DEFAULT_LEFT: Duration = Duration::from_secs(120);

/// Time to connect to the back end on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
