//! Fetches the manifest and the pieces of the target: asks neighbors what they have, and fetches what the swarm chooses.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{
    FeedTable, FetchOutcome, FetchPlan, ManifestSource, PieceFetch, PieceManifest, PiecePeer,
    PieceSource, PieceSwarm, active_replicas,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use platform::CallError;
use relay::boot_clock;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::source_client::{FetchError, NeighborPieces};
use crate::{feed_reader, source_client, weight_loop};

/// Reads the list of replicas and creates the fetch plan of this agent.
pub(crate) async fn create_plan(
    shared: &AgentShared,
    target: &WeightTarget,
) -> Result<FetchPlan, String> {
    feed_reader::refresh(shared, FeedTable::Replicas, Duration::ZERO).await?;
    let service = shared
        .settings
        .replica_service
        .as_deref()
        .unwrap_or_default();
    let mut state = shared.state();
    let feed = state.feeds.entry(FeedTable::Replicas).or_default();
    // Registrations that cannot be decoded are skipped silently: entries read the same table and log them.
    let replicas = feed.rows();
    let replicas = replicas.filter_map(|it| platform::decode_replica(it.0, it.1).ok());
    let own_address = shared.own_address();
    // Draining replicas are excluded: their hosts are removed soon, and their agents stop even earlier.
    let peers = active_replicas(replicas, service);
    let peers = peers.into_iter().map(|it| PiecePeer {
        address: (it.address.ip(), own_address.port()).into(),
        region: shared
            .settings
            .regions
            .get(&it.zone)
            .cloned()
            .unwrap_or_default(),
        complete: it.version_of(&target.model) == Some(target.version),
    });
    let peers = peers.collect();
    let origin_region = target.origin_region.as_deref();
    Ok(FetchPlan::new(
        own_address,
        &shared.settings.region,
        peers,
        origin_region,
    ))
}

/// Fetches the manifest of the target. `attempt` counts the earlier attempts that failed.
pub(crate) async fn fetch_manifest(
    shared: &AgentShared,
    target: &WeightTarget,
    plan: &FetchPlan,
    attempt: usize,
) -> Option<PieceManifest> {
    for source in plan.manifest_sources(attempt) {
        match fetch_manifest_from(shared, target, source).await {
            Ok(manifest) => {
                info!(shared.log, "manifest fetched"; "version" => target.version, "source" => format!("{source:?}"));
                return Some(manifest);
            }
            Err(err) => {
                info!(shared.log, "manifest not fetched"; "source" => format!("{source:?}"), "error" => err.to_string());
            }
        }
    }
    None
}

/// Fetches a manifest that is in doubt again, from the origin or else from other agents, and replaces it if theirs differs.
pub(crate) async fn refetch_manifest(
    shared: &AgentShared,
    target: &WeightTarget,
    plan: &FetchPlan,
) {
    let agents = plan.manifest_sources(0).into_iter();
    let agents = agents.filter(|it| *it != ManifestSource::Origin);
    for source in std::iter::once(ManifestSource::Origin).chain(agents) {
        let fetched = fetch_manifest_from(shared, target, source).await;
        let is_replaced = match fetched {
            Ok(manifest) => {
                let mut state = shared.state();
                state.staged_pieces.replace_manifest(Arc::new(manifest))
            }
            Err(err) => {
                info!(shared.log, "manifest not fetched"; "source" => format!("{source:?}"), "error" => err.to_string());
                continue;
            }
        };
        warn!(
            shared.log, "manifest in doubt fetched again";
            "version" => target.version,
            "source" => format!("{source:?}"),
            "replaced" => is_replaced,
        );
        if is_replaced {
            shared.metrics.manifests_replaced.inc();
            shared.pieces_changed.notify_waiters();
            return;
        }
        if source == ManifestSource::Origin {
            break;
        }
    }
    shared.state().staged_pieces.record_confirmation();
}

/// Fetches the manifest of a version from the agents of `plan` or else from the origin; returns `None` if none of them has it.
pub(crate) async fn fetch_manifest_anywhere(
    shared: &AgentShared,
    target: &WeightTarget,
    plan: &FetchPlan,
) -> Option<PieceManifest> {
    if let Some(manifest) = fetch_manifest(shared, target, plan, 0).await {
        return Some(manifest);
    }
    let fetched = fetch_manifest_from(shared, target, ManifestSource::Origin).await;
    fetched.ok()
}

