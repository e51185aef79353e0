//! Answers the control calls of agents and other entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Instant;

use anyhow::Context;
use futures::StreamExt;
use model::{ConfigRevision, FleetConfig, TargetRow, VersionDigest};
use settings::EntrySettings;
use slog::Logger;
use tarpc::server::{BaseChannel, Channel};
use wire::{
    EntryControl, EntrySummary, HeartbeatReply, PlanReply, PlanRequest, WireCounters, context,
};

use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};
use crate::control::exchange_loop;
use crate::tracker::ChunkTracker;

/// Starts the listener for control calls.
pub(crate) async fn serve(
    settings: &Arc<EntrySettings>,
    events: Sender<ControlEvent>,
    snapshots: Arc<SnapshotCell>,
    tracker: Arc<ChunkTracker>,
    counters: WireCounters,
    log: Logger,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(settings.listen.control)
        .await
        .with_context(|| format!("cannot listen on {}", settings.listen.control))?;
    let settings = settings.clone();
    let server = ControlServer {
        events,
        snapshots,
        tracker,
        counters: counters.clone(),
    };
    tokio::spawn(async move {
        let answer = move |transport| {
            let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        };
        wire::serve_entry(
            listener,
            settings.shared_key.reveal(),
            counters,
            log,
            answer,
        )
        .await;
    });
    Ok(())
}

#[derive(Clone)]
struct ControlServer {
    events: Sender<ControlEvent>,
    snapshots: Arc<SnapshotCell>,
    tracker: Arc<ChunkTracker>,
    counters: WireCounters,
}

impl EntryControl for ControlServer {
    async fn heartbeat(self, _: context::Context, row: TargetRow) -> HeartbeatReply {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        let config = newer_config(&snapshot, row.revision);
        let permit = snapshot
            .permits
            .iter()
            .filter(|it| it.host == row.host)
            .max_by_key(|it| it.fencing);
        let reply = HeartbeatReply {
            config,
            permit: permit.cloned(),
            entries: control_addresses(&snapshot),
        };
        let _ = self.events.send(ControlEvent::Heartbeat(Box::new(row)));
        reply
    }

    async fn plan(self, _: context::Context, request: PlanRequest) -> PlanReply {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        let Some(count) = chunk_count(&snapshot, request.announcement.version) else {
            return PlanReply::default();
        };
        self.tracker.plan(request, count, Instant::now())
    }

    async fn exchange(self, _: context::Context, summary: EntrySummary) -> EntrySummary {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        let _ = self.events.send(ControlEvent::Exchange(Box::new(summary)));
        exchange_loop::own_summary(&snapshot)
    }

    async fn config(self, _: context::Context, known: ConfigRevision) -> Option<FleetConfig> {
        self.counters.add_message();
        newer_config(&self.snapshots.load(), known)
    }
}

fn newer_config(snapshot: &ControlSnapshot, known: ConfigRevision) -> Option<FleetConfig> {
    snapshot
        .config
        .as_ref()
        .filter(|it| it.revision > known)
        .map(|it| FleetConfig::clone(it))
}

fn chunk_count(snapshot: &ControlSnapshot, version: VersionDigest) -> Option<usize> {
    let config = snapshot.config.as_ref()?;
    let mut manifests = config.models.values().map(|it| &it.manifest);
    manifests
        .find(|it| it.version() == version)
        .map(|it| it.chunk_count())
}

fn control_addresses(snapshot: &ControlSnapshot) -> Vec<std::net::SocketAddr> {
    let others = snapshot.entries.values().map(|it| &it.row);
    let live: BTreeSet<_> = others
        .chain(&snapshot.own)
        .filter(|it| !it.leaving)
        .map(|it| it.control)
        .collect();
    live.into_iter().collect()
}
