//! What a started entry must learn from another one before it sends requests: parts that crash replicas, limits of
//! replicas, and replicas that leave.

use std::time::Duration;

use fleet::DepartureDigest;
use routing::{CrashDigest, DigestSource, LimitDigest};

use crate::entry_shared::EntryShared;
use crate::{crash_guard, departure_guard, limit_guard};

/// Waits until a started entry has received the evidence of another one, but not for longer than others take to send
/// it.
pub(crate) async fn wait(shared: &EntryShared) {
    loop {
        let received = shared.evidence_received.notified();
        let age = shared.started_at.elapsed();
        if shared.state().has_peer_evidence || age >= EVIDENCE_WAIT {
            return;
        }
        // A time-out ends the wait in the next round.
        let _ = tokio::time::timeout(EVIDENCE_WAIT - age, received).await;
    }
}

/// Merges the evidence in a message of another entry. Messages that contain no crashes contain no evidence at all, and one
/// that was sent before the sender discovered this entry contains only a part of the departures.
pub(crate) fn merge(
    shared: &EntryShared,
    crashes: Option<&CrashDigest>,
    limits: Option<&LimitDigest>,
    departures: &DepartureDigest,
    source: DigestSource,
) {
    departure_guard::merge(shared, &departures.records);
    if let Some(limits) = limits {
        limit_guard::merge(shared, limits);
    }
    let Some(crashes) = crashes else {
        return;
    };
    crash_guard::merge(shared, crashes, source);
    if !departures.is_complete {
        return;
    }
    let is_first = !std::mem::replace(&mut shared.state().has_peer_evidence, true);
    if is_first {
        shared.evidence_received.notify_waiters();
    }
}

/// Time after the start of an entry in which it receives the evidence of others: two heartbeats, one of which may be
/// lost.
const EVIDENCE_WAIT: Duration = Duration::from_millis(1000);
