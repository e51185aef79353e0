//! Fetches manifests and pieces from the sources that the plan names.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{
    FeedTable, FetchPlan, OriginAccess, PieceManifest, PiecePeer, PieceSource, active_replicas,
};
use futures::StreamExt;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::source_pause::SourcePause;
use crate::{feed_reader, piece_source};

/// Reads which agents take part and plans for this one.
pub(crate) async fn plan(shared: &AgentShared, target: &WeightTarget) -> Result<FetchPlan, String> {
    feed_reader::refresh(shared, FeedTable::Replicas, Duration::ZERO).await?;
    let service = shared
        .settings
        .replica_service
        .as_deref()
        .unwrap_or_default();
    let mut state = shared.state();
    let feed = state.feeds.entry(FeedTable::Replicas).or_default();
    // Entries of other writers are told of by the entries, which follow the table.
    let replicas = feed.rows();
    let replicas = replicas.filter_map(|it| platform::decode_replica(it.0, it.1).ok());
    let own_address = shared.own_address();
    // The machines of leaving replicas go soon, and their agents stop sooner.
    let holders = active_replicas(replicas, service);
    let holders = holders.into_iter().map(|it| PiecePeer {
        address: (it.address.ip(), own_address.port()).into(),
        region: shared
            .settings
            .regions
            .get(&it.zone)
            .cloned()
            .unwrap_or_default(),
        complete: it.version_of(&target.model) == Some(target.version),
    });
    let holders = holders.collect();
    Ok(FetchPlan::new(
        own_address,
        &shared.settings.region,
        holders,
        OriginAccess {
            clients: target.origin_connections / CONNECTIONS_PER_ORIGIN_CLIENT,
            region: target.origin_region.clone(),
        },
    ))
}

/// Fetches the manifest of the target.
pub(crate) async fn manifest(
    shared: &AgentShared,
    target: &WeightTarget,
    plan: &FetchPlan,
    pauses: &SourcePause,
) -> Option<PieceManifest> {
    for source in plan.manifest_sources() {
        let fetched = match source {
            PieceSource::Holder(address) | PieceSource::Fetcher(address)
                if pauses.is_paused(address, Instant::now()) =>
            {
                continue;
            }
            PieceSource::Holder(address) | PieceSource::Fetcher(address) => {
                piece_source::manifest_from_agent(shared, target, address).await
            }
            PieceSource::Origin => piece_source::manifest_from_origin(shared, target).await,
        };
        match fetched {
            Ok(manifest) => return Some(manifest),
            Err(err) => {
                info!(shared.log, "manifest not fetched"; "source" => format!("{source:?}"), "error" => err.to_string());
                // An agent that has no manifest yet may still have pieces later.
                if matches!(err, piece_source::FetchError::Unreachable(_)) {
                    pause(pauses, source);
                }
            }
        }
    }
    None
}

/// Fetches all pieces that are missing; returns whether none is left.
pub(crate) async fn pieces(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    manifest: &Arc<PieceManifest>,
    plan: &FetchPlan,
    pauses: &SourcePause,
) -> bool {
    let plan_ends = Instant::now() + PLAN_LIFETIME;
    let mut missing = shared.state().book.missing();
    // What an earlier plan did not bring in time is looked for elsewhere.
    let first_round = shared.state().book.next_plan();
    // Pieces that others wait for go first: those that this agent takes from the origin or brings into its region.
    missing.sort_by_key(|it| match plan.sources(*it, 0).first() {
        Some(PieceSource::Origin) => 0,
        _ if plan.fetches_for_region(*it) => 1,
        _ => 2,
    });
    let results = futures::stream::iter(missing)
        .map(|index| {
            let plan = (plan, first_round);
            piece(shared, target, manifest, plan, index, pauses, plan_ends)
        })
        .buffer_unordered(PARALLEL_PIECES);
    results
        .fold(true, |all, it| std::future::ready(all && it))
        .await
}

