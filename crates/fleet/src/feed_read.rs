//! Since when the rows that a read of a store table returned may have changed.

use std::time::Duration;

/// Circumstances of a read of a store table. Times are measured since boot of this host.
#[derive(Clone, Copy, Debug)]
pub struct FeedRead {
    /// Time at which the store last confirmed the local copy before this read.
    pub confirmed: Option<Duration>,
    /// Time at which the store created the response.
    pub responded: Duration,
    /// Number of consecutive reads that had failed before.
    pub failures: u32,
    /// Whether the store had discarded the changes since `confirmed`, so that the whole table was read.
    pub is_history_lost: bool,
}

impl FeedRead {
    /// Returns the time at which the changes that were read became known, or could have: a version of weights takes
    /// effect a fixed time after its declaration, however late this entry reads it.
    ///
    /// The store responds to a long poll as soon as there is a change. A call that remains without a response may hide
    /// one, which then happened at any time since the last confirmation. That all entries miss it at the same time is
    /// only assumed for one such call: after a longer outage, changes are most likely new, and other entries know the
    /// age of those that are not.
    pub fn changed_since(&self) -> Duration {
        let max_gap = match self.failures {
            _ if self.is_history_lost => MAX_GAP_WITHOUT_HISTORY,
            1 => MAX_GAP_AFTER_FAILURE,
            _ => Duration::ZERO,
        };
        let earliest = self.responded.saturating_sub(max_gap);
        let confirmed = self.confirmed.unwrap_or(earliest);
        confirmed.clamp(earliest, self.responded)
    }
}

/// Maximum time for which a call without a response hides a change: a long poll of 2 s, its time-out of 1.2 s, and the
/// pause before the next call.
const MAX_GAP_AFTER_FAILURE: Duration = Duration::from_millis(3400);

/// Maximum time for which the feed may have received nothing before the loss of its history was detected.
const MAX_GAP_WITHOUT_HISTORY: Duration = Duration::from_millis(1000);
