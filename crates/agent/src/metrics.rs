//! Reports the agent's metrics periodically.

use std::sync::Arc;
use std::time::Duration;

use cadence::{Gauged, StatsdClient};
use httpio::ServerHandle;
use wire::WireCounters;

use crate::control::AgentView;
use crate::gate::SharedGate;
use crate::transfer::ChunkStore;

/// Reports metrics until the runtime shuts down. `docs/OPERATIONS.md` lists their names.
pub(crate) async fn report_loop(
    client: StatsdClient,
    view: Arc<AgentView>,
    gate: Arc<SharedGate>,
    store: Arc<ChunkStore>,
    counters: WireCounters,
    operators: ServerHandle,
) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let load = gate.load();
        gauge(&client, "gate.in_flight", u64::from(load.in_flight));
        gauge(&client, "gate.limit", u64::from(load.limit));
        gauge(&client, "gate.refused", load.refused);
        gauge(
            &client,
            "gate.overloaded_ms",
            load.overloaded_ms.unwrap_or_default(),
        );
        gauge(&client, "gate.bodies_refused", gate.bodies_refused());
        let connections = operators.open_connections() as u64;
        gauge(&client, "operators.connections", connections);
        gauge(&client, "config.revision", view.revision().0);
        if let Some(state) = store.state() {
            gauge(
                &client,
                "transfer.have_chunks",
                u64::from(state.have_chunks),
            );
            gauge(
                &client,
                "transfer.total_chunks",
                u64::from(state.total_chunks),
            );
        }
        gauge(&client, "control.received_bytes", counters.received_bytes());
        gauge(&client, "control.sent_bytes", counters.sent_bytes());
    }
}

fn gauge(client: &StatsdClient, name: &str, value: u64) {
    // A metric that cannot be queued is dropped; the next report contains a newer value.
    let _ = client.gauge(name, value);
}

/// Time between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
