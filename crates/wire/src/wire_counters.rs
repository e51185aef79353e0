//! Counters of control traffic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of control traffic since the start of the process, for checking it against the budget in
/// `docs/CAPACITY.md`.
#[derive(Clone, Debug, Default)]
pub struct WireCounters {
    totals: Arc<WireTotals>,
}

#[derive(Debug, Default)]
struct WireTotals {
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    messages: AtomicU64,
}

impl WireCounters {
    /// Returns the number of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.totals.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.totals.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of calls made and received.
    pub fn messages(&self) -> u64 {
        self.totals.messages.load(Ordering::Relaxed)
    }

    /// Counts one call.
    pub fn add_message(&self) {
        self.totals.messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_received_bytes(&self, bytes: usize) {
        self.totals
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_sent_bytes(&self, bytes: usize) {
        self.totals
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
