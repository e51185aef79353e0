//! A turn that was used for a request which is not written yet.

use std::time::{Duration, Instant};

/// A turn that was used for a request which is not written yet, or none.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnGrant {
    used_at: Option<Instant>,
}

impl TurnGrant {
    /// Creates the grant of a request for which a turn was used at `used_at`, if one was. Times are those of the clock of turns.
    pub fn new(used_at: Option<Instant>) -> Self {
        Self { used_at }
    }

    /// Returns whether the request may be written at `now` without another turn.
    ///
    /// The turns of a cold replica are too dense for a request that is written late: an entry that was suspended would add it to those
    /// of the entries that have taken its turns over.
    pub fn is_valid(&self, now: Instant, is_cold: bool) -> bool {
        let is_late = |it| now.saturating_duration_since(it) > MAX_COLD_SEND_DELAY;
        self.used_at.is_some_and(|it| !is_cold || !is_late(it))
    }
}

/// Longest time from the use of a turn at a cold replica until the request is sent: opening a connection.
pub const MAX_COLD_SEND_DELAY: Duration = Duration::from_millis(300);
