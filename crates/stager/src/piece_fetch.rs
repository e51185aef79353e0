//! Fetches the manifest and the pieces of the target from the sources that the fetch plan selects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{
    FeedTable, FetchPlan, OriginAccess, PieceManifest, PiecePeer, PieceSource, active_replicas,
};
use futures::StreamExt;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::source_backoff::SourceBackoff;
use crate::{feed_reader, source_client};

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
    Ok(FetchPlan::new(
        own_address,
        &shared.settings.region,
        peers,
        OriginAccess {
            clients: target.origin_connections / CONNECTIONS_PER_ORIGIN_CLIENT,
            region: target.origin_region.clone(),
        },
    ))
}

/// Fetches the manifest of the target.
pub(crate) async fn fetch_manifest(
    shared: &AgentShared,
    target: &WeightTarget,
    plan: &FetchPlan,
    backoff: &SourceBackoff,
) -> Option<PieceManifest> {
    for source in plan.manifest_sources() {
        let fetched = match source {
            PieceSource::Holder(address) | PieceSource::Fetcher(address)
                if backoff.is_backing_off(address, Instant::now()) =>
            {
                continue;
            }
            PieceSource::Holder(address) | PieceSource::Fetcher(address) => {
                source_client::fetch_manifest_from_agent(shared, target, address).await
            }
            PieceSource::Origin => source_client::fetch_manifest_from_origin(shared, target).await,
        };
        match fetched {
            Ok(manifest) => return Some(manifest),
            Err(err) => {
                info!(shared.log, "manifest not fetched"; "source" => format!("{source:?}"), "error" => err.to_string());
                // An agent without a manifest may still have pieces later, so it is not put into backoff.
                if matches!(err, source_client::FetchError::RequestFailed(_)) {
                    record_failure(backoff, source);
                }
            }
        }
    }
    None
}

/// Fetches and stages all missing pieces; returns whether all of them are staged.
pub(crate) async fn fetch_pieces(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    manifest: &Arc<PieceManifest>,
    plan: &FetchPlan,
    backoff: &SourceBackoff,
) -> bool {
    let plan_expires_at = Instant::now() + PLAN_LIFETIME;
    let mut missing = shared.state().staged_pieces.missing();
    // Pieces that were not fetched under earlier plans are requested from further sources.
    let first_round = shared.state().staged_pieces.begin_plan();
    // Pieces that other agents wait for come first: those that this agent fetches from the origin or copies to its
    // region.
    missing.sort_by_key(|it| match plan.sources(*it, 0).first() {
        Some(PieceSource::Origin) => 0,
        _ if plan.fetches_for_region(*it) => 1,
        _ => 2,
    });
    let results = futures::stream::iter(missing)
        .map(|index| {
            let plan = (plan, first_round);
            fetch_and_stage(
                shared,
                target,
                manifest,
                plan,
                index,
                backoff,
                plan_expires_at,
            )
        })
        .buffer_unordered(MAX_CONCURRENT_PIECES);
    results
        .fold(true, |all_staged, it| std::future::ready(all_staged && it))
        .await
}

/// Fetches a piece from the first source that has it, and stages it.
///
/// The sources are tried in rounds until the plan expires. Other agents may wait for this piece, so it is retried on
/// its own rather than after all other pieces of this agent.
async fn fetch_and_stage(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    (plan, first_round): (&FetchPlan, usize),
    index: usize,
    backoff: &SourceBackoff,
    plan_expires_at: Instant,
) -> bool {
    for round in first_round.. {
        for source in plan.sources(index, round) {
            if !source_client::should_fetch(shared, target) || Instant::now() > plan_expires_at {
                return false;
            }
            if let Some(bytes) = fetch_piece(
                shared,
                target,
                manifest,
                source,
                index,
                backoff,
                plan_expires_at,
            )
            .await
            {
                return stage_piece(shared, target, index, bytes).await;
            }
        }
        if !source_client::should_fetch(shared, target) || Instant::now() > plan_expires_at {
            break;
        }
        tokio::time::sleep(ROUND_DELAY).await;
    }
    false
}

async fn fetch_piece(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    source: PieceSource,
    index: usize,
    backoff: &SourceBackoff,
    plan_expires_at: Instant,
) -> Option<Vec<u8>> {
    let (label, fetched) = match source {
        PieceSource::Holder(address) | PieceSource::Fetcher(address)
            if backoff.is_backing_off(address, Instant::now()) =>
        {
            return None;
        }
        PieceSource::Holder(address) => (
            "holder",
            source_client::fetch_piece_from_agent(shared, target, manifest, address, index, None)
                .await,
        ),
        PieceSource::Fetcher(address) => (
            "fetcher",
            source_client::fetch_piece_from_agent(
                shared,
                target,
                manifest,
                address,
                index,
                Some(plan_expires_at.min(Instant::now() + FETCHER_WAIT)),
            )
            .await,
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
            Err(source_client::FetchError::DigestMismatch)
        }
    });
    let outcome = match &fetched {
        Ok(_) => "ok",
        Err(source_client::FetchError::NotFound) => "absent",
        Err(source_client::FetchError::DigestMismatch) => "spoilt",
        Err(source_client::FetchError::RequestFailed(_)) => "unreachable",
    };
    shared
        .metrics
        .pieces
        .with_label_values(&[label, outcome])
        .inc();
    match fetched {
        Ok(bytes) => Some(bytes),
        Err(err) => {
            info!(
                shared.log, "piece not fetched";
                "index" => index,
                "version" => target.version,
                "source" => format!("{source:?}"),
                "error" => err.to_string(),
            );
            if matches!(err, source_client::FetchError::RequestFailed(_)) {
                record_failure(backoff, source);
            }
            None
        }
    }
}

async fn stage_piece(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
    bytes: Vec<u8>,
) -> bool {
    if let Err(err) = shared
        .replica_client
        .stage_piece(&target.model, index, bytes)
        .await
    {
        warn!(shared.log, "cannot stage piece"; "index" => index, "error" => err.to_string());
        return false;
    }
    let mut state = shared.state();
    if state
        .staged_pieces
        .manifest(&target.model, target.version)
        .is_none()
    {
        return false;
    }
    state.staged_pieces.record_verified(index, Instant::now());
    drop(state);
    shared.pieces_changed.notify_waiters();
    true
}

fn record_failure(backoff: &SourceBackoff, source: PieceSource) {
    if let PieceSource::Holder(address) | PieceSource::Fetcher(address) = source {
        backoff.record_failure(address, Instant::now());
    }
}

/// Maximum number of pieces that are fetched concurrently. It exceeds what a link needs, since some requests wait for
/// agents that are still fetching the piece.
const MAX_CONCURRENT_PIECES: usize = 32;

/// Time after which the list of replicas is read again. Agents with different lists, as after an outage of the store,
/// may wait for each other for that long.
const PLAN_LIFETIME: Duration = Duration::from_millis(2500);

/// Time for which an agent that is still fetching a piece is polled before the next source is tried.
const FETCHER_WAIT: Duration = Duration::from_millis(1200);

/// Number of connections of the origin per agent that regularly fetches from it. The rest is reserved for agents that
/// take over from failed ones.
const CONNECTIONS_PER_ORIGIN_CLIENT: usize = 3;

/// Delay after a round in which no source had a piece. Each round lets one more agent use sources in other regions or
/// the origin, so only a few do within the lifetime of a plan.
const ROUND_DELAY: Duration = Duration::from_millis(600);
