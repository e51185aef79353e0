//! Backoff from agents to which requests recently failed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Backoff state of the agents that serve pieces: the end of the backoff by address.
#[derive(Debug, Default)]
pub(crate) struct SourceBackoff {
    until: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl SourceBackoff {
    /// Records that a request to `source` failed, which starts its backoff.
    pub(crate) fn record_failure(&self, source: SocketAddr, now: Instant) {
        let mut until = self
            .until
            .lock()
            .expect("no thread panics while it holds the backoff lock");
        until.insert(source, now + BACKOFF);
    }

    /// Returns whether `source` must not be used yet.
    pub(crate) fn is_backing_off(&self, source: SocketAddr, now: Instant) -> bool {
        let until = self
            .until
            .lock()
            .expect("no thread panics while it holds the backoff lock");
        until.get(&source).is_some_and(|it| *it > now)
    }
}

/// Time for which an agent is not used after a failed request.
const BACKOFF: Duration = Duration::from_millis(1500);
