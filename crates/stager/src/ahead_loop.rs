//! Fetches the pieces of a newer version into memory while those of an older one are staged.

use std::sync::Arc;
use std::time::Duration;

use fleet::PieceManifest;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::source_client::PieceStore;
use crate::weight_loop::ManifestAttempts;
use crate::{held_store, piece_fetch, source_client};

/// Fetches for the lifetime of the process.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let mut attempts = ManifestAttempts::default();
    loop {
        // A notification and the timeout are handled alike.
        let _ = tokio::time::timeout(RETRY_INTERVAL, shared.ahead_changed.notified()).await;
        let ahead = shared.state().ahead.clone();
        if let Some(target) = ahead {
            fetch_ahead(&shared, &target, &mut attempts).await;
        }
    }
}

/// Fetches the pieces of `target` until all are there or another version is wanted.
async fn fetch_ahead(
    shared: &Arc<AgentShared>,
    target: &WeightTarget,
    attempts: &mut ManifestAttempts,
) {
    let (model, version) = (&target.model, target.version);
    let known = {
        let state = shared.state();
        let staging = state.staging_target().map(|it| it.version);
        if state
            .held_pieces
            .version()
            .is_some_and(|it| Some(it) == staging)
        {
            // The weight loop still stages the pieces of the version before.
            return;
        }
        state.held_pieces.manifest(model, version).cloned()
    };
    let plan = match piece_fetch::create_plan(shared, target).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot read the list of replicas"; "error" => err);
            return;
        }
    };
    let manifest = if let Some(it) = known {
        it
    } else {
        let attempt = attempts.begin(target);
        let fetched = piece_fetch::fetch_manifest(shared, target, &plan, attempt).await;
        let Some(fetched) = fetched.map(Arc::new) else {
            return;
        };
        if !source_client::should_fetch(shared, target, PieceStore::Memory) {
            return;
        }
        if !shared.state().held_pieces.reset(fetched.clone()) {
            info!(shared.log, "version is too large to be kept in memory"; "version" => version);
            return;
        }
        shared.pieces_changed.notify_waiters();
        copy_staged(shared, target, &fetched).await;
        fetched
    };
    let store = PieceStore::Memory;
    if piece_fetch::fetch_pieces(shared, target, &manifest, plan, store).await {
        info!(shared.log, "newer version is whole in memory"; "version" => version);
    }
}

/// Copies the pieces from the replica that are the same in the staged version, which need no transfer.
async fn copy_staged(shared: &AgentShared, target: &WeightTarget, manifest: &PieceManifest) {
    let staged = shared.state().staged_manifest();
    let Some(staged) = staged.filter(|it| it.model == target.model) else {
        return;
    };
    let digests = staged.digests.iter().zip(&manifest.digests);
    for (index, _) in digests.enumerate().filter(|(_, it)| it.0 == it.1) {
        let piece = shared
            .replica_client
            .read_staged_piece(&target.model, index);
        if let Ok(Some(bytes)) = piece.await {
            held_store::hold_piece(shared, target, index, bytes);
        }
    }
}

/// Interval at which a transfer that has ended is attempted again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
