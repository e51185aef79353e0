//! Server for the control calls of entries.

use std::sync::Arc;

use anyhow::Context;
use futures::StreamExt;
use model::{AttemptId, Incarnation};
use settings::AgentSettings;
use slog::Logger;
use tarpc::server::{BaseChannel, Channel};
use wire::{AgentControl, RevokeOutcome, WireCounters, context};

use crate::gate::SharedGate;

/// Starts the listener for control calls.
pub(crate) async fn serve(
    settings: &Arc<AgentSettings>,
    gate: Arc<SharedGate>,
    counters: WireCounters,
    log: Logger,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(settings.listen.control)
        .await
        .with_context(|| format!("cannot listen on {}", settings.listen.control))?;
    let settings = settings.clone();
    tokio::spawn(async move {
        let serve_connection = move |transport| {
            let calls = BaseChannel::with_defaults(transport)
                .execute(RevokeServer { gate: gate.clone() }.serve());
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
struct RevokeServer {
    gate: Arc<SharedGate>,
}

impl AgentControl for RevokeServer {
    async fn revoke(
        self,
        _: context::Context,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeOutcome {
        self.gate.revoke(attempt, incarnation)
    }
}
