//! Requests to the sources of weights: other agents and the origin.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::PieceManifest;
use httpio::{Request, StatusCode};
use platform::WeightOriginClient;

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::piece_server::{PieceState, manifest_path, piece_path, ready_path};

/// Reason why a piece or a manifest could not be fetched.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// It is not available at the source.
    NotFound,
    /// The digest of the received bytes does not match the manifest.
    DigestMismatch,
    /// The request failed or the response is invalid.
    RequestFailed(String),
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("not available at the source"),
            Self::DigestMismatch => f.write_str("the digest does not match"),
            Self::RequestFailed(reason) => f.write_str(reason),
        }
    }
}

/// Fetches a piece from another agent. If that agent is still fetching it, polls until `poll_until`, or not at all if
/// `None`.
pub(crate) async fn fetch_piece_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    address: SocketAddr,
    index: usize,
    poll_until: Option<Instant>,
) -> Result<Vec<u8>, FetchError> {
    let (model, version) = (&target.model, target.version);
    // Polling uses almost no bandwidth. Only transfers are limited, since few at a time keep the queue of the link
    // short.
    loop {
        let (status, _) = get(
            shared,
            address,
            &ready_path(model, version, index),
            POLL_TIMEOUT,
        )
        .await?;
        match PieceState::from_status(status) {
            PieceState::Staged => break,
            PieceState::Fetching
                if poll_until.is_some_and(|it| Instant::now() < it)
                    && should_fetch(shared, target) => {}
            PieceState::Fetching | PieceState::Unavailable => return Err(FetchError::NotFound),
        }
    }
    let Ok(_permit) = shared.download_slots.acquire().await else {
        return Err(FetchError::NotFound);
    };
    shared.download_pacer.wait(manifest.piece_bytes).await;
    let path = piece_path(model, version, index);
    match get(shared, address, &path, TRANSFER_TIMEOUT).await? {
        (StatusCode::OK, bytes) => Ok(bytes),
        _ => Err(FetchError::NotFound),
    }
}

/// Returns whether pieces of `target` are still worth fetching.
pub(crate) fn should_fetch(shared: &AgentShared, target: &WeightTarget) -> bool {
    let state = shared.state();
    let is_same = |it: &WeightTarget| it.model == target.model;
    state.target.as_ref().is_some_and(is_same)
        && state.deadlines.should_fetch(target.version, Instant::now())
}

/// Fetches the manifest from another agent.
pub(crate) async fn fetch_manifest_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    address: SocketAddr,
) -> Result<PieceManifest, FetchError> {
    let path = manifest_path(&target.model, target.version);
    match get(shared, address, &path, POLL_TIMEOUT).await? {
        (StatusCode::OK, bytes) => {
            postcard::from_bytes(&bytes).map_err(|it| FetchError::RequestFailed(it.to_string()))
        }
        _ => Err(FetchError::NotFound),
    }
}

async fn get(
    shared: &AgentShared,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), FetchError> {
    let request_failed = |it: String| FetchError::RequestFailed(it);
    let request = Request::builder()
        .uri(path)
        .body(httpio::empty())
        .map_err(|it| request_failed(it.to_string()))?;
    let exchange = async {
        let pooled_response = shared
            .peer_client
            .send(address, request)
            .await
            .map_err(|it| request_failed(it.to_string()))?;
        let response = pooled_response
            .read(&shared.peer_client, MAX_PIECE_BYTES, timeout)
            .await
            .map_err(|it| request_failed(it.to_string()))?;
        let status = response.status();
        Ok((status, response.into_body().to_vec()))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(request_failed("timed out".to_owned())))
}

/// Fetches a piece from the origin.
pub(crate) async fn fetch_piece_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
) -> Result<Vec<u8>, FetchError> {
    let Ok(_permit) = shared.origin_slots.acquire().await else {
        return Err(FetchError::NotFound);
    };
    let mut last_error = FetchError::NotFound;
    for origin in &target.origins {
        let client = WeightOriginClient::new(shared.origin_client.clone(), *origin, ORIGIN_TIMEOUT);
        match client.piece(&target.model, target.version, index).await {
            Ok(bytes) => return Ok(bytes),
            Err(platform::CallError::Status(status)) if status == StatusCode::GONE => {
                last_error = FetchError::NotFound;
            }
            Err(err) => last_error = FetchError::RequestFailed(err.to_string()),
        }
    }
    Err(last_error)
}

/// Fetches the manifest from the origin.
pub(crate) async fn fetch_manifest_from_origin(
    shared: &AgentShared,
    target: &WeightTarget,
) -> Result<PieceManifest, FetchError> {
    let mut last_error = FetchError::NotFound;
    for origin in &target.origins {
        let client = WeightOriginClient::new(shared.origin_client.clone(), *origin, ORIGIN_TIMEOUT);
        match client.manifest(&target.model, target.version).await {
            Ok(manifest) if manifest.version == target.version => return Ok(manifest),
            Ok(manifest) => {
                let reason = format!("the origin sent version {}", manifest.version);
                last_error = FetchError::RequestFailed(reason);
            }
            Err(err) => last_error = FetchError::RequestFailed(err.to_string()),
        }
    }
    Err(last_error)
}

/// Timeout of a poll for a piece and of a request for a manifest; about twice as long as a live agent waits for a piece
/// or for a manifest before it responds.
const POLL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Timeout for the transfer of a piece from another agent. A link throttled to a tenth of its bandwidth takes 0.2 s for
/// each of a few concurrent pieces. An agent behind such a link must not delay all others, which can fetch the piece
/// elsewhere.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout until a response of the origin begins. A connection to it may hang, and all other agents wait for what this
/// agent fetches. Sixteen concurrent pieces over 4.38 Mbit/s take half of this time.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of a piece or a manifest.
const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;
