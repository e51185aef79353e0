//! Serves staged pieces and manifests to other agents.

use std::sync::Arc;
use std::time::Duration;

use httpio::{HttpBody, Incoming, Request, Response, StatusCode};
use slog::info;

use crate::agent_shared::AgentShared;

/// Returns the path at which an agent serves a piece.
pub(crate) fn piece_path(model: &str, version: u64, index: usize) -> String {
    format!("/pieces/{model}/{version}/{index}")
}

/// Returns the path of a long poll for the [`PieceState`] of a piece, which ends early once the piece is staged.
pub(crate) fn ready_path(model: &str, version: u64, index: usize) -> String {
    format!("/ready/{model}/{version}/{index}")
}

/// Returns the path at which an agent serves a manifest.
pub(crate) fn manifest_path(model: &str, version: u64) -> String {
    format!("/manifests/{model}/{version}")
}

/// Availability of a piece at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceState {
    /// The piece is staged.
    Staged,
    /// The agent is fetching the piece; the request should be retried.
    Fetching,
    /// The agent does not know the version or is not fetching the piece.
    Unavailable,
}

impl PieceState {
    fn status(self) -> StatusCode {
        match self {
            Self::Staged => StatusCode::OK,
            Self::Fetching => StatusCode::ACCEPTED,
            Self::Unavailable => StatusCode::NOT_FOUND,
        }
    }

    /// Decodes the state from the status of a response.
    pub(crate) fn from_status(status: StatusCode) -> Self {
        match status {
            StatusCode::OK => Self::Staged,
            StatusCode::ACCEPTED => Self::Fetching,
            _ => Self::Unavailable,
        }
    }
}

/// Handles a request of another agent.
pub(crate) async fn handle_request(
    shared: Arc<AgentShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let (status, bytes) = match parts[..] {
        ["ready", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => {
                let state = piece_state(&shared, model, version, index).await;
                (state.status(), Vec::new())
            }
            _ => not_found(),
        },
        ["pieces", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => {
                ok_or_not_found(read_valid_piece(&shared, model, version, index).await)
            }
            _ => not_found(),
        },
        ["manifests", model, version] => match version.parse() {
            Ok(version) => ok_or_not_found(encoded_manifest(&shared, model, version).await),
            Err(_) => not_found(),
        },
        _ => not_found(),
    };
    let mut response = Response::new(httpio::full(bytes));
    *response.status_mut() = status;
    response
}

fn ok_or_not_found(bytes: Option<Vec<u8>>) -> (StatusCode, Vec<u8>) {
    bytes.map_or_else(not_found, |it| (StatusCode::OK, it))
}

fn not_found() -> (StatusCode, Vec<u8>) {
    (StatusCode::NOT_FOUND, Vec::new())
}

/// Returns the state of a piece, after a limited wait if the manifest or the piece is still being fetched.
async fn piece_state(shared: &AgentShared, model: &str, version: u64, index: usize) -> PieceState {
    let has_manifest = || {
        shared
            .state()
            .staged_pieces
            .manifest(model, version)
            .is_some()
    };
    if wait_until(shared, MANIFEST_WAIT, has_manifest)
        .await
        .is_none()
    {
        return PieceState::Unavailable;
    }
    // An agent whose replica already serves the version fetches nothing, even if a staged piece is corrupt.
    let is_decided = || {
        let state = shared.state();
        state.staged_pieces.is_staged(index) || !state.is_fetching
    };
    wait_until(shared, PIECE_WAIT, is_decided).await;
    let state = shared.state();
    match state.staged_pieces.is_staged(index) {
        _ if state.staged_pieces.manifest(model, version).is_none() => PieceState::Unavailable,
        true => PieceState::Staged,
        false if state.is_fetching => PieceState::Fetching,
        false => PieceState::Unavailable,
    }
}

async fn read_valid_piece(
    shared: &AgentShared,
    model: &str,
    version: u64,
    index: usize,
) -> Option<Vec<u8>> {
    let manifest = shared
        .state()
        .staged_pieces
        .manifest(model, version)?
        .clone();
    let _permit = shared.upload_slots.acquire().await.ok()?;
    shared.upload_pacer.wait(manifest.piece_bytes).await;
    let bytes = match shared.replica_client.read_staged_piece(model, index).await {
        Ok(it) => it,
        Err(err) => {
            info!(shared.log, "cannot read staged piece"; "index" => index, "error" => err.to_string());
            return None;
        }
    };
    match bytes.filter(|it| manifest.matches(index, it)) {
        Some(bytes) => Some(bytes),
        None => {
            info!(shared.log, "staged piece is corrupt"; "index" => index, "version" => version);
            let mut state = shared.state();
            if state.staged_pieces.manifest(model, version).is_some() {
                state.staged_pieces.record_missing(index);
            }
            None
        }
    }
}

async fn encoded_manifest(shared: &AgentShared, model: &str, version: u64) -> Option<Vec<u8>> {
    wait_until(shared, MANIFEST_WAIT, || {
        shared
            .state()
            .staged_pieces
            .manifest(model, version)
            .is_some()
    })
    .await?;
    let manifest = shared
        .state()
        .staged_pieces
        .manifest(model, version)?
        .clone();
    postcard::to_allocvec(&*manifest).ok()
}

/// Waits until `condition` holds, or returns `None` after `timeout`.
async fn wait_until(
    shared: &AgentShared,
    timeout: Duration,
    condition: impl Fn() -> bool,
) -> Option<()> {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let changed = shared.pieces_changed.notified();
        if condition() {
            return Some(());
        }
        tokio::time::timeout_at(deadline, changed).await.ok()?;
    }
}

/// Maximum wait for the manifest. An agent that has not discovered the version within this time most likely cannot
/// reach the store.
const MANIFEST_WAIT: Duration = Duration::from_millis(1200);

/// Maximum wait for a piece that is being fetched. It is short because the requesting agent treats a long silence as
/// a failure, and not shorter because each request uses bandwidth.
const PIECE_WAIT: Duration = Duration::from_millis(900);