async fn fetch_manifest_from(
    shared: &AgentShared,
    target: &WeightTarget,
    source: ManifestSource,
) -> Result<PieceManifest, FetchError> {
    match source {
        ManifestSource::Agent(address) => {
            source_client::fetch_manifest_from_agent(shared, target, address).await
        }
        ManifestSource::Origin => source_client::fetch_manifest_from_origin(shared, target).await,
    }
}

/// Fetches and stages all missing pieces; returns whether all of them are staged.
pub(crate) async fn fetch_pieces(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    manifest: &Arc<PieceManifest>,
    plan: FetchPlan,
) -> bool {
    let mut swarm = PieceSwarm::new(plan, manifest.len(), Instant::now());
    let mut fetches = FuturesUnordered::new();
    let mut polls = FuturesUnordered::new();
    let mut polled = BTreeSet::new();
    let mut next_plan: Pin<Box<dyn Future<Output = Result<FetchPlan, String>> + Send + '_>> =
        Box::pin(refresh_plan(shared, target));
    let mut next_settling: Pin<Box<dyn Future<Output = ()> + Send + '_>> =
        Box::pin(weight_loop::poll_unsettled_order(shared));
    let mut last_report = Instant::now();
    loop {
        let is_doubted = shared.state().staged_pieces.is_manifest_doubted();
        if is_doubted || !source_client::should_fetch(shared, target) {
            return false;
        }
        let Some(staged) = shared.state().staged(target).cloned() else {
            return false;
        };
        if staged.is_full() {
            return true;
        }
        if last_report.elapsed() > REPORT_INTERVAL {
            last_report = Instant::now();
            info!(
                shared.log, "transfer in progress";
                "version" => target.version,
                "staged" => staged.count(),
                "from_origin" => swarm.in_flight(|it| it == PieceSource::Origin),
                "from_agents" => swarm.in_flight(|it| it != PieceSource::Origin),
            );
        }
        for neighbor in swarm.plan().neighbors() {
            if !swarm.plan().is_complete(neighbor) && polled.insert(neighbor) {
                let known = swarm.known_count(neighbor);
                polls.push(poll_neighbor(shared, target, manifest, neighbor, known));
            }
        }
        while let Some(fetch) = swarm.next_fetch(&staged, rand::random(), Instant::now()) {
            fetches.push(fetch_and_stage(shared, target, manifest, fetch));
        }
        // A source may become usable without any event, when its pause ends.
        let timeout = pin!(tokio::time::sleep(MAX_IDLE_TIME));
        tokio::select! {
            Some((fetch, outcome)) = fetches.next() => {
                swarm.record_end(fetch, outcome, rand::random(), Instant::now());
            }
            Some((neighbor, response)) = polls.next() => {
                polled.remove(&neighbor);
                match response {
                    Some(NeighborPieces::Known(pieces)) => {
                        swarm.record_pieces(neighbor, pieces, Instant::now());
                    }
                    Some(NeighborPieces::UnknownVersion) => swarm.record_without_version(neighbor),
                    None => {}
                }
            }
            plan = &mut next_plan => {
                match plan {
                    Ok(plan) => swarm.update_plan(plan),
                    Err(err) => warn!(shared.log, "cannot read the list of replicas"; "error" => err),
                }
                next_plan = Box::pin(refresh_plan(shared, target));
            }
            () = &mut next_settling => {
                next_settling = Box::pin(weight_loop::poll_unsettled_order(shared));
            }
            () = timeout => {}
        }
    }
}

async fn refresh_plan(shared: &AgentShared, target: &WeightTarget) -> Result<FetchPlan, String> {
    tokio::time::sleep(PLAN_LIFETIME).await;
    create_plan(shared, target).await
}

/// Asks a neighbor which pieces it has; it responds once these are more or fewer than `known`, or after a while.
async fn poll_neighbor(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    neighbor: SocketAddr,
    known: usize,
) -> (SocketAddr, Option<NeighborPieces>) {
    tokio::time::sleep(POLL_PAUSE).await;
    let response = source_client::neighbor_pieces(shared, target, neighbor, known).await;
    let response = response.and_then(|it| match it {
        NeighborPieces::Known(pieces) if pieces.len() != manifest.len() => Err(
            FetchError::RequestFailed("the number of pieces is wrong".to_owned()),
        ),
        it => Ok(it),
    });
    match response {
        Ok(it) => (neighbor, Some(it)),
        Err(err) => {
            info!(shared.log, "neighbor did not respond"; "neighbor" => neighbor.to_string(), "error" => err.to_string());
            tokio::time::sleep(FAILED_POLL_PAUSE).await;
            (neighbor, None)
        }
    }
}

