//! HTTP listener for operators, which returns a dump of the agent's state.

use std::sync::Arc;

use anyhow::Context;
use model::ResultCode;
use serde_json::json;
use settings::AgentSettings;
use slog::{Logger, warn};
use wire::WireCounters;

use crate::control::AgentView;
use crate::gate::SharedGate;
use crate::transfer::ChunkStore;

/// Serves `GET /debug/state` on a separate thread.
pub(crate) fn serve(
    settings: Arc<AgentSettings>,
    view: Arc<AgentView>,
    gate: Arc<SharedGate>,
    store: Arc<ChunkStore>,
    counters: WireCounters,
    log: Logger,
) -> anyhow::Result<()> {
    let address = settings.listen.operators;
    let server = rouille::Server::new(address, move |request| {
        if !is_operator(request, &settings) {
            warn!(log, "operator refused"; "peer" => %request.remote_addr());
            return error_response(ResultCode::Unauthorized, "the token is missing or unknown");
        }
        if request.method() != "GET" || request.url() != "/debug/state" {
            return error_response(ResultCode::NotFound, "the only path is GET /debug/state");
        }
        rouille::Response::json(&json!({
            "role": "agent",
            "view": view.dump(),
            "gate": gate.dump(),
            "transfer": store.dump(),
            "control": {
                "received_bytes": counters.received_bytes(),
                "sent_bytes": counters.sent_bytes(),
                "messages": counters.messages(),
            },
        }))
    })
    .map_err(|err| anyhow::anyhow!("{err}"))
    .with_context(|| format!("cannot listen on {address}"))?;
    std::thread::Builder::new()
        .name("operators".to_string())
        .spawn(move || server.run())?;
    Ok(())
}

fn is_operator(request: &rouille::Request, settings: &AgentSettings) -> bool {
    let token = request
        .header("Authorization")
        .and_then(|it| it.strip_prefix("Bearer "));
    token.is_some_and(|token| settings.operators.iter().any(|it| it.token.matches(token)))
}

fn error_response(code: ResultCode, message: &str) -> rouille::Response {
    let body = json!({ "code": code.number(), "name": code.name(), "message": message });
    rouille::Response::json(&body)
        .with_status_code(code.http_status())
        .with_unique_header("Fulmarline-Result", code.to_string())
}
