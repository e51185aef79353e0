//! Requests to the sources of weights: other agents and the origin.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{PieceManifest, PieceSet};
use httpio::{Request, StatusCode};
use platform::WeightOriginClient;

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::piece_server::{manifest_path, piece_path, pieces_path};

/// Reason why a piece or a manifest could not be fetched.
#[derive(Debug)]
pub(crate) enum FetchError {
    /// It is not available at the source.
    NotFound,
    /// The source has too many other transfers.
    Busy,
    /// The digest of the received bytes does not match the manifest.
    DigestMismatch,
    /// The request failed or the response is invalid.
    RequestFailed(String),
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("not available at the source"),
            Self::Busy => f.write_str("the source has too many transfers"),
            Self::DigestMismatch => f.write_str("the digest does not match"),
            Self::RequestFailed(reason) => f.write_str(reason),
        }
    }
}

/// What a neighbor has of a version.
#[derive(Debug)]
pub(crate) enum NeighborPieces {
    /// It knows the version and has these pieces.
    Known(PieceSet),
    /// It does not know the version yet.
    UnknownVersion,
}

/// Asks another agent which pieces of the target it has. It responds once their number differs from `known`, or after
/// a while.
pub(crate) async fn neighbor_pieces(
    shared: &AgentShared,
    target: &WeightTarget,
    neighbor: SocketAddr,
    known: usize,
) -> Result<NeighborPieces, FetchError> {
    let path = pieces_path(&target.model, target.version, known);
    match get(shared, neighbor, &path, POLL_TIMEOUT).await? {
        (StatusCode::OK, bytes) => postcard::from_bytes(&bytes)
            .map(NeighborPieces::Known)
            .map_err(|it| FetchError::RequestFailed(it.to_string())),
        (StatusCode::NOT_FOUND, _) => Ok(NeighborPieces::UnknownVersion),
        (status, _) => Err(FetchError::RequestFailed(format!("status {status}"))),
    }
}

/// Fetches a piece from another agent.
pub(crate) async fn fetch_piece_from_agent(
    shared: &AgentShared,
    target: &WeightTarget,
    manifest: &PieceManifest,
    address: SocketAddr,
    index: usize,
) -> Result<Vec<u8>, FetchError> {
    shared.download_pacer.wait(manifest.piece_bytes).await;
    let path = piece_path(&target.model, target.version, index);
    match get(shared, address, &path, TRANSFER_TIMEOUT).await? {
        (StatusCode::OK, bytes) => Ok(bytes),
        (StatusCode::SERVICE_UNAVAILABLE, _) => Err(FetchError::Busy),
        _ => Err(FetchError::NotFound),
    }
}

/// Returns whether pieces of `target` are still worth fetching.
pub(crate) fn should_fetch(shared: &AgentShared, target: &WeightTarget) -> bool {
    let state = shared.state();
    let current = state.staging_target();
    current.is_some_and(|it| it.model == target.model && it.version == target.version)
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
        let manifest = client.manifest(&target.model, target.version);
        let manifest = tokio::time::timeout(MANIFEST_TIMEOUT, manifest).await;
        match manifest.unwrap_or(Err(platform::CallError::TimedOut)) {
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

/// Timeout of a request for a manifest or for what an agent has; a few times as long as a live agent holds it.
const POLL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout for the transfer of a piece from another agent. A piece takes some 30 ms, and a few others may be sent before
/// it. An agent behind a narrowed link must not delay all others, which can fetch the piece elsewhere.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout until a response of the origin begins. A connection to it may hang, and all other agents wait for what this
/// agent fetches. Sixteen concurrent pieces over 4.38 Mbit/s take half of this time.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout until a manifest of the origin is complete. It has some 70 bytes for each piece. Without a limit, a response in
/// chunks of one byte each occupied an agent for 7 s until it reached the size limit.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// Maximum size of a piece or a manifest.
const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;
