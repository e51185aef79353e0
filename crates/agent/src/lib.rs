//! The agent role: one small process in the slot of a target host.
//!
//! It is the only way to its engine or service, so that admitting and refusing are atomic; it fetches weights and
//! serves them to its peers; it gives the engine its orders. See `docs/ARCHITECTURE.md`. The crate is an edge: threads,
//! listeners and clients. It must not know the insides of an entry.

mod control;
mod gate;
mod metrics;
mod operators;
mod transfer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use model::{Incarnation, TargetKind};
use settings::{AgentSettings, TargetSettings};
use slog::{Logger, info, warn};

use crate::control::{AgentView, ControlThread};
use crate::gate::GateShared;
use crate::transfer::{ChunkStore, TransferPace, TransferParts};

/// Runs an agent until a planned stop has ended; `stop` completes when one is asked for.
///
/// # Errors
///
/// Returns an error when a listener cannot be bound or a thread cannot be started.
pub fn run(
    settings: AgentSettings,
    log: Logger,
    metrics: cadence::StatsdClient,
    stop: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .enable_all()
        .build()
        .context("cannot start the traffic threads")?;
    let settings = Arc::new(settings);
    let incarnation = new_incarnation();
    let gate = Arc::new(GateShared::new(
        incarnation,
        max_in_flight(&settings.target),
        log.clone(),
    ));
    let store = Arc::new(ChunkStore::new(settings.spread.memory_bytes));
    let pace = Arc::new(TransferPace::new(&settings.spread));
    let counters = wire::WireCounters::default();
    let view = Arc::new(AgentView::new(incarnation));

    runtime.block_on(async {
        let gate_listener = gate::serve(&settings, gate.clone(), log.clone())?;
        let _peers = transfer::serve(&settings, store.clone(), pace.clone())?;
        control::serve(&settings, gate.clone(), counters.clone(), log.clone()).await?;
        operators::serve(
            settings.clone(),
            view.clone(),
            gate.clone(),
            store.clone(),
            counters.clone(),
            log.clone(),
        )?;
        // Connections of this process take any free port, so they start when the listeners have theirs.
        let control = ControlThread::start(
            &settings,
            gate.clone(),
            store.clone(),
            view.clone(),
            log.clone(),
        )?;
        tokio::spawn(control::heartbeat_loop(
            settings.clone(),
            view.clone(),
            gate.clone(),
            store.clone(),
            control.sender(),
            counters.clone(),
            log.clone(),
        ));
        tokio::spawn(transfer::transfer_loop(TransferParts {
            settings: settings.clone(),
            store: store.clone(),
            view: view.clone(),
            gate: gate.clone(),
            pace,
            counters: counters.clone(),
            log: log.clone(),
        }));
        tokio::spawn(metrics::report_loop(
            metrics,
            view.clone(),
            gate.clone(),
            store.clone(),
            counters.clone(),
        ));
        info!(log, "agent started"; "gate" => %settings.listen.gate);
        stop.await?;
        info!(log, "planned stop requested");
        control.request_stop();
        wait_until_idle(&gate, settings.drain_warn, &log).await;
        gate_listener.stop();
        // The answers are written; the connections get a moment to carry them away.
        tokio::time::sleep(FLUSH_TIME).await;
        info!(log, "agent stopped"; "in_flight" => gate.in_flight());
        anyhow::Ok(())
    })?;
    runtime.shutdown_timeout(FLUSH_TIME);
    Ok(())
}

/// Returns what stands behind an agent with these settings.
pub(crate) fn target_kind(target: &TargetSettings) -> TargetKind {
    match target {
        TargetSettings::Model { model, .. } => TargetKind::Model(model.clone()),
        TargetSettings::Service { service, .. } => TargetKind::Service(service.clone()),
    }
}

/// Returns the address of the engine or service.
pub(crate) fn back_end(target: &TargetSettings) -> SocketAddr {
    match target {
        TargetSettings::Model { engine, .. } => *engine,
        TargetSettings::Service { address, .. } => *address,
    }
}

fn max_in_flight(target: &TargetSettings) -> u32 {
    match target {
        TargetSettings::Model { max_in_flight, .. }
        | TargetSettings::Service { max_in_flight, .. } => *max_in_flight,
    }
}

/// Waits until no request is in progress; a stop that takes long is told, never forced.
async fn wait_until_idle(gate: &GateShared, warn_after: Duration, log: &Logger) {
    let start = tokio::time::Instant::now();
    let mut next_warning = start + warn_after;
    // The leaving state has to reach the entries before the listener closes, or they would see refused connections.
    tokio::time::sleep(LEAVING_NOTICE).await;
    while gate.in_flight() > 0 {
        tokio::time::sleep(IDLE_POLL).await;
        if tokio::time::Instant::now() >= next_warning {
            warn!(log, "planned stop is waiting for requests in progress";
                "in_flight" => gate.in_flight(), "waited_ms" => start.elapsed().as_millis() as u64);
            next_warning += warn_after;
        }
    }
}

fn new_incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since_epoch, rand::random())
}

/// Threads that carry requests and chunks.
const TRAFFIC_THREADS: usize = 2;

/// Time for the last bytes of answers to leave.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time in which heartbeats tell the entries that this target is leaving.
const LEAVING_NOTICE: Duration = Duration::from_millis(1500);

/// Pause between looks at the requests in progress.
const IDLE_POLL: Duration = Duration::from_millis(20);