async fn fetch_and_stage(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    fetch: PieceFetch,
) -> (PieceFetch, FetchOutcome) {
    let index = fetch.index;
    let (label, fetched) = match fetch.source {
        PieceSource::Agent(address) => (
            "agent",
            source_client::fetch_piece_from_agent(shared, target, manifest, address, index).await,
        ),
        PieceSource::Origin => (
            "origin",
            source_client::fetch_piece_from_origin(shared, target, index).await,
        ),
    };
    let fetched = fetched.and_then(|bytes| {
        if manifest.matches(index, &bytes) {
            Ok(bytes)
        } else {
            let digest = PieceManifest::digest(&bytes);
            shared.state().staged_pieces.record_mismatch(index, digest);
            Err(FetchError::DigestMismatch)
        }
    });
    let label_of_outcome = match &fetched {
        Ok(_) => "ok",
        Err(FetchError::NotFound) => "absent",
        Err(FetchError::Busy) => "busy",
        Err(FetchError::DigestMismatch) => "spoilt",
        Err(FetchError::RequestFailed(_)) => "unreachable",
    };
    let labels = [label, label_of_outcome];
    shared.metrics.pieces.with_label_values(&labels).inc();
    let err = match fetched {
        Ok(bytes) => {
            let is_staged = stage_piece(shared, target, index, bytes).await;
            let outcome = if is_staged {
                FetchOutcome::Staged
            } else {
                FetchOutcome::Busy
            };
            return (fetch, outcome);
        }
        Err(err) => err,
    };
    if !matches!(err, FetchError::Busy) {
        info!(
            shared.log, "piece not fetched";
            "index" => index,
            "version" => target.version,
            "source" => format!("{:?}", fetch.source),
            "error" => err.to_string(),
        );
    }
    let outcome = match err {
        FetchError::NotFound | FetchError::DigestMismatch => FetchOutcome::Absent,
        FetchError::Busy => FetchOutcome::Busy,
        FetchError::RequestFailed(_) => FetchOutcome::Unreachable,
    };
    (fetch, outcome)
}

/// Stages a piece; returns whether it is staged. A replica that is silent for a moment receives it again, since another
/// transfer would cost more.
async fn stage_piece(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
    bytes: Vec<u8>,
) -> bool {
    // The replica may store the piece even if this future is dropped or the call fails.
    let mut sent_at = boot_clock::now();
    shared.state().staged_pieces.record_missing(index, sent_at);
    let mut attempts = 0;
    loop {
        let staging = shared
            .replica_client
            .stage_piece(&target.model, index, bytes.clone());
        let Err(err) = staging.await else {
            break;
        };
        warn!(shared.log, "cannot stage piece"; "index" => index, "error" => err.to_string());
        attempts += 1;
        let may_repeat = matches!(err, CallError::TimedOut) && attempts < MAX_STAGING_ATTEMPTS;
        if !may_repeat || !source_client::should_fetch(shared, target) {
            return false;
        }
        sent_at = boot_clock::now();
    }
    let mut state = shared.state();
    if state.staged(target).is_none() {
        return false;
    }
    state.staged_pieces.record_valid(index, sent_at);
    drop(state);
    shared.pieces_changed.notify_waiters();
    true
}

/// Maximum attempts to stage a piece at a replica that does not answer.
const MAX_STAGING_ATTEMPTS: usize = 3;

/// Time after which the list of replicas is read again.
const PLAN_LIFETIME: Duration = Duration::from_millis(2500);

/// Time between two log lines on the progress of a transfer.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Maximum time between two choices of a next piece.
const MAX_IDLE_TIME: Duration = Duration::from_millis(100);

/// Minimum time between two polls of the same neighbor, in which it receives about one piece. A piece passes a few agents
/// before it reaches all, so the pause delays the last one several times.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Time before a neighbor that did not respond is polled again.
const FAILED_POLL_PAUSE: Duration = Duration::from_millis(500);
