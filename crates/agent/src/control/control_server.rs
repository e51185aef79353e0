//! Server for the control calls of entries.

use std::sync::Arc;

use anyhow::Context;
use futures::StreamExt;
use model::{AttemptId, Incarnation};
use settings::AgentSettings;
use slog::Logger;
use tarpc::server::{BaseChannel, Channel};
use wire::{AgentControl, RevokeOutcome, WireCounters, context};

use crate::gate::{BackEndProbe, SharedGate};

/// Starts the listener for control calls.
pub(crate) async fn serve(
    settings: &Arc<AgentSettings>,
    gate: Arc<SharedGate>,
    probe: Arc<BackEndProbe>,
    counters: WireCounters,
    log: Logger,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(settings.listen.control)
        .await
        .with_context(|| format!("cannot listen on {}", settings.listen.control))?;
    let settings = settings.clone();
    let server = AgentServer { gate, probe };
    tokio::spawn(async move {
        let serve_connection = move |transport| {
            let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        };
        wire::serve_agent(
            listener,
            settings.shared_key.reveal(),
            counters,
            log,
            serve_connection,
        )
        .await;
    });
    Ok(())
}

#[derive(Clone)]
struct AgentServer {
    gate: Arc<SharedGate>,
    probe: Arc<BackEndProbe>,
}

impl AgentControl for AgentServer {
    async fn revoke(
        self,
        _: context::Context,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeOutcome {
        self.gate.revoke(attempt, incarnation)
    }

    async fn back_end_ended_at(self, _: context::Context) -> Option<u64> {
        self.probe.ended_at().await
    }
}
