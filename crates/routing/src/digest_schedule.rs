//! Decides which of the messages that entries send regularly contain a digest about crashes.

use std::time::{Duration, Instant};

/// Schedule of the digest: several copies after each change, since datagrams are lost, then one at intervals for entries
/// that have started or were cut off.
#[derive(Clone, Debug, Default)]
pub struct DigestSchedule {
    /// Copies of the last change that are still to be sent.
    copies: u32,
    last_sent: Option<Instant>,
}

impl DigestSchedule {
    /// Records that the digest has changed.
    pub fn record_change(&mut self) {
        self.copies = COPIES;
    }

    /// Returns whether copies of a change are still to be sent.
    pub fn has_change(&self) -> bool {
        self.copies > 0
    }

    /// Returns whether the next message contains the digest, which is not empty.
    pub fn is_due(&self, now: Instant) -> bool {
        let is_old = |it| now.saturating_duration_since(it) >= REPEAT_INTERVAL;
        self.copies > 0 || self.last_sent.is_none_or(is_old)
    }

    /// Records that a message contains the digest.
    pub fn record_sent(&mut self, now: Instant) {
        self.copies = self.copies.saturating_sub(1);
        self.last_sent = Some(now);
    }
}

/// Messages that contain a change; three of a hundred datagrams may be lost for longer times.
const COPIES: u32 = 3;

/// Time between two copies of an unchanged digest. Several fit into the shortest time in which entries must agree.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);
