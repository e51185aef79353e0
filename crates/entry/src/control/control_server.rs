//! Serves the control RPCs of agents and other entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;

use anyhow::Context;
use futures::StreamExt;
use model::{
    ChunkMask, ChunkOffer, ChunkReport, ConfigRevision, FleetConfig, GroupKey, RegionName,
    TargetRow,
};
use settings::EntrySettings;
use slog::Logger;
use tarpc::server::{BaseChannel, Channel};
use wire::{ChunkReportReply, EntryControl, EntrySummary, HeartbeatReply, WireCounters, context};

use crate::calls::CrashGuard;
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};
use crate::control::exchange_loop;
use crate::tracker::TrackerSet;

/// Starts the listener for control RPCs.
pub(crate) async fn serve(
    settings: &Arc<EntrySettings>,
    events: Sender<ControlEvent>,
    snapshots: Arc<SnapshotCell>,
    trackers: Arc<TrackerSet>,
    guard: Arc<CrashGuard>,
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
        trackers,
        guard,
        counters: counters.clone(),
    };
    tokio::spawn(async move {
        let serve_connection = move |transport| {
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
            serve_connection,
        )
        .await;
    });
    Ok(())
}

#[derive(Clone)]
struct ControlServer {
    events: Sender<ControlEvent>,
    snapshots: Arc<SnapshotCell>,
    trackers: Arc<TrackerSet>,
    guard: Arc<CrashGuard>,
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
            home_entries: home_entry_addresses(&snapshot, &row),
            entries: if row.sequence % HEARTBEATS_PER_ENTRY_LIST == 1 {
                control_addresses(&snapshot)
            } else {
                Vec::new()
            },
        };
        let _ = self.events.send(ControlEvent::Heartbeat(Box::new(row)));
        reply
    }

    async fn report_chunks(
        self,
        _: context::Context,
        report: ChunkReport,
        excluded: Vec<SocketAddr>,
    ) -> ChunkReportReply {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        self.trackers.report(&snapshot, report, &excluded).await
    }

    async fn offer_chunks(
        self,
        _: context::Context,
        key: GroupKey,
        region: RegionName,
        known: ChunkMask,
    ) -> Vec<ChunkOffer> {
        self.counters.add_message();
        self.trackers.select_offers(&region, &key, known)
    }

    async fn exchange(self, _: context::Context, summary: EntrySummary) -> EntrySummary {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        self.guard.merge(&summary.crashes);
        let _ = self.events.send(ControlEvent::Exchange(Box::new(summary)));
        exchange_loop::summary_without_targets(&snapshot, &self.guard)
    }

    async fn config(
        self,
        _: context::Context,
        known: ConfigRevision,
        has_none: bool,
    ) -> Option<FleetConfig> {
        self.counters.add_message();
        let snapshot = self.snapshots.load();
        if has_none {
            return snapshot.config.as_deref().cloned();
        }
        newer_config(&snapshot, known)
    }
}

fn newer_config(snapshot: &ControlSnapshot, known: ConfigRevision) -> Option<FleetConfig> {
    snapshot
        .config
        .as_ref()
        .filter(|it| it.revision > known)
        .map(|it| FleetConfig::clone(it))
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

/// Returns the control addresses of the entries that should receive the heartbeats of `row`'s agent: the
/// entries of its zone sorted by their rank for the host, followed by the entries of other zones.
fn home_entry_addresses(snapshot: &ControlSnapshot, row: &TargetRow) -> Vec<std::net::SocketAddr> {
    let others = snapshot.entries.values().map(|it| &it.row);
    let live: std::collections::BTreeMap<_, _> = others
        .chain(&snapshot.own)
        .filter(|it| !it.leaving)
        .map(|it| (&it.host, it))
        .collect();
    let ranked = control::rendezvous_order(row.host.as_str(), live.keys().copied());
    let (mut same_zone, other_zones): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .map(|it| live[it])
        .partition(|it| it.zone == row.zone);
    same_zone.extend(other_zones);
    same_zone
        .iter()
        .take(MAX_HOME_ENTRIES)
        .map(|it| it.control)
        .collect()
}

/// Number of home entries sent to an agent: those that it uses and as many to fall back on.
const MAX_HOME_ENTRIES: usize = 4;

/// Every n-th heartbeat reply contains the list of all live entries.
const HEARTBEATS_PER_ENTRY_LIST: u64 = 16;
