//! The operators' listener of an agent: a dump of its state.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use serde_json::json;
use wire::WireCounters;

use crate::control::AgentView;
use crate::gate::GateShared;
use crate::transfer::ChunkStore;

/// Answers `GET /debug/state` on a thread of its own.
pub(crate) fn serve(
    address: SocketAddr,
    view: Arc<AgentView>,
    gate: Arc<GateShared>,
    store: Arc<ChunkStore>,
    counters: WireCounters,
) -> anyhow::Result<()> {
    let server = rouille::Server::new(address, move |request| {
        if request.method() != "GET" || request.url() != "/debug/state" {
            return rouille::Response::empty_404();
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
