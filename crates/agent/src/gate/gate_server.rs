//! The gate's listener: admits a request, forwards it to the back end and relays the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http_body_util::BodyExt;
use httpio::{HeaderMap, HttpClient, HttpServer, Incoming, ReplyBody, Request, Response};
use model::{AttemptId, ResultCode, VersionDigest};
use settings::AgentSettings;
use slog::{Logger, warn};

use crate::gate::gate_shared::GateShared;

/// Starts the gate's listener.
pub(crate) fn serve(
    settings: &Arc<AgentSettings>,
    gate: Arc<GateShared>,
    log: Logger,
) -> anyhow::Result<httpio::ServerHandle> {
    let limits = httpio::ServerLimits {
        max_connections: settings.limits.max_connections,
        header_timeout: settings.limits.header_timeout,
        ..httpio::ServerLimits::default()
    };
    let server = HttpServer::bind(settings.listen.gate, limits)
        .with_context(|| format!("cannot listen on {}", settings.listen.gate))?;
    let forwarder = Forwarder {
        gate,
        back_end: crate::back_end(&settings.target),
        client: HttpClient::new(None, CONNECT_TIMEOUT),
        log,
    };
    Ok(server.serve(move |request, _peer| {
        let forwarder = forwarder.clone();
        async move { forwarder.forward(request).await }
    })?)
}

#[derive(Clone)]
struct Forwarder {
    gate: Arc<GateShared>,
    back_end: SocketAddr,
    client: HttpClient,
    log: Logger,
}

/// Ends an admitted attempt when the answer is over or the entry went away, whichever way that happens.
struct AdmittedAttempt {
    gate: Arc<GateShared>,
    attempt: AttemptId,
}

impl Drop for AdmittedAttempt {
    fn drop(&mut self) {
        self.gate.end(self.attempt);
    }
}

impl Forwarder {
    async fn forward(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let Some(attempt) = header(request.headers(), model::ATTEMPT_HEADER) else {
            return refusal(
                ResultCode::BadRequest,
                "the attempt header is missing or malformed",
            );
        };
        let required = header::<VersionDigest>(request.headers(), model::REQUIRE_VERSION_HEADER);
        let version = match self.gate.admit(attempt, required) {
            Ok(version) => version,
            Err(code) => return refusal(code, "the gate refused the attempt"),
        };
        let admitted = AdmittedAttempt {
            gate: self.gate.clone(),
            attempt,
        };
        let (mut parts, body) = request.into_parts();
        parts.headers.remove(httpio::header::HOST);
        parts.headers.remove(httpio::header::CONNECTION);
        let request = Request::from_parts(parts, body.map_err(std::io::Error::other).boxed());
        let reply = match self.client.send(self.back_end, request).await {
            Ok(reply) => reply,
            Err(httpio::ClientError::NotSent(err)) => {
                warn!(self.log, "back end cannot be reached"; "attempt" => %attempt, "reason" => %err);
                return refusal(ResultCode::TargetRefused, "the back end cannot be reached");
            }
            Err(err) => {
                warn!(self.log, "back end was lost"; "attempt" => %attempt, "reason" => %err);
                return refusal(ResultCode::TargetLost, "the back end was lost");
            }
        };
        let (response, _sender, _address) = reply.into_parts();
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
        relay(response, admitted)
    }
}

/// Passes an answer on while holding on to the admitted attempt.
fn relay(response: Response<Incoming>, admitted: AdmittedAttempt) -> Response<ReplyBody> {
    let (mut parts, mut body) = response.into_parts();
    let (sender, reply) = httpio::stream(RELAY_DEPTH);
    tokio::spawn(async move {
        let _admitted = admitted;
        loop {
            // The entry may go away while the engine is silent; then the engine's work has to be cancelled.
            let frame = tokio::select! {
                it = body.frame() => it,
                () = sender.closed() => return,
            };
            let Some(frame) = frame else { return };
            let failed = frame.is_err();
            if sender
                .send(frame.map_err(std::io::Error::other))
                .await
                .is_err()
                || failed
            {
                return;
            }
        }
    });
    parts.headers.remove(httpio::header::TRANSFER_ENCODING);
    parts.headers.remove(httpio::header::CONNECTION);
    let ok = ResultCode::Ok.to_string();
    if let Ok(value) = ok.parse() {
        parts.headers.insert(model::RESULT_HEADER, value);
    }
    Response::from_parts(parts, reply)
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

/// Time to connect to the back end on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pieces of an answer that wait for a slow entry before the engine is held back.
const RELAY_DEPTH: usize = 16;
