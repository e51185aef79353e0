//! Updates the replica to the target weights: stages the pieces and has their load ordered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{LoadedModel, MAX_SOUND_SILENCE};
use platform::{CallError, ReplicaReport};
use rand::RngExt;
use relay::boot_clock;
use routing::NamedLimit;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::{load_order, piece_fetch, prior_orders};

/// Reconciles the weights that the replica serves with the target, for the lifetime of the process.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let mut incarnation: Option<Option<u64>> = None;
    let mut attempts = ManifestAttempts::default();
    // When the first of the calls was sent that have not been answered since the last report.
    let mut silent_since: Option<Instant> = None;
    loop {
        // A notification and the timeout are handled alike.
        let _ = tokio::time::timeout(POLL_INTERVAL, shared.target_changed.notified()).await;
        let polled_at = Instant::now();
        let report = current_report(&shared).await;
        if report.is_err() {
            shared.state().defer_settling(Instant::now());
        }
        let report = match report {
            Ok(it) => it,
            // A sound replica may be silent for a moment, and goes on with its requests afterwards.
            Err(CallError::TimedOut)
                if silent_since.get_or_insert(polled_at).elapsed() < MAX_REPORT_SILENCE =>
            {
                info!(shared.log, "replica is silent"; "ms" => u64::try_from(polled_at.elapsed().as_millis()).unwrap_or(u64::MAX));
                continue;
            }
            Err(err) => {
                shared.state().last_report = None;
                report_serving(&shared, &[], Some(&err));
                continue;
            }
        };
        silent_since = None;
        if incarnation != Some(report.started_ms) {
            info!(shared.log, "replica started"; "born_ms" => report.started_ms, "models" => report.models.len(), "orders_begun" => report.orders_started);
            // Orders that an earlier incarnation of the replica received are lost with it.
            let prior_orders = prior_orders::of_earlier_process(&report, incarnation.is_none());
            incarnation = Some(report.started_ms);
            let mut state = shared.state();
            state.staged_pieces.clear();
            state.ordered_version = None;
            state.unsettled_order = None;
            state.prior_orders = prior_orders;
        }
        shared
            .state()
            .settle_orders(report.orders_started, Instant::now());
        report_serving(
            &shared,
            if report.load_in_progress {
                &[]
            } else {
                &report.models
            },
            None,
        );
        let Some(target) = shared.state().staging_target().cloned() else {
            continue;
        };
        if !report.load_in_progress && is_serving(&report, &target) {
            share_served_weights(&shared, &target, &mut attempts).await;
            continue;
        }
        update_replica(&shared, &target, &report, &mut attempts).await;
        // Poll again soon: the load has started, or pieces are missing.
        shared.target_changed.notify_one();
        let jitter = rand::rng().random_range(1.0..3.0);
        tokio::time::sleep(RETRY_DELAY.mul_f64(jitter)).await;
    }
}

/// Returns the replica's report. A replica with a limit is not asked again while its last report is recent, because its
/// limit applies to these requests too.
async fn current_report(shared: &AgentShared) -> Result<ReplicaReport, CallError> {
    let limit = shared.state().named_limit;
    let last = shared.state().last_report.clone();
    if let (Some(limit), Some((report, polled_at))) = (limit, last) {
        let is_loading = report.load_in_progress || shared.state().ordered_at > Some(polled_at);
        if is_loading {
            // Only a new report shows the outcome of the order.
            tokio::time::sleep(LOADING_POLL_INTERVAL.saturating_sub(polled_at.elapsed())).await;
        } else if polled_at.elapsed() < limit.report_interval() {
            return Ok(report);
        }
    }
    let polled_at = Instant::now();
    if let Some(last) = &mut shared.state().last_report {
        last.1 = polled_at;
    }
    count_call(shared, "report");
    let report = shared.replica_client.report().await?;
    let before = shared
        .state()
        .last_report
        .replace((report.clone(), polled_at));
    if report.leaving && !before.is_some_and(|it| it.0.leaving) {
        info!(shared.log, "the replica says that it leaves");
        shared.serving_changed.notify_one();
    }
    record_limit(shared, report.named_limit);
    Ok(report)
}

