//! Reads staged pieces back from the replica before they are loaded.

use std::time::Duration;

use fleet::{LoadDenial, PieceManifest, PieceVerification};
use futures::StreamExt;
use futures::stream::{FuturesOrdered, FuturesUnordered};
use platform::CallError;
use relay::boot_clock;
use slog::{info, warn};

use crate::agent_shared::{AgentShared, WeightTarget};

/// Reads staged pieces back until an order that is sent at once may rely on all of them; returns whether it may.
///
/// A piece that was read long ago is read again, since the others may have taken long.
pub(crate) async fn verify_staged(shared: &AgentShared, target: &WeightTarget) -> bool {
    let started_at = boot_clock::now();
    loop {
        let now = boot_clock::now();
        let permit = shared.state().permit_load(target, now + ORDER_RESERVE);
        let outdated = match permit {
            Ok(_) => return true,
            Err(LoadDenial::Outdated(it)) => it,
            Err(denial) => {
                info!(shared.log, "staged pieces are not complete"; "version" => target.version, "why" => format!("{denial:?}"));
                return false;
            }
        };
        let elapsed = now.saturating_sub(started_at);
        if elapsed > VERIFICATION_TIMEOUT {
            shared
                .metrics
                .orders
                .with_label_values(&["unverified"])
                .inc();
            warn!(
                shared.log, "staged pieces cannot be read fast enough for a load";
                "version" => target.version,
                "outdated" => outdated.len(),
                "ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            );
            return false;
        }
        if !read_back(shared, target, outdated).await {
            return false;
        }
    }
}

/// Reads `pieces` back; returns whether all of them are valid.
async fn read_back(shared: &AgentShared, target: &WeightTarget, pieces: Vec<usize>) -> bool {
    let Some(manifest) = shared.state().manifest(target).cloned() else {
        return false;
    };
    let mut verification = PieceVerification::new(pieces, manifest.piece_bytes);
    let mut reads = FuturesUnordered::new();
    let mut all_valid = true;
    loop {
        while let Some(index) = verification.next_read() {
            reads.push(read_piece(shared, &target.model, index));
        }
        let Some(read) = reads.next().await else {
            return all_valid;
        };
        verification.record_read(boot_clock::now().saturating_sub(read.sent_at));
        let bytes = match read.bytes {
            Ok(it) => it,
            Err(err) => {
                info!(shared.log, "cannot read staged piece"; "index" => read.index, "error" => err.to_string());
                return false;
            }
        };
        let is_valid = bytes.is_some_and(|it| manifest.matches(read.index, &it));
        let mut state = shared.state();
        if state.staged(target).is_none() {
            return false;
        }
        if is_valid {
            state.staged_pieces.record_valid(read.index, read.sent_at);
        } else {
            info!(shared.log, "staged piece is corrupt"; "index" => read.index, "version" => target.version);
            state.staged_pieces.record_missing(read.index, read.sent_at);
            all_valid = false;
        }
    }
}

/// Reads the pieces in the order of their indexes; returns the digest of each, or `None` for one that is not staged. A piece
/// that is not staged ends the list.
pub(crate) async fn read_digests(
    shared: &AgentShared,
    manifest: &PieceManifest,
) -> Result<Vec<Option<[u8; 32]>>, CallError> {
    let indexes = (0..manifest.len()).collect();
    let mut verification = PieceVerification::new(indexes, manifest.piece_bytes);
    let mut reads = FuturesOrdered::new();
    let mut digests = Vec::new();
    loop {
        while let Some(index) = verification.next_read() {
            reads.push_back(read_piece(shared, &manifest.model, index));
        }
        let Some(read) = reads.next().await else {
            return Ok(digests);
        };
        verification.record_read(boot_clock::now().saturating_sub(read.sent_at));
        let digest = read.bytes?.as_deref().map(PieceManifest::digest);
        digests.push(digest);
        if digest.is_none() {
            return Ok(digests);
        }
    }
}

/// A read of a staged piece that has ended.
struct PieceRead {
    index: usize,
    sent_at: Duration,
    bytes: Result<Option<Vec<u8>>, CallError>,
}

async fn read_piece(shared: &AgentShared, model: &str, index: usize) -> PieceRead {
    let sent_at = boot_clock::now();
    let client = &shared.replica_client;
    let bytes = client.read_staged_piece(model, index).await;
    PieceRead {
        index,
        sent_at,
        bytes,
    }
}

/// Time that is left after a verification until the order must have been sent: entries stop sending requests, and a
/// connection is opened.
const ORDER_RESERVE: Duration = Duration::from_millis(200);

/// Time after which a replica counts as too slow to be read back. It is tried again like after any other failure.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(5000);
