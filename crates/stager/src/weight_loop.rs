//! Brings the wanted weights to the replica: stage, verify, load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::LoadedModel;
use platform::{CallError, LoadOrder, OrderReply, ReplicaReport};
use rand::RngExt;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::piece_fetch;
use crate::source_pause::SourcePause;

/// Compares what the replica serves with what is wanted, for as long as the process lives.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let pauses = SourcePause::default();
    let mut incarnation: Option<Option<u64>> = None;
    loop {
        // A wake-up and the interval lead to the same look at the replica.
        let _ = tokio::time::timeout(LOOK_INTERVAL, shared.wanted.notified()).await;
        let report = match shared.replica.report().await {
            Ok(it) => it,
            Err(err) => {
                tell(&shared, &[], Some(&err));
                continue;
            }
        };
        if incarnation != Some(report.born_ms) {
            info!(shared.log, "replica started"; "born_ms" => report.born_ms, "models" => report.models.len());
            incarnation = Some(report.born_ms);
            shared.state().book.clear();
        }
        tell(
            &shared,
            if report.ordering { &[] } else { &report.models },
            None,
        );
        let Some(target) = shared.state().target.clone() else {
            continue;
        };
        if !report.ordering && serves(&report, &target) {
            offer(&shared, &target, &pauses).await;
            continue;
        }
        bring(&shared, &target, &report, &pauses).await;
        // Look again at once: the order has begun, or something is missing.
        shared.wanted.notify_one();
        let jitter = rand::rng().random_range(1.0..3.0);
        tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
    }
}

/// Offers the weights that the replica serves to other agents, for which their manifest is needed.
async fn offer(shared: &Arc<AgentShared>, target: &WeightTarget, pauses: &SourcePause) {
    shared.state().is_fetching = false;
    if shared
        .state()
        .book
        .manifest(&target.model, target.version)
        .is_some()
    {
        return;
    }
    let plan = match piece_fetch::plan(shared, target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "agents not listed"; "error" => err);
            return;
        }
    };
    let Some(manifest) = piece_fetch::manifest(shared, target, &plan, pauses).await else {
        return;
    };
    let mut state = shared.state();
    state.book.aim(Arc::new(manifest));
    state.book.assume_all(Instant::now());
    drop(state);
    shared.arrived.notify_waiters();
}

/// Stages and verifies all pieces and orders the replica to load them.
async fn bring(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    report: &ReplicaReport,
    pauses: &SourcePause,
) {
    let began = Instant::now();
    // What is staged may be replaced while a load is in progress: the replica took it when it accepted the order.
    let Some(turn) = stage_all(shared, target, pauses).await else {
        return;
    };
    let staged = began.elapsed();
    if report.ordering {
        return;
    }
    // A newer version that is declared meanwhile does not change the turn: it comes after the bound of this one.
    wait_for_turn(shared, target, report, turn).await;
    if !verify(shared, target).await {
        return;
    }
    // Requests that arrive during a load are refused, so entries are told to send them elsewhere first.
    tell(shared, &[], None);
    tokio::time::sleep(NOTICE_TIME).await;
    let order = LoadOrder {
        model: target.model.clone(),
        version: target.version,
        orders_begun: report.orders_begun,
    };
    let reply = shared.replica.load(&order).await;
    let outcome = match &reply {
        Ok(OrderReply::Begun) => "begun",
        Ok(OrderReply::Done) => "done",
        Ok(OrderReply::Conflict) => "conflict",
        Err(_) => "failed",
    };
    shared.metrics.orders.with_label_values(&[outcome]).inc();
    info!(
        shared.log, "load ordered";
        "version" => target.version,
        "outcome" => outcome,
        "error" => reply.err().map(|it| it.to_string()),
        "staged_ms" => u64::try_from(staged.as_millis()).unwrap_or(u64::MAX),
        "orders_begun" => report.orders_begun,
    );
}

/// Waits for this replica's turn, so that not all replicas of the service are away at once.
async fn wait_for_turn(
    shared: &AgentShared,
    target: &WeightTarget,
    report: &ReplicaReport,
    turn: f64,
) {
    let serving = report.models.iter().find(|it| it.name == target.model);
    let deadline = serving.and_then(|it| shared.state().deadlines.deadline(it.version));
    let window = deadline.map(|it| it.saturating_duration_since(Instant::now() + LOAD_RESERVE));
    if let Some(window) = window {
        tokio::time::sleep(window.mul_f64(turn)).await;
    }
}

