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

/// Answers another agent.
pub(crate) async fn answer(shared: Arc<AgentShared>, request: Request<Incoming>) -> Response<ReplyBody> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let body = match parts[..] {
        ["pieces", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => piece(&shared, model, version, index).await,
            _ => None,
        },
        ["ready", model, version, index] => match (version.parse(), index.parse()) {
            (Ok(version), Ok(index)) => ready(&shared, model, version, index).await.map(|()| Vec::new()),
            _ => None,
        },
        ["manifests", model, version] => match version.parse() {
            Ok(version) => manifest(&shared, model, version).await,
            Err(_) => None,
        },
        _ => None,
    };
    match body {
        Some(bytes) => Response::new(httpio::full(bytes)),
        None => {
            let mut response = Response::new(httpio::empty());
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

/// Waits for a piece that is on its way.
async fn ready(shared: &AgentShared, model: &str, version: u64, index: usize) -> Option<()> {
    let has_manifest = || shared.state().book.manifest(model, version).is_some();
    wait_until(shared, MANIFEST_WAIT, has_manifest).await?;
    wait_until(shared, PIECE_WAIT, || {
        let state = shared.state();
        state.book.manifest(model, version).is_some() && state.book.has(index)
    })
    .await
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
    serde_json::to_vec(&*manifest).ok()
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
const MANIFEST_WAIT: Duration = Duration::from_millis(800);

/// Time for which a question for a piece that is still on its way is held; about the time of a whole copy.
const PIECE_WAIT: Duration = Duration::from_millis(3500);
