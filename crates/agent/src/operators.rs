//! HTTP listener for operators, which returns a dump of the agent's state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use httpio::{
    HeaderValue, HttpBody, HttpServer, Incoming, Method, Request, Response, ServerHandle,
    ServerLimits, StatusCode, header,
};
use model::ResultCode;
use serde_json::{Value, json};
use settings::AgentSettings;
use slog::{Logger, warn};
use wire::WireCounters;

use crate::control::AgentView;
use crate::gate::SharedGate;
use crate::transfer::ChunkStore;

/// Serves `GET /debug/state`.
#[derive(Debug)]
pub(crate) struct OperatorServer {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) view: Arc<AgentView>,
    pub(crate) gate: Arc<SharedGate>,
    pub(crate) store: Arc<ChunkStore>,
    pub(crate) counters: WireCounters,
    pub(crate) log: Logger,
}

impl OperatorServer {
    /// Starts the server on the current runtime.
    pub(crate) fn start(self) -> anyhow::Result<ServerHandle> {
        let address = self.settings.listen.operators;
        let limits = ServerLimits {
            max_connections: self.settings.limits.max_operator_connections,
            ..ServerLimits::default()
        };
        let listener = HttpServer::bind(address, limits)
            .with_context(|| format!("cannot listen on {address}"))?;
        let max_connections = self.settings.limits.max_operator_connections;
        let log = self.log.clone();
        let server = Arc::new(self);
        let handle = listener.serve(move |request, peer| {
            let server = server.clone();
            async move { server.handle(&request, peer).await }
        })?;
        tokio::spawn(log_full_server(handle.clone(), max_connections, log));
        Ok(handle)
    }

    async fn handle(
        self: Arc<Self>,
        request: &Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<HttpBody> {
        if !self.is_operator(request) {
            warn!(self.log, "operator refused"; "peer" => %peer);
            let message = "the token is missing or unknown";
            let mut response = error_response(ResultCode::Unauthorized, message);
            // A client without a token gets no further response on its connection, so pipelined requests cost nothing.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            return response;
        }
        if request.method() != Method::GET || request.uri().path() != "/debug/state" {
            return error_response(ResultCode::NotFound, "the only path is GET /debug/state");
        }
        // The dump locks and copies the whole state, which takes too long for a thread that relays requests.
        let dump = tokio::task::spawn_blocking(move || self.state_dump().to_string());
        match dump.await {
            Ok(text) => json_response(text),
            Err(_) => error_response(ResultCode::Internal, "the state cannot be dumped"),
        }
    }

    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let value = request.headers().get(header::AUTHORIZATION);
        let token = value.and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "));
        let operators = &self.settings.operators;
        token.is_some_and(|token| operators.iter().any(|it| it.token.matches(token)))
    }

    fn state_dump(&self) -> Value {
        json!({
            "role": "agent",
            "view": self.view.dump(),
            "gate": self.gate.dump(),
            "transfer": self.store.dump(),
            "control": {
                "received_bytes": self.counters.received_bytes(),
                "sent_bytes": self.counters.sent_bytes(),
                "messages": self.counters.messages(),
            },
        })
    }
}

/// Logs once each time when the server begins to turn connections away.
async fn log_full_server(handle: ServerHandle, max_connections: usize, log: Logger) {
    let mut was_full = false;
    let mut interval = tokio::time::interval(FULL_POLL_INTERVAL);
    loop {
        interval.tick().await;
        let is_full = handle.open_connections() >= max_connections;
        if is_full && !was_full {
            warn!(log, "operators' connections are at their limit"; "connections" => max_connections);
        }
        was_full = is_full;
    }
}

fn error_response(code: ResultCode, message: &str) -> Response<HttpBody> {
    let body = json!({ "code": code.number(), "name": code.name(), "message": message });
    let mut response = json_response(body.to_string());
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = code.to_string().parse() {
        response.headers_mut().insert(model::RESULT_HEADER, value);
    }
    response
}

fn json_response(body: String) -> Response<HttpBody> {
    let mut response = Response::new(httpio::full(body));
    let json = HeaderValue::from_static("application/json; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Interval at which the number of connections is compared with its limit.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(500);
