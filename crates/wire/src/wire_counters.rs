//! Accounting of control traffic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of control traffic since the start of the process, so that the budget in `docs/CAPACITY.md` can be checked.
#[derive(Clone, Debug, Default)]
pub struct WireCounters {
    counts: Arc<WireCounts>,
}

#[derive(Debug, Default)]
struct WireCounts {
    received: AtomicU64,
    sent: AtomicU64,
    messages: AtomicU64,
}

impl WireCounters {
    /// Returns the bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.counts.received.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.counts.sent.load(Ordering::Relaxed)
    }

    /// Returns the calls made and answered.
    pub fn messages(&self) -> u64 {
        self.counts.messages.load(Ordering::Relaxed)
    }

    /// Counts one call.
    pub fn add_message(&self) {
        self.counts.messages.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.counts
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.counts.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
