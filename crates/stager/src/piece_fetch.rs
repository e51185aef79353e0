//! Fetches manifests and pieces from the sources that the plan names.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FetchPlan, PieceHolder, PieceManifest, PieceSource, Replica};
use futures::StreamExt;
use httpio::{Request, StatusCode};
use platform::{REPLICA_TABLE, WeightApi};
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::piece_server::{PieceState, manifest_path, piece_path, ready_path};
use crate::source_pause::SourcePause;

/// Reads which agents take part and plans for this one.
pub(crate) async fn plan(
    shared: &AgentShared,
    target: &WeightTarget,
) -> Result<FetchPlan, platform::CallError> {
    let page = shared.store.read_table(REPLICA_TABLE).await?;
    let service = shared
        .settings
        .replica_service
        .as_deref()
        .unwrap_or_default();
    let replicas = page.rows.iter().filter_map(|row| {
        // Entries of other writers are told of by the entries, which follow the table.
        platform::decode_replica(&row.key, row.value.as_ref()?).ok()
    });
    // A replica that was restarted may be listed twice for a while; the newest incarnation counts.
    let mut by_address: BTreeMap<SocketAddr, Replica> = BTreeMap::new();
    for replica in replicas.filter(|it| it.service == service) {
        let known = by_address.get(&replica.address);
        if known.is_none_or(|it| it.born_ms < replica.born_ms) {
            by_address.insert(replica.address, replica);
        }
    }
    let holders = by_address
        .into_values()
        .map(|it| PieceHolder {
            address: (it.address.ip(), shared.settings.first_port).into(),
            region: shared
                .settings
                .regions
                .get(&it.zone)
                .cloned()
                .unwrap_or_default(),
            complete: it.version_of(&target.model) == Some(target.version),
        })
        .collect();
    Ok(FetchPlan::new(
        shared.own_address(),
        &shared.settings.region,
        holders,
        target.origin_connections / CONNECTIONS_PER_ORIGIN_CLIENT,
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
                manifest_from_agent(shared, target, address).await
            }
            PieceSource::Origin => manifest_from_origin(shared, target).await,
        };
        match fetched {
            Ok(manifest) => return Some(manifest),
            Err(why) => {
                info!(shared.log, "manifest not fetched"; "source" => format!("{source:?}"), "error" => why);
                pause(pauses, source);
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
    // Pieces that others wait for go first: those that this agent takes from the origin or brings into its region.
    missing.sort_by_key(|it| match plan.sources(*it).first() {
        Some(PieceSource::Origin) => 0,
        _ if plan.brings(*it) => 1,
        _ => 2,
    });
    let results = futures::stream::iter(missing)
        .map(|index| {
            piece(
                shared,
                target,
                manifest,
                plan.sources(index),
                index,
                pauses,
                plan_ends,
            )
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
    sources: Vec<PieceSource>,
    index: usize,
    pauses: &SourcePause,
    plan_ends: Instant,
) -> bool {
    let mut round = 0;
    loop {
        for source in &sources {
            // The origin is slow for all when many turn to it because others are still starting.
            if *source == PieceSource::Origin && round == 0 && sources.len() > 1 {
                continue;
            }
            if !is_wanted(shared, target) || Instant::now() > plan_ends {
                return false;
            }
            if let Some(bytes) =
                fetch(shared, target, manifest, *source, index, pauses, plan_ends).await
            {
                return stage(shared, target, index, bytes).await;
            }
        }
        round += 1;
        tokio::time::sleep(ROUND_PAUSE).await;
    }
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
            piece_from_agent(shared, target, manifest, address, index, None).await,
        ),
        PieceSource::Fetcher(address) => (
            "fetcher",
            piece_from_agent(shared, target, manifest, address, index, Some(plan_ends)).await,
        ),
        PieceSource::Origin => ("origin", piece_from_origin(shared, target, index).await),
    };
    let fetched = fetched.and_then(|bytes| {
        if manifest.matches(index, &bytes) {
            Ok(bytes)
        } else {
            Err(FetchError::Spoilt)
        }
    });
    let outcome = match &fetched {
        Ok(_) => "ok",
        Err(FetchError::Absent) => "absent",
        Err(FetchError::Spoilt) => "spoilt",
        Err(FetchError::Unreachable(_)) => "unreachable",
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
            if matches!(err, FetchError::Unreachable(_)) {
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

/// Why a piece was not fetched.
#[derive(Debug)]
enum FetchError {
    /// The source does not have it.
    Absent,
    /// The bytes do not have the digest.
    Spoilt,
    /// No usable answer.
    Unreachable(String),
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("the source does not have it"),
            Self::Spoilt => f.write_str("the bytes do not have the digest"),
            Self::Unreachable(why) => f.write_str(why),
        }
    }
}

/// Fetches a piece from another agent; `patient_until` bounds the wait for one that is still fetching it.
async fn piece_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    address: SocketAddr,
    index: usize,
    patient_until: Option<Instant>,
) -> Result<Vec<u8>, FetchError> {
    let (model, version) = (&target.model, target.version);
    // The question costs no bandwidth; the transfer does, and few at once keep the queue of the link short.
    loop {
        let (status, _) = ask(
            shared,
            address,
            &ready_path(model, version, index),
            READY_TIMEOUT,
        )
        .await?;
        match PieceState::of_status(status) {
            PieceState::Staged => break,
            PieceState::Fetching
                if patient_until.is_some_and(|it| Instant::now() < it)
                    && is_wanted(shared, target) => {}
            PieceState::Fetching | PieceState::Unknown => return Err(FetchError::Absent),
        }
    }
    let Ok(_permit) = shared.downloads.acquire().await else {
        return Err(FetchError::Absent);
    };
    shared.download_pace.wait(manifest.piece_bytes).await;
    let path = piece_path(model, version, index);
    match ask(shared, address, &path, TRANSFER_TIMEOUT).await? {
        (StatusCode::OK, bytes) => Ok(bytes),
        _ => Err(FetchError::Absent),
    }
}

/// Says whether it is worth going on with `target`: it is the newest, or all but complete.
fn is_wanted(shared: &AgentShared, target: &WeightTarget) -> bool {
    let state = shared.state();
    state.target.as_ref() == Some(target)
        || state
            .book
            .manifest(&target.model, target.version)
            .is_some_and(|it| state.book.missing().len() <= it.len() / NEARLY_COMPLETE)
}

async fn manifest_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    address: SocketAddr,
) -> Result<PieceManifest, String> {
    let path = manifest_path(&target.model, target.version);
    match ask(shared, address, &path, PIECE_TIMEOUT).await {
        Ok((StatusCode::OK, bytes)) => serde_json::from_slice(&bytes).map_err(|it| it.to_string()),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(err) => Err(err.to_string()),
    }
}

async fn ask(
    shared: &AgentShared,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), FetchError> {
    let unreachable = |it: String| FetchError::Unreachable(it);
    let request = Request::builder()
        .uri(path)
        .body(httpio::empty())
        .map_err(|it| unreachable(it.to_string()))?;
    let exchange = async {
        let reply = shared
            .sources
            .send(address, request)
            .await
            .map_err(|it| unreachable(it.to_string()))?;
        let answer = reply
            .read(&shared.sources, MAX_PIECE_BYTES, timeout)
            .await
            .map_err(|it| unreachable(it.to_string()))?;
        let status = answer.status();
        Ok((status, answer.into_body().to_vec()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(unreachable("timed out".to_owned())))
}

async fn piece_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
) -> Result<Vec<u8>, FetchError> {
    let Ok(_permit) = shared.origin_fetches.acquire().await else {
        return Err(FetchError::Absent);
    };
    let mut last = FetchError::Absent;
    for origin in &target.origins {
        let api = WeightApi::new(shared.origin.clone(), *origin, PIECE_TIMEOUT);
        match api.piece(&target.model, target.version, index).await {
            Ok(bytes) => return Ok(bytes),
            Err(platform::CallError::Status(status)) if status == StatusCode::GONE => {
                last = FetchError::Absent;
            }
            Err(err) => last = FetchError::Unreachable(err.to_string()),
        }
    }
    Err(last)
}

async fn manifest_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
) -> Result<PieceManifest, String> {
    let mut last = "no origin is configured".to_owned();
    for origin in &target.origins {
        let api = WeightApi::new(shared.origin.clone(), *origin, PIECE_TIMEOUT);
        match api.manifest(&target.model, target.version).await {
            Ok(manifest) if manifest.version == target.version => return Ok(manifest),
            Ok(manifest) => last = format!("the origin sent version {}", manifest.version),
            Err(err) => last = err.to_string(),
        }
    }
    Err(last)
}

fn pause(pauses: &SourcePause, source: PieceSource) {
    if let PieceSource::Holder(address) | PieceSource::Fetcher(address) = source {
        pauses.pause(address, Instant::now());
    }
}

/// Pieces on their way at once. Some wait at agents that have not got them yet, so it is more than a link needs.
const PARALLEL_PIECES: usize = 32;

/// Time for the answer whether a piece is there; about twice as long as a live agent holds the question.
const READY_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time after which the agents that take part are read again: agents that read different lists, as after an outage of the
/// store, may wait for each other that long.
const PLAN_LIFETIME: Duration = Duration::from_millis(2500);

/// Connections of the origin for each agent that fetches from it in turn; the rest is for those that stand in for lost ones.
const CONNECTIONS_PER_ORIGIN_CLIENT: usize = 3;

/// Pause after no source had a piece.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// One in this many pieces may be missing of a version that is completed although a newer one is declared.
const NEARLY_COMPLETE: usize = 8;

/// Time for one piece from another agent. A link that was squeezed to a tenth takes 0.2 s for each of a few at once; an
/// agent behind such a link must not hold up all others, which find the piece elsewhere.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for one piece from one source; a link that was squeezed to 0.9 Mbit/s takes 0.2 s for each.
const PIECE_TIMEOUT: Duration = Duration::from_millis(6000);

/// Largest piece or manifest.
const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;
