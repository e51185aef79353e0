//! Moves fetched pieces into the agent's memory, and from there to the replica.

use slog::info;

use crate::agent_shared::{AgentShared, WeightTarget};
use crate::source_client::PieceStore;
use crate::{piece_fetch, source_client};

/// Keeps a piece in memory; returns whether it is kept.
pub(crate) fn hold_piece(
    shared: &AgentShared,
    target: &WeightTarget,
    index: usize,
    bytes: Vec<u8>,
) -> bool {
    let (model, version) = (&target.model, target.version);
    let mut state = shared.state();
    let is_held = state.held_pieces.insert(model, version, index, bytes);
    drop(state);
    shared.pieces_changed.notify_waiters();
    is_held
}

/// Stages the pieces of the target that are kept in memory.
pub(crate) async fn stage_held_pieces(shared: &AgentShared, target: &WeightTarget) {
    let (model, version) = (&target.model, target.version);
    let Some(manifest) = shared.state().manifest(target).cloned() else {
        return;
    };
    for index in 0..manifest.len() {
        let held = {
            let state = shared.state();
            let is_staged = state.staged(target).is_some_and(|it| it.contains(index));
            let held = state.held_pieces.piece(model, version, index);
            held.filter(|_| !is_staged).cloned()
        };
        let Some(bytes) = held.filter(|it| manifest.matches(index, it)) else {
            continue;
        };
        if !source_client::should_fetch(shared, target, PieceStore::Replica)
            || !piece_fetch::stage_piece(shared, target, index, bytes.to_vec()).await
        {
            return;
        }
    }
    let mut state = shared.state();
    if state.held_pieces.version() == Some(version) {
        info!(shared.log, "pieces in memory staged"; "version" => version, "missing" => state.staged_pieces.missing_count());
        state.held_pieces.clear();
    }
}