/// Waits, and then finds out whether the replica has settled the unsettled order, if there is one.
///
/// Transfers last for as long as no source has a piece, and the loop does not poll the replica meanwhile.
pub(crate) async fn poll_unsettled_order(shared: &AgentShared) {
    tokio::time::sleep(SETTLING_POLL_INTERVAL).await;
    if shared.state().unsettled_order.is_none() {
        return;
    }
    let before = shared.state().last_report.clone();
    let report = current_report(shared).await;
    let mut state = shared.state();
    match report {
        Ok(report) if before.is_some_and(|it| it.0.started_ms != report.started_ms) => {
            state.unsettled_order = None;
        }
        Ok(report) => state.settle_orders(report.orders_started, Instant::now()),
        Err(_) => state.defer_settling(Instant::now()),
    }
}

/// Counts the failed attempts to fetch the manifest of a version.
#[derive(Debug, Default)]
struct ManifestAttempts {
    version: u64,
    failed: usize,
}

impl ManifestAttempts {
    /// Returns the number of failed attempts and counts a further one, which a successful attempt makes irrelevant.
    fn begin(&mut self, target: &WeightTarget) -> usize {
        if self.version != target.version {
            *self = Self {
                version: target.version,
                failed: 0,
            };
        }
        self.failed += 1;
        self.failed - 1
    }
}

/// Makes the weights that the replica serves available to other agents, which requires their manifest.
async fn share_served_weights(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    attempts: &mut ManifestAttempts,
) {
    if shared.state().staged(target).is_some() {
        return;
    }
    let plan = match piece_fetch::create_plan(shared, target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot read the list of replicas"; "error" => err);
            return;
        }
    };
    let attempt = attempts.begin(target);
    let Some(manifest) = piece_fetch::fetch_manifest(shared, target, &plan, attempt).await else {
        return;
    };
    let mut state = shared.state();
    state.staged_pieces.reset(Arc::new(manifest));
    state.staged_pieces.mark_all_staged();
    drop(state);
    info!(shared.log, "pieces of the served weights taken as staged"; "version" => target.version);
    shared.pieces_changed.notify_waiters();
}

/// Stages and verifies all pieces and orders the replica to load them.
async fn update_replica(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    report: &ReplicaReport,
    attempts: &mut ManifestAttempts,
) {
    if !prior_orders::may_stage(shared, target, report).await {
        return;
    }
    let started_at = Instant::now();
    // Staged pieces may be replaced during a load, since the replica reads them when it accepts the order.
    let Some(rollout_position) = stage_pieces(shared, target, attempts).await else {
        return;
    };
    let staging_time = started_at.elapsed();
    if report.load_in_progress {
        return;
    }
    // A version that is declared in the meantime does not change the delay, because its deadline is later.
    delay_load(shared, target, report, rollout_position).await;
    load_order::order_load(shared, target, report, staging_time).await;
}

/// Delays the load according to the rollout position, so that not all replicas of the service load at the same time.
async fn delay_load(
    shared: &AgentShared,
    target: &WeightTarget,
    report: &ReplicaReport,
    rollout_position: f64,
) {
    let serving = report.models.iter().find(|it| it.name == target.model);
    let deadline = serving.and_then(|it| shared.state().deadlines.deadline(it.version));
    let now = shared.state().latest_store_time();
    // Without a clock, the deadline may have passed.
    let window = deadline.map(|it| {
        let now = now.unwrap_or(it);
        let window = it.saturating_sub(now);
        window - LOAD_LEAD.min(window / 2)
    });
    // If a newer version is waiting, the replica can be updated to it only afterwards.
    let has_successor = shared.state().deadlines.deadline(target.version).is_some();
    let max_window = if has_successor {
        MAX_SHORT_WINDOW
    } else {
        Duration::MAX
    };
    if let Some(window) = window.map(|it| it.min(max_window)) {
        tokio::time::sleep(window.mul_f64(rollout_position)).await;
    }
}

/// Stages all missing pieces; returns the rollout position of this replica in 0..1 if all pieces are staged.
async fn stage_pieces(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    attempts: &mut ManifestAttempts,
) -> Option<f64> {
    shared
        .state()
        .staged_pieces
        .return_to(&target.model, target.version);
    let has_manifest = shared.state().staged(target).is_some();
    if has_manifest && shared.state().staged_pieces.missing_count() == 0 {
        // An earlier attempt did not lead to a load and has already used up time, so load without a delay.
        return Some(0.0);
    }
    let plan = match piece_fetch::create_plan(shared, target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot read the list of replicas"; "error" => err);
            return None;
        }
    };
    if !has_manifest {
        let attempt = attempts.begin(target);
        let manifest = piece_fetch::fetch_manifest(shared, target, &plan, attempt).await?;
        shared.state().staged_pieces.reset(Arc::new(manifest));
        shared.pieces_changed.notify_waiters();
        recover_staged(shared, target).await;
    } else if shared.state().staged_pieces.is_manifest_doubted() {
        piece_fetch::refetch_manifest(shared, target, &plan).await;
    }
    let manifest = shared.state().manifest(target).cloned()?;
    let rollout_position = plan.rollout_position();
    let is_complete = piece_fetch::fetch_pieces(shared, target, &manifest, plan).await;
    is_complete.then_some(rollout_position)
}

