//! Questions to the sources of weights: other agents and the origin.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::PieceManifest;
use httpio::{Request, StatusCode};
use platform::WeightApi;

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::piece_server::{PieceState, manifest_path, piece_path, ready_path};

/// Why a piece was not fetched.
#[derive(Debug)]
pub(crate) enum FetchError {
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
pub(crate) async fn piece_from_agent(
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

/// Says whether it is worth going on with `target`.
pub(crate) fn is_wanted(shared: &AgentShared, target: &WeightTarget) -> bool {
    let state = shared.state();
    let is_same = |it: &WeightTarget| it.model == target.model;
    state.target.as_ref().is_some_and(is_same)
        && state.deadlines.should_fetch(target.version, Instant::now())
}

/// Fetches the manifest from another agent.
pub(crate) async fn manifest_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    address: SocketAddr,
) -> Result<PieceManifest, FetchError> {
    let path = manifest_path(&target.model, target.version);
    match ask(shared, address, &path, READY_TIMEOUT).await? {
        (StatusCode::OK, bytes) => {
            postcard::from_bytes(&bytes).map_err(|it| FetchError::Unreachable(it.to_string()))
        }
        _ => Err(FetchError::Absent),
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

/// Fetches a piece from the origin.
pub(crate) async fn piece_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
) -> Result<Vec<u8>, FetchError> {
    let Ok(_permit) = shared.origin_fetches.acquire().await else {
        return Err(FetchError::Absent);
    };
    let mut last = FetchError::Absent;
    for origin in &target.origins {
        let api = WeightApi::new(shared.origin.clone(), *origin, ORIGIN_TIMEOUT);
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

/// Fetches the manifest from the origin.
pub(crate) async fn manifest_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
) -> Result<PieceManifest, FetchError> {
    let mut last = FetchError::Absent;
    for origin in &target.origins {
        let api = WeightApi::new(shared.origin.clone(), *origin, ORIGIN_TIMEOUT);
        match api.manifest(&target.model, target.version).await {
            Ok(manifest) if manifest.version == target.version => return Ok(manifest),
            Ok(manifest) => {
                let why = format!("the origin sent version {}", manifest.version);
                last = FetchError::Unreachable(why);
            }
            Err(err) => last = FetchError::Unreachable(err.to_string()),
        }
    }
    Err(last)
}

/// Time for the answer whether a piece is there; about twice as long as a live agent holds the question.
const READY_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for one piece from another agent. A link that was squeezed to a tenth takes 0.2 s for each of a few at once; an
/// agent behind such a link must not hold up all others, which find the piece elsewhere.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for an answer of the origin to begin. A connection to it may stay silent, and all others wait for what this agent
/// fetches; sixteen pieces at once over 4.38 Mbit/s take half of it.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest piece or manifest.
const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;
