//! Keeps an agent that has started from staging pieces under a load order of an earlier process.
//!
//! See `docs/incidents/forgotten-orders.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{OrderCandidates, OrderWindow, PieceManifest, PriorOrder};
use platform::ReplicaReport;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, PriorOrders, UnsettledOrder, WeightTarget};
use crate::{piece_fetch, staged_check};

/// Returns the orders that an earlier process may have sent to the replica with `report`, if this is its first report to this
/// process.
pub(crate) fn of_earlier_process(report: &ReplicaReport, is_first: bool) -> Option<PriorOrders> {
    // No load is ordered during another one, and all earlier orders are rejected since it began.
    let is_possible = is_first && !report.load_in_progress;
    is_possible.then(|| PriorOrders {
        window: OrderWindow::open(report.orders_started, Instant::now()),
        surveyed_at: None,
    })
}

/// Returns whether pieces of `target` may be staged, as far as orders of an earlier process are concerned. If one of them may
/// still be accepted, it becomes the unsettled order, which is staged and sent again first.
pub(crate) async fn may_stage(
    shared: &AgentShared,
    target: &WeightTarget,
    report: &ReplicaReport,
) -> bool {
    let Some(prior) = shared.state().prior_orders.clone() else {
        return true;
    };
    let mut models = report.models.iter();
    let serving = models.find(|it| it.name == target.model);
    let serving = serving.map(|it| it.version);
    let newest = shared.state().declarations.newest(&target.model);
    let newest = newest.unwrap_or(target.version);
    let candidates = OrderCandidates::new(serving, target.version, newest);
    if candidates.is_empty() {
        return true;
    }
    let is_recent = |it: Instant| it.elapsed() < SURVEY_INTERVAL;
    if prior.surveyed_at.is_some_and(is_recent) {
        return false;
    }
    let Some(found) = survey(shared, target, serving, candidates).await else {
        return false;
    };
    record_finding(shared, target, serving, found);
    let mut state = shared.state();
    match found {
        PriorOrder::None => state.prior_orders = None,
        PriorOrder::Possible(version) => {
            let target = WeightTarget {
                version,
                ..target.clone()
            };
            state.unsettled_order = Some(UnsettledOrder {
                target,
                window: prior.window,
            });
            state.prior_orders = None;
        }
        PriorOrder::Undetermined => {
            if let Some(prior) = &mut state.prior_orders {
                prior.surveyed_at = Some(Instant::now());
            }
        }
    }
    found == PriorOrder::None
}

/// Reads the staged pieces to find out what may have been ordered; returns `None` if that is impossible now.
async fn survey(
    shared: &AgentShared,
    target: &WeightTarget,
    serving: Option<u64>,
    candidates: OrderCandidates,
) -> Option<PriorOrder> {
    // All versions have the same number of pieces.
    let manifest = find_manifest(shared, target, target.version).await?;
    let staged = match staged_check::read_digests(shared, &manifest).await {
        Ok(it) => it,
        Err(err) => {
            info!(shared.log, "cannot read staged pieces"; "error" => err.to_string());
            return None;
        }
    };
    let mut manifests = BTreeMap::from([(target.version, manifest)]);
    let newest = candidates.iter().take(MAX_SURVEYED_VERSIONS);
    // The manifest in service comes last: it only tells pieces of two versions from corrupt ones.
    for version in newest.chain(serving) {
        if fleet::prior_order(&staged, &manifests, candidates) == PriorOrder::None {
            break;
        }
        if let Some(manifest) = find_manifest(shared, target, version).await {
            manifests.insert(version, manifest);
        }
    }
    Some(fleet::prior_order(&staged, &manifests, candidates))
}

/// Returns the manifest of `version` of the target's model if this agent, another one or the origin has it.
async fn find_manifest(
    shared: &AgentShared,
    target: &WeightTarget,
    version: u64,
) -> Option<Arc<PieceManifest>> {
    let known = known_manifest(shared, &target.model, version);
    if known.is_some() {
        return known;
    }
    let target = WeightTarget {
        version,
        ..target.clone()
    };
    let plan = match piece_fetch::create_plan(shared, &target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot read the list of replicas"; "error" => err);
            return None;
        }
    };
    let manifest = piece_fetch::fetch_manifest_anywhere(shared, &target, &plan).await;
    manifest.map(Arc::new)
}

fn known_manifest(shared: &AgentShared, model: &str, version: u64) -> Option<Arc<PieceManifest>> {
    let state = shared.state();
    state.staged_pieces.manifest(model, version).cloned()
}

fn record_finding(
    shared: &AgentShared,
    target: &WeightTarget,
    serving: Option<u64>,
    found: PriorOrder,
) {
    let (finding, version) = match found {
        PriorOrder::None => ("none", None),
        PriorOrder::Possible(version) => ("possible", Some(version)),
        PriorOrder::Undetermined => ("undetermined", None),
    };
    let findings = &shared.metrics.prior_orders;
    findings.with_label_values(&[finding]).inc();
    info!(
        shared.log, "orders of an earlier process looked for";
        "finding" => finding,
        "ordered" => version,
        "serving" => serving,
        "version" => target.version,
    );
}

/// Minimum time between two readings of the staged pieces.
const SURVEY_INTERVAL: Duration = Duration::from_millis(1000);

/// Maximum number of versions whose manifests are looked for; sources have few.
const MAX_SURVEYED_VERSIONS: usize = 4;
