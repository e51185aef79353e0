//! Counts of requests in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counts requests in progress on this entry.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    streams: AtomicU32,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<CallCounters>);

impl CallCounters {
    /// Returns the number of requests in progress.
    pub(crate) fn streams(&self) -> u32 {
        self.streams.load(Ordering::Relaxed)
    }

    /// Counts one more request unless `max` are in progress.
    pub(crate) fn enter(counters: &Arc<Self>, max: usize) -> Option<CallGuard> {
        if counters.streams.fetch_add(1, Ordering::Relaxed) as usize >= max {
            counters.streams.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(CallGuard(counters.clone()))
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