/// Stages what is missing; returns this agent's turn in 0..1 once all pieces lie at the replica.
async fn stage_all(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    pauses: &SourcePause,
) -> Option<f64> {
    let is_known = shared
        .state()
        .book
        .manifest(&target.model, target.version)
        .is_some();
    if is_known && shared.state().book.missing().is_empty() {
        // Whatever kept the load from beginning has cost time already.
        return Some(0.0);
    }
    shared.state().is_fetching = true;
    let plan = match piece_fetch::plan(shared, target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "agents not listed"; "error" => err);
            return None;
        }
    };
    if !is_known {
        let manifest = piece_fetch::manifest(shared, target, &plan, pauses).await?;
        shared.state().book.aim(Arc::new(manifest));
        shared.arrived.notify_waiters();
        look_for_staged(shared, target).await;
    }
    let manifest = shared
        .state()
        .book
        .manifest(&target.model, target.version)
        .cloned()?;
    let is_whole = piece_fetch::pieces(shared, target, &manifest, &plan, pauses).await;
    is_whole.then(|| plan.rollout_position())
}

/// Finds pieces that an earlier process or incarnation has staged.
async fn look_for_staged(shared: &AgentShared, target: &WeightTarget) {
    let Some(manifest) = shared
        .state()
        .book
        .manifest(&target.model, target.version)
        .cloned()
    else {
        return;
    };
    for index in 0..manifest.len() {
        match shared.replica.read_piece(&target.model, index).await {
            Ok(Some(bytes)) if manifest.matches(index, &bytes) => {
                shared.state().book.note_sound(index, Instant::now());
                shared.arrived.notify_waiters();
            }
            Ok(Some(_))
                if index >= PROBED_PIECES && shared.state().book.missing().len() > index =>
            {
                // The first pieces are all of another version, so the others are as well.
                return;
            }
            Ok(None) if index == 0 => return,
            Ok(_) => {}
            Err(err) => {
                info!(shared.log, "staged piece not read"; "index" => index, "error" => err.to_string());
                return;
            }
        }
    }
}

/// Reads back pieces that may have rotted since they were last seen; returns whether all are sound.
async fn verify(shared: &AgentShared, target: &WeightTarget) -> bool {
    let Some(manifest) = shared
        .state()
        .book
        .manifest(&target.model, target.version)
        .cloned()
    else {
        return false;
    };
    let moment = Instant::now().checked_sub(SOUND_TIME);
    let old = moment.map_or_else(Vec::new, |it| shared.state().book.older_than(it));
    let mut sound = true;
    for index in old {
        let bytes = match shared.replica.read_piece(&target.model, index).await {
            Ok(it) => it,
            Err(err) => {
                info!(shared.log, "staged piece not read"; "index" => index, "error" => err.to_string());
                return false;
            }
        };
        let is_sound = bytes.is_some_and(|it| manifest.matches(index, &it));
        let mut state = shared.state();
        if state.book.manifest(&target.model, target.version).is_none() {
            return false;
        }
        if is_sound {
            state.book.note_sound(index, Instant::now());
        } else {
            info!(shared.log, "staged piece spoilt"; "index" => index, "version" => target.version);
            state.book.note_lost(index);
            sound = false;
        }
    }
    sound && shared.state().book.missing().is_empty()
}

fn serves(report: &ReplicaReport, target: &WeightTarget) -> bool {
    report
        .models
        .iter()
        .any(|it| it.name == target.model && it.version == target.version)
}

/// Tells entries when what serves has changed.
fn tell(shared: &AgentShared, models: &[LoadedModel], error: Option<&CallError>) {
    let mut state = shared.state();
    if state.serving.as_deref() == Some(models) {
        return;
    }
    info!(
        shared.log, "weights serving";
        "version" => models.first().map(|it| it.version),
        "before" => state.serving.as_ref().and_then(|it| it.first()).map(|it| it.version),
        "error" => error.map(ToString::to_string),
    );
    state.serving = Some(models.to_vec());
    drop(state);
    shared.served.notify_one();
}

/// Time between looks at the replica, which are free of charge on its own machine.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Least pause before the next try, and before the first look after an order; up to three times as long, so that agents
/// that fail together do not come back together.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time that is kept before the bound on a switch: entries stop sending to old weights 0.6 s before it, and what waits at a
/// replica must have begun.
const LOAD_RESERVE: Duration = Duration::from_millis(800);

/// Time for entries to stop sending before a load begins; a few times the way between regions.
const NOTICE_TIME: Duration = Duration::from_millis(15);

/// Time for which a piece that was seen to be sound is trusted; spoilt ones count after 3 s.
const SOUND_TIME: Duration = Duration::from_millis(1500);

/// Pieces that are looked at before all are taken to be of another version.
const PROBED_PIECES: usize = 3;
