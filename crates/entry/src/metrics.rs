//! Reports the entry's metrics periodically.

use std::sync::Arc;
use std::time::Duration;

use cadence::{Gauged, StatsdClient};
use httpio::ServerHandle;
use model::TargetKind;
use upstream::TableClient;
use wire::WireCounters;

use crate::calls::CallCounters;
use crate::control::{ControlSnapshot, SnapshotCell};

/// Reports metrics until the runtime shuts down. `docs/OPERATIONS.md` lists their names.
pub(crate) async fn report_loop(
    client: StatsdClient,
    snapshots: Arc<SnapshotCell>,
    table: TableClient,
    counters: WireCounters,
    calls: Arc<CallCounters>,
    operators: ServerHandle,
) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        report(&client, &snapshots.load());
        let (reads, writes) = table.call_counts();
        gauge(&client, "table.reads", reads);
        gauge(&client, "table.writes", writes);
        gauge(&client, "entry.bodies_refused", calls.bodies_refused());
        let retries = u64::from(calls.available_retries());
        gauge(&client, "entry.available_retries", retries);
        let connections = operators.open_connections() as u64;
        gauge(&client, "operators.connections", connections);
        gauge(&client, "control.received_bytes", counters.received_bytes());
        gauge(&client, "control.sent_bytes", counters.sent_bytes());
    }
}

fn report(client: &StatsdClient, snapshot: &ControlSnapshot) {
    let Some(own) = &snapshot.own else { return };
    let is_model = |it: &&model::TargetRow| matches!(it.kind, TargetKind::Model(_));
    let rows = snapshot.targets.values().map(|it| &it.row);
    gauge(client, "entry.streams", u64::from(own.streams));
    gauge(client, "entry.ready", u64::from(own.ready));
    gauge(
        client,
        "entry.overloaded_ms",
        own.overloaded_ms.unwrap_or_default(),
    );
    gauge(client, "config.revision", own.revision.0);
    gauge(client, "targets.known", snapshot.targets.len() as u64);
    gauge(
        client,
        "targets.serving",
        rows.filter(is_model)
            .filter(|it| it.serving.is_some())
            .count() as u64,
    );
    gauge(client, "entries.known", snapshot.entries.len() as u64 + 1);
}

fn gauge(client: &StatsdClient, name: &str, value: u64) {
    // A gauge that cannot be sent is dropped; the next report sends a newer value.
    let _ = client.gauge(name, value);
}

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
