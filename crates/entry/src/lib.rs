//! The entry role: serves callers' HTTP requests, routes them to targets, replicates the control state
//! of the deployment and tracks which hosts hold which chunks.
//!
//! An entry stores nothing durably: all state that must survive a restart is in the platform's table.
//! See `docs/ARCHITECTURE.md`. This crate contains the I/O of the role: threads, listeners and clients.
//! It must not depend on the internals of an agent.

mod calls;
mod control;
mod metrics;
mod tracker;

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use model::Incarnation;
use settings::EntrySettings;
use slog::{Logger, info, warn};
use upstream::TableClient;

use crate::calls::{CallCounters, CallServer, CrashGuard};
use crate::control::{ControlThread, SnapshotCell};
use crate::tracker::TrackerSet;

/// Runs an entry until a planned stop has ended. `stop` completes when a planned stop is requested.
///
/// # Errors
///
/// Returns an error when a listener cannot be bound or a thread cannot be started.
pub fn run(
    settings: EntrySettings,
    log: Logger,
    metrics: cadence::StatsdClient,
    stop: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(REQUEST_THREADS)
        .enable_all()
        .build()
        .context("cannot start the runtime for requests")?;
    let settings = Arc::new(settings);
    let snapshots = Arc::new(SnapshotCell::default());
    let counters = wire::WireCounters::default();
    let calls = Arc::new(CallCounters::default());
    let tracker = Arc::new(TrackerSet::new(settings.clone()));
    let table = TableClient::new(settings.platform.table, TABLE_TIMEOUT);

    let guard = Arc::new(CrashGuard::new(
        settings.clone(),
        snapshots.clone(),
        counters.clone(),
        log.clone(),
    ));
    let control = ControlThread::start(
        settings.clone(),
        new_incarnation(),
        snapshots.clone(),
        calls.clone(),
        log.clone(),
    )?;
    let operators = control::OperatorServer {
        settings: settings.clone(),
        snapshots: snapshots.clone(),
        table: table.clone(),
        guard: guard.clone(),
        calls: calls.clone(),
        events: control.sender(),
        counters: counters.clone(),
        log: log.clone(),
    };

    runtime.block_on(async {
        let operators = operators.start()?;
        let events = control.sender();
        let offer_counters = counters.clone();
        let report = metrics::report_loop(
            metrics,
            snapshots.clone(),
            table.clone(),
            counters.clone(),
            calls.clone(),
            operators,
        );
        tokio::spawn(report);
        control::serve(&settings, events.clone(), snapshots.clone(), tracker.clone(), guard.clone(), counters.clone(), log.clone())
            .await?;
        let server = CallServer::new(settings.clone(), snapshots.clone(), table.clone(), calls.clone(), guard.clone(), log.clone());
        let listener = server.start()?;
        // Outgoing connections use ephemeral ports. They start after the listeners are bound, so that they
        // cannot occupy a listener's port.
        control::start_config_poller(
            &settings,
            table.clone(),
            snapshots.clone(),
            control.sender(),
            log.clone(),
        )?;
        control::start_rollout_driver(
            &settings,
            table.clone(),
            snapshots.clone(),
            control.sender(),
            log.clone(),
        )?;
        tokio::spawn(control::exchange_loop(settings.clone(), snapshots.clone(), guard, events, counters, log.clone()));
        tokio::spawn(tracker::offer_loop(
            settings.clone(),
            snapshots.clone(),
            tracker,
            offer_counters,
            log.clone(),
        ));
        info!(log, "entry started"; "callers" => %settings.listen.callers);
        stop.await?;
        info!(log, "planned stop requested");
        control.request_stop();
        // Callers cache the directory for its time to live and may still connect to this address.
        tokio::time::sleep(settings.limits.directory_ttl).await;
        // While the listener is open, callers that keep sending would keep the entry busy for ever. Requests in progress
        // and those that have arrived are still completed.
        listener.stop();
        let start = tokio::time::Instant::now();
        let mut next_warning = start + STOP_WARNING_INTERVAL;
        while calls.in_flight() > 0 || !listener.is_finished() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            if tokio::time::Instant::now() >= next_warning {
                warn!(log, "planned stop is waiting for requests in progress"; "streams" => calls.in_flight(),
                    "connections" => listener.open_connections());
                next_warning += STOP_WARNING_INTERVAL;
            }
        }
        info!(log, "entry stopped");
        anyhow::Ok(())
    })?;
    runtime.shutdown_timeout(FLUSH_TIME);
    Ok(())
}

fn new_incarnation() -> Incarnation {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since_epoch, rand::random())
}

/// Number of worker threads that serve requests.
const REQUEST_THREADS: usize = 2;

/// Timeout of one call to the table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between warnings about a planned stop that is still in progress.
const STOP_WARNING_INTERVAL: Duration = Duration::from_secs(30);

/// Time allowed for sending the last bytes of responses.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Interval at which the number of requests in flight is polled during a planned stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
