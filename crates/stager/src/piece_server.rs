//! Serves staged pieces and manifests to other agents.

use std::sync::Arc;
use std::time::Duration;

use httpio::{HttpBody, Incoming, Request, Response, StatusCode};
use relay::boot_clock;
use slog::info;

use crate::agent_shared::AgentShared;

/// Returns the path at which an agent serves a piece.
pub(crate) fn piece_path(model: &str, version: u64, index: usize) -> String {
    format!("/pieces/{model}/{version}/{index}")
}

/// Returns the path of a long poll for the set of staged pieces. It ends once their number differs from `known`.
pub(crate) fn pieces_path(model: &str, version: u64, known: usize) -> String {
    format!("/staged/{model}/{version}/{known}")
}

/// Returns the path at which an agent serves a manifest.
pub(crate) fn manifest_path(model: &str, version: u64) -> String {
    format!("/manifests/{model}/{version}")
}

/// Handles a request of another agent.
pub(crate) async fn handle_request(
    shared: Arc<AgentShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let (status, bytes) = match parts[..] {
        ["staged", model, version, known] => match (version.parse(), known.parse()) {
            (Ok(version), Ok(known)) => {
                ok_or_not_found(staged_pieces(&shared, model, version, known).await)
            }
            _ => not_found(),
        },
        ["pieces", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => read_valid_piece(&shared, model, version, index).await,
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

/// Returns the encoded set of staged pieces, or `None` if the version is unknown.
async fn staged_pieces(
    shared: &AgentShared,
    model: &str,
    version: u64,
    known: usize,
) -> Option<Vec<u8>> {
    let current = || shared.state().staged_pieces.pieces(model, version).cloned();
    let is_changed = || current().is_some_and(|it| it.count() != known);
    // A change and the timeout are handled alike.
    wait_until(shared, PIECES_WAIT, is_changed).await;
    postcard::to_allocvec(&current()?).ok()
}

async fn read_valid_piece(
    shared: &AgentShared,
    model: &str,
    version: u64,
    index: usize,
) -> (StatusCode, Vec<u8>) {
    let manifest = {
        let state = shared.state();
        let staged = state.staged_pieces.pieces(model, version);
        let manifest = state.staged_pieces.manifest(model, version);
        match manifest.filter(|_| staged.is_some_and(|it| it.contains(index))) {
            Some(it) => it.clone(),
            None => return not_found(),
        }
    };
    let permit = tokio::time::timeout(MAX_UPLOAD_WAIT, shared.upload_slots.acquire()).await;
    let Ok(Ok(_permit)) = permit else {
        return (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    };
    shared.upload_pacer.wait(manifest.piece_bytes).await;
    let sent_at = boot_clock::now();
    let bytes = match shared.replica_client.read_staged_piece(model, index).await {
        Ok(it) => it,
        Err(err) => {
            info!(shared.log, "cannot read staged piece"; "index" => index, "error" => err.to_string());
            return not_found();
        }
    };
    match bytes.filter(|it| manifest.matches(index, it)) {
        Some(bytes) => (StatusCode::OK, bytes),
        None => {
            let mut state = shared.state();
            let staged = state.staged_pieces.pieces(model, version);
            // A piece of a newer version may have replaced it in the meantime.
            if staged.is_some_and(|it| it.contains(index)) {
                info!(shared.log, "staged piece is corrupt"; "index" => index, "version" => version);
                state.staged_pieces.record_missing(index, sent_at);
            }
            not_found()
        }
    }
}

/// Returns the encoded manifest, or `None` if it is not known or in doubt.
async fn encoded_manifest(shared: &AgentShared, model: &str, version: u64) -> Option<Vec<u8>> {
    let current = || {
        let state = shared.state();
        let manifest = state.staged_pieces.manifest(model, version);
        manifest
            .filter(|_| !state.staged_pieces.is_manifest_doubted())
            .cloned()
    };
    wait_until(shared, MANIFEST_WAIT, || current().is_some()).await?;
    postcard::to_allocvec(&*current()?).ok()
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
const MANIFEST_WAIT: Duration = Duration::from_millis(400);

/// Maximum wait for a change of the staged pieces. It is short because the requesting agent treats a long silence as
/// a failure, and not shorter because each request uses bandwidth.
const PIECES_WAIT: Duration = Duration::from_millis(500);

/// Maximum time for which a request waits for other transfers. The requesting agent can most likely fetch the piece
/// elsewhere sooner.
const MAX_UPLOAD_WAIT: Duration = Duration::from_millis(150);