/// Fetches one piece from the first source that has it, and stages it.
///
/// It goes round the sources until the plan is out of date: other agents may wait for this piece, so it must not wait for
/// the others of this agent.
async fn piece(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    (plan, first_round): (&FetchPlan, usize),
    index: usize,
    pauses: &SourcePause,
    plan_ends: Instant,
) -> bool {
    for round in first_round.. {
        for source in plan.sources(index, round) {
            if !piece_source::is_wanted(shared, target) || Instant::now() > plan_ends {
                return false;
            }
            if let Some(bytes) =
                fetch(shared, target, manifest, source, index, pauses, plan_ends).await
            {
                return stage(shared, target, index, bytes).await;
            }
        }
        if !piece_source::is_wanted(shared, target) || Instant::now() > plan_ends {
            break;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    false
}

async fn fetch(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    source: PieceSource,
    index: usize,
    pauses: &SourcePause,
    plan_ends: Instant,
) -> Option<Vec<u8>> {
    let (label, fetched) = match source {
        PieceSource::Holder(address) | PieceSource::Fetcher(address)
            if pauses.is_paused(address, Instant::now()) =>
        {
            return None;
        }
        PieceSource::Holder(address) => (
            "holder",
            piece_source::piece_from_agent(shared, target, manifest, address, index, None).await,
        ),
        PieceSource::Fetcher(address) => (
            "fetcher",
            piece_source::piece_from_agent(
                shared,
                target,
                manifest,
                address,
                index,
                Some(plan_ends.min(Instant::now() + FETCHER_PATIENCE)),
            )
            .await,
        ),
        PieceSource::Origin => (
            "origin",
            piece_source::piece_from_origin(shared, target, index).await,
        ),
    };
    let fetched = fetched.and_then(|bytes| {
        if manifest.matches(index, &bytes) {
            Ok(bytes)
        } else {
            Err(piece_source::FetchError::Spoilt)
        }
    });
    let outcome = match &fetched {
        Ok(_) => "ok",
        Err(piece_source::FetchError::Absent) => "absent",
        Err(piece_source::FetchError::Spoilt) => "spoilt",
        Err(piece_source::FetchError::Unreachable(_)) => "unreachable",
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
            if matches!(err, piece_source::FetchError::Unreachable(_)) {
                pause(pauses, source);
            }
            None
        }
    }
}

async fn stage(shared: &AgentShared, target: &WeightTarget, index: usize, bytes: Vec<u8>) -> bool {
    if let Err(err) = shared.replica.put_piece(&target.model, index, bytes).await {
        warn!(shared.log, "piece not staged"; "index" => index, "error" => err.to_string());
        return false;
    }
    let mut state = shared.state();
    if state.book.manifest(&target.model, target.version).is_none() {
        return false;
    }
    state.book.note_sound(index, Instant::now());
    drop(state);
    shared.arrived.notify_waiters();
    true
}

fn pause(pauses: &SourcePause, source: PieceSource) {
    if let PieceSource::Holder(address) | PieceSource::Fetcher(address) = source {
        pauses.pause(address, Instant::now());
    }
}

/// Pieces on their way at once. Some wait at agents that have not got them yet, so it is more than a link needs.
const PARALLEL_PIECES: usize = 32;

/// Time after which the agents that take part are read again: agents that read different lists, as after an outage of the
/// store, may wait for each other that long.
const PLAN_LIFETIME: Duration = Duration::from_millis(2500);

/// Time for which a source that is still fetching a piece is waited for before the next one is asked.
const FETCHER_PATIENCE: Duration = Duration::from_millis(1200);

/// Connections of the origin for each agent that fetches from it in turn; the rest is for those that stand in for lost ones.
const CONNECTIONS_PER_ORIGIN_CLIENT: usize = 3;

/// Pause after no source had a piece; one more agent stands in after each, so few do within the lifetime of a plan.
const ROUND_PAUSE: Duration = Duration::from_millis(600);
