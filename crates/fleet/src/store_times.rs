//! What a process knows of the times at which the store changed.

use std::time::Duration;

use crate::feed_mirror::FeedResponse;
use crate::store_clock::{ClockChange, StoreClock};
use crate::store_interval::StoreInterval;
use crate::store_position::StorePosition;
use crate::store_timeline::{StoreRead, StoreTimeline};

/// The store's clock and the times of its positions, as the responses of the store and of entries show them.
#[derive(Clone, Debug, Default)]
pub struct StoreTimes {
    clock: StoreClock,
    timeline: StoreTimeline,
}

impl StoreTimes {
    /// Records a response of the store. It must be recorded before [`Self::committed`] is called for its rows.
    pub fn record_read(&mut self, read: &StoreRead) -> ClockChange {
        let created = read.created();
        let change = self.clock.observe(created, read.sent, read.received);
        self.apply(change);
        let unchanged_until_ms = read.looked_up_ms(&self.clock);
        self.timeline
            .record(read.position, unchanged_until_ms, created.not_after_ms);
        change
    }

    /// Records the response of an entry, which was requested at `sent` and received at `received` since boot of this host.
    pub fn record_relayed(
        &mut self,
        response: &FeedResponse,
        sent: Duration,
        received: Duration,
    ) -> ClockChange {
        let Some(store_time) = response.store_time else {
            return ClockChange::Consistent;
        };
        let earliest = sent.saturating_add(Duration::from_millis(response.held_ms.into()));
        let change = self.clock.observe(store_time, earliest, received);
        self.apply(change);
        let reached_by_ms = store_time.not_after_ms;
        self.timeline
            .record(response.position, response.complete_ms, reached_by_ms);
        change
    }

    fn apply(&mut self, change: ClockChange) {
        if let ClockChange::Restarted { set_back } = change {
            self.timeline.set_back(set_back);
        }
    }

    /// Returns when the change at `position` was committed, which `read` has returned for a copy of the table that had been
    /// read up to `copy`.
    ///
    /// A change that a complete copy does not have was made after it, also if the store has returned from an older copy in
    /// between.
    pub fn committed(
        &self,
        position: StorePosition,
        read: &StoreRead,
        copy: Option<StorePosition>,
    ) -> StoreInterval {
        let by_copy = StoreInterval {
            not_before_ms: copy.map_or(0, |it| self.complete_ms(it)),
            not_after_ms: read.received_ms(&self.clock),
        };
        self.timeline.committed(position).merge(by_copy)
    }

    /// Returns when the change at `position` was committed, as far as responses about other positions show it.
    pub fn committed_between(&self, position: StorePosition) -> StoreInterval {
        self.timeline.committed(position)
    }

    /// Returns a time on the store's clock at which a copy of a table that has been read up to `position` was complete, or 0
    /// if none is known.
    pub fn complete_ms(&self, position: StorePosition) -> u64 {
        self.timeline.complete_ms(position)
    }

    /// Returns a time on the store's clock at which a copy of a table that had been read up to `copy` was complete and lacked the
    /// change at `position`, or 0 if there is none.
    pub fn complete_without(&self, position: StorePosition, copy: Option<StorePosition>) -> u64 {
        let copy = copy.filter(|it| *it < position);
        copy.map_or(0, |it| self.complete_ms(it))
    }

    /// Returns the store's clock.
    pub fn clock(&self) -> &StoreClock {
        &self.clock
    }
}
