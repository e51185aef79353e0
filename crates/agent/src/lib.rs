//! The agent role: a process that runs next to the engine or service on each target host.
//!
//! All requests to the engine or service pass through the agent, so that admission decisions are atomic. The agent also
//! fetches weights, serves them to its peers and commands the engine to load them. See `docs/ARCHITECTURE.md`.
//!
//! This crate contains the I/O of the role: threads, listeners and clients. It must not depend on the internals of an
//! entry.

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
use crate::gate::{BackEndProbe, SharedGate};
use crate::transfer::{ChunkStore, SharedPacer, TransferContext};

/// Runs an agent until a planned stop has finished. `stop` completes when a planned stop is requested.
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
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let settings = Arc::new(settings);
    let incarnation = new_incarnation();
    let gate = Arc::new(SharedGate::new(
        incarnation,
        max_in_flight(&settings.target),
        log.clone(),
    ));
    let store = Arc::new(ChunkStore::new(settings.spread.memory_bytes));
    let pacer = Arc::new(SharedPacer::new(&settings.spread));
    let counters = wire::WireCounters::default();
    let view = Arc::new(AgentView::new(incarnation));

    runtime.block_on(async {
        let probe = Arc::new(BackEndProbe::new(back_end_address(&settings.target)));
        let gate_listener = gate::serve(&settings, gate.clone(), probe.clone(), log.clone())?;
        let _peer_listener = transfer::serve(&settings, store.clone(), pacer.clone())?;
        control::serve(
            &settings,
            gate.clone(),
            probe,
            counters.clone(),
            log.clone(),
        )
        .await?;
        let operators = operators::OperatorServer {
            settings: settings.clone(),
            view: view.clone(),
            gate: gate.clone(),
            store: store.clone(),
            counters: counters.clone(),
            log: log.clone(),
        };
        let operators = operators.start()?;
        // Outgoing connections use ephemeral ports and could occupy a listener's port, so all listeners are bound
        // first.
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
        tokio::spawn(transfer::transfer_loop(TransferContext {
            settings: settings.clone(),
            store: store.clone(),
            view: view.clone(),
            gate: gate.clone(),
            pacer,
            counters: counters.clone(),
            log: log.clone(),
        }));
        tokio::spawn(metrics::report_loop(
            metrics,
            view.clone(),
            gate.clone(),
            store.clone(),
            counters.clone(),
            operators,
        ));
        info!(log, "agent started"; "gate" => %settings.listen.gate);
        stop.await?;
        info!(log, "planned stop requested");
        control.request_stop();
        wait_until_idle(&gate, settings.drain_warn, &log).await;
        gate_listener.stop();
        // All responses are written, but the connections may still be sending the last bytes.
        tokio::time::sleep(FLUSH_DELAY).await;
        info!(log, "agent stopped"; "in_flight" => gate.in_flight());
        anyhow::Ok(())
    })?;
    runtime.shutdown_timeout(FLUSH_DELAY);
    Ok(())
}

/// Returns the kind of target that these settings describe.
pub(crate) fn target_kind(target: &TargetSettings) -> TargetKind {
    match target {
        TargetSettings::Model { model, .. } => TargetKind::Model(model.clone()),
        TargetSettings::Service { service, .. } => TargetKind::Service(service.clone()),
    }
}

/// Returns the address of the engine or service.
pub(crate) fn back_end_address(target: &TargetSettings) -> SocketAddr {
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

/// Waits until no request is in flight. A long wait is logged, but requests are never aborted.
async fn wait_until_idle(gate: &SharedGate, warn_after: Duration, log: &Logger) {
    let start = tokio::time::Instant::now();
    let mut next_warning = start + warn_after;
    // The leaving state has to reach the entries before the listener closes, or their connections would be refused.
    tokio::time::sleep(LEAVING_PROPAGATION_DELAY).await;
    while gate.in_flight() > 0 {
        tokio::time::sleep(IDLE_POLL_INTERVAL).await;
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

/// Worker threads of the async runtime, which relays requests and transfers chunks.
const WORKER_THREADS: usize = 2;

/// Time for connections to send the last bytes of responses.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Time for heartbeats to announce to the entries that this target is leaving.
const LEAVING_PROPAGATION_DELAY: Duration = Duration::from_millis(1500);

/// Time between checks for requests in flight.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
