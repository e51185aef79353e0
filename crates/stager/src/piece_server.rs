//! Serves staged pieces and manifests to other agents.

use std::sync::Arc;
use std::time::Duration;

use httpio::{Incoming, ReplyBody, Request, Response, StatusCode};
use slog::info;

use crate::agent_shared::AgentShared;

/// Path of a piece at an agent.
pub(crate) fn piece_path(model: &str, version: u64, index: usize) -> String {
    format!("/pieces/{model}/{version}/{index}")
}

/// Path of the question whether an agent has a piece; the answer is held until it has.
pub(crate) fn ready_path(model: &str, version: u64, index: usize) -> String {
    format!("/ready/{model}/{version}/{index}")
}

/// Path of a manifest at an agent.
pub(crate) fn manifest_path(model: &str, version: u64) -> String {
    format!("/manifests/{model}/{version}")
}

/// What an agent says to the question whether it has a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PieceState {
    /// It has the piece.
    Staged,
    /// It is fetching the piece; ask again.
    Fetching,
    /// It does not know the version.
    Unknown,
}

impl PieceState {
    fn status(self) -> StatusCode {
        match self {
            Self::Staged => StatusCode::OK,
            Self::Fetching => StatusCode::ACCEPTED,
            Self::Unknown => StatusCode::NOT_FOUND,
        }
    }

    /// Reads the state from the answer's status.
    pub(crate) fn of_status(status: StatusCode) -> Self {
        match status {
            StatusCode::OK => Self::Staged,
            StatusCode::ACCEPTED => Self::Fetching,
            _ => Self::Unknown,
        }
    }
}

/// Answers another agent.
pub(crate) async fn answer(
    shared: Arc<AgentShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let (status, bytes) = match parts[..] {
        ["ready", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => {
                let state = piece_state(&shared, model, version, index).await;
                (state.status(), Vec::new())
            }
            _ => absent(),
        },
        ["pieces", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => found(piece(&shared, model, version, index).await),
            _ => absent(),
        },
        ["manifests", model, version] => match version.parse() {
            Ok(version) => found(manifest(&shared, model, version).await),
            Err(_) => absent(),
        },
        _ => absent(),
    };
    let mut response = Response::new(httpio::full(bytes));
    *response.status_mut() = status;
    response
}

fn found(bytes: Option<Vec<u8>>) -> (StatusCode, Vec<u8>) {
    bytes.map_or_else(absent, |it| (StatusCode::OK, it))
}

fn absent() -> (StatusCode, Vec<u8>) {
    (StatusCode::NOT_FOUND, Vec::new())
}

/// Waits for a piece that is on its way, for a while.
async fn piece_state(shared: &AgentShared, model: &str, version: u64, index: usize) -> PieceState {
    let has_manifest = || shared.state().book.manifest(model, version).is_some();
    if wait_until(shared, MANIFEST_WAIT, has_manifest)
        .await
        .is_none()
    {
        return PieceState::Unknown;
    }
    // An agent whose replica serves the version fetches nothing, even where a staged piece has rotted.
    let is_settled = || {
        let state = shared.state();
        state.book.has(index) || !state.is_fetching
    };
    wait_until(shared, PIECE_WAIT, is_settled).await;
    let state = shared.state();
    match state.book.has(index) {
        _ if state.book.manifest(model, version).is_none() => PieceState::Unknown,
        true => PieceState::Staged,
        false if state.is_fetching => PieceState::Fetching,
        false => PieceState::Unknown,
    }
}

async fn piece(shared: &AgentShared, model: &str, version: u64, index: usize) -> Option<Vec<u8>> {
    let manifest = shared.state().book.manifest(model, version)?.clone();
    let _permit = shared.uploads.acquire().await.ok()?;
    shared.upload_pace.wait(manifest.piece_bytes).await;
    let bytes = match shared.replica.read_piece(model, index).await {
        Ok(it) => it,
        Err(err) => {
            info!(shared.log, "staged piece not read"; "index" => index, "error" => err.to_string());
            return None;
        }
    };
    match bytes.filter(|it| manifest.matches(index, it)) {
        Some(bytes) => Some(bytes),
        None => {
            info!(shared.log, "staged piece spoilt"; "index" => index, "version" => version);
            let mut state = shared.state();
            if state.book.manifest(model, version).is_some() {
                state.book.note_lost(index);
            }
            None
        }
    }
}

async fn manifest(shared: &AgentShared, model: &str, version: u64) -> Option<Vec<u8>> {
    wait_until(shared, MANIFEST_WAIT, || {
        shared.state().book.manifest(model, version).is_some()
    })
    .await?;
    let manifest = shared.state().book.manifest(model, version)?.clone();
    postcard::to_allocvec(&*manifest).ok()
}

/// Waits for a while until `is_there`, or returns `None`.
async fn wait_until(
    shared: &AgentShared,
    wait: Duration,
    is_there: impl Fn() -> bool,
) -> Option<()> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let arrived = shared.arrived.notified();
        if is_there() {
            return Some(());
        }
        tokio::time::timeout_at(deadline, arrived).await.ok()?;
    }
}

/// Time for which a question is held while the manifest is on its way; an agent that has not heard of the version by
/// then most likely cannot reach the store.
const MANIFEST_WAIT: Duration = Duration::from_millis(1200);

/// Time for which a question for a piece that is still on its way is held. The asker takes silence beyond it as loss, so
/// it is short; it is no shorter, because every question costs bytes.
const PIECE_WAIT: Duration = Duration::from_millis(900);