/// Detects pieces that are still staged from an earlier process or incarnation.
async fn recover_staged(shared: &AgentShared, target: &WeightTarget) {
    let Some(manifest) = shared.state().manifest(target).cloned() else {
        return;
    };
    for index in 0..manifest.len() {
        let sent_at = boot_clock::now();
        match shared
            .replica_client
            .read_staged_piece(&target.model, index)
            .await
        {
            Ok(Some(bytes)) if manifest.matches(index, &bytes) => {
                shared.state().staged_pieces.record_valid(index, sent_at);
                shared.pieces_changed.notify_waiters();
            }
            Ok(Some(_))
                if index >= PROBED_PIECES
                    && shared.state().staged_pieces.missing_count() > index =>
            {
                // More pieces are missing than were read before this one, so the others most likely belong to another
                // version as well.
                return;
            }
            Ok(None) if index == 0 => return,
            Ok(_) => {}
            Err(err) => {
                info!(shared.log, "cannot read staged piece"; "index" => index, "error" => err.to_string());
                return;
            }
        }
    }
}

fn is_serving(report: &ReplicaReport, target: &WeightTarget) -> bool {
    report
        .models
        .iter()
        .any(|it| it.name == target.model && it.version == target.version)
}

/// Counts a call to the replica.
pub(crate) fn count_call(shared: &AgentShared, call: &str) {
    let is_limited = shared.state().named_limit.is_some();
    let limited = if is_limited { "yes" } else { "no" };
    let calls = &shared.metrics.replica_calls;
    calls.with_label_values(&[call, limited]).inc();
}

/// Records the limit that the replica names in a report.
fn record_limit(shared: &AgentShared, named: NamedLimit) {
    let limit = match named {
        NamedLimit::None => None,
        NamedLimit::Limit(rate) => Some(rate),
        NamedLimit::Unreadable => return,
    };
    let before = std::mem::replace(&mut shared.state().named_limit, limit);
    if before != limit {
        info!(
            shared.log, "limit of the replica changed";
            "before" => before.map(|it| it.to_string()),
            "limit" => limit.map(|it| it.to_string()),
        );
        shared.serving_changed.notify_one();
    }
}

/// Reports the served weights to entries if they have changed.
pub(crate) fn report_serving(
    shared: &AgentShared,
    models: &[LoadedModel],
    error: Option<&CallError>,
) {
    let mut state = shared.state();
    if state.serving.as_deref() == Some(models) {
        return;
    }
    info!(
        shared.log, "served weights changed";
        "version" => models.first().map(|it| it.version),
        "before" => state.serving.as_ref().and_then(|it| it.first()).map(|it| it.version),
        "error" => error.map(ToString::to_string),
    );
    state.serving = Some(models.to_vec());
    drop(state);
    shared.serving_changed.notify_one();
    // The next version to load depends on the one that is served.
    shared.declarations_received.notify_one();
}

/// Interval at which the replica is polled, which is cheap because it runs on the same host.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which the replica is polled during a transfer while an order is unsettled.
const SETTLING_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval at which a replica with a limit is polled while it loads weights, when entries send it no requests.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Time without a report after which a replica that accepts connections counts as failed.
const MAX_REPORT_SILENCE: Duration = MAX_SOUND_SILENCE.saturating_mul(2);

/// Minimum delay before a retry and before the first poll after an order. The delay is randomized up to three times as
/// long, so that agents that fail at the same time do not retry at the same time.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time before entries stop using the served weights by which loads begin, so that new weights are usable when the last responses
/// at old ones are cut.
const LOAD_LEAD: Duration = Duration::from_millis(1500);

/// Maximum time over which loads are spread if a newer version is waiting; a few load times, so that not all replicas
/// load at the same time.
const MAX_SHORT_WINDOW: Duration = Duration::from_millis(2000);

/// Number of pieces that are read before the others are assumed to belong to another version.
const PROBED_PIECES: usize = 3;
