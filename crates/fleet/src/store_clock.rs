//! Converts timestamps of the store to the clock of this host.

use std::time::Duration;

/// Estimates the offset between the monotonic clock of the store and that of this host.
///
/// The store may hold a long-polling request for a long time, so neither the time of the request nor the time of
/// receipt shows when the store created a response. Responses carry the store's time, and the response with the
/// shortest delay gives the offset between the two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    /// Minimum observed difference between the time of receipt on this host and the store's time of a response, in
    /// milliseconds.
    offset_ms: Option<i64>,
}

impl StoreClock {
    /// Returns the store's time at `since_boot`, or `None` before the first response.
    pub fn store_ms(&self, since_boot: Duration) -> Option<u64> {
        let since_boot_ms = i64::try_from(since_boot.as_millis()).ok()?;
        u64::try_from(since_boot_ms.saturating_sub(self.offset_ms?)).ok()
    }

    /// Returns the time at which the store created a response with timestamp `store_ms`. The request was sent at
    /// `sent_at` and the response was received at `received_at`. Times are measured since boot of this host.
    ///
    /// The result lies between `sent_at` and `received_at`. It may be too late by the shortest delay of a response.
    pub fn responded_at(
        &mut self,
        store_ms: u64,
        sent_at: Duration,
        received_at: Duration,
    ) -> Duration {
        let Ok(store_ms) = i64::try_from(store_ms) else {
            return sent_at;
        };
        let received_ms = i64::try_from(received_at.as_millis()).unwrap_or(i64::MAX);
        let offset = received_ms.saturating_sub(store_ms);
        let min_offset = self.offset_ms.map_or(offset, |it| it.min(offset));
        self.offset_ms = Some(min_offset);
        let responded_ms = u64::try_from(store_ms.saturating_add(min_offset)).unwrap_or(0);
        Duration::from_millis(responded_ms).clamp(sent_at, received_at.max(sent_at))
    }
}
