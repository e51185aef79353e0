//! Agents and origins that failed lately are left alone for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Sources by address with the end of their pause.
#[derive(Debug, Default)]
pub(crate) struct SourcePause {
    until: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl SourcePause {
    /// Leaves `source` alone for a while.
    pub(crate) fn pause(&self, source: SocketAddr, now: Instant) {
        let mut until = self.until.lock().expect("no holder of the lock panics");
        until.insert(source, now + PAUSE);
    }

    /// Says whether `source` is left alone.
    pub(crate) fn is_paused(&self, source: SocketAddr, now: Instant) -> bool {
        let until = self.until.lock().expect("no holder of the lock panics");
        until.get(&source).is_some_and(|it| *it > now)
    }
}

/// Time for which a source that could not be reached is left alone.
const PAUSE: Duration = Duration::from_millis(1500);
