//! When the rows of the store changed, as far as its responses show.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_clock::StoreClock;
use crate::store_interval::StoreInterval;
use crate::store_position::StorePosition;

/// A response of the store about the rows of a table.
#[derive(Clone, Copy, Debug)]
pub struct StoreRead {
    /// Position up to which the response shows the whole store.
    pub position: StorePosition,
    /// Time of the response on the store's clock, in milliseconds.
    pub store_ms: u64,
    /// Time since boot of this host at which the request was sent.
    pub sent: Duration,
    /// Time since boot at which the response was received.
    pub received: Duration,
    /// Time for which the store waited for a change in vain, or zero if it was not asked to or responded with one.
    pub waited: Duration,
}

impl StoreRead {
    /// Returns when the store created the response.
    pub(crate) fn created(&self) -> StoreInterval {
        StoreInterval {
            not_before_ms: self.store_ms,
            // The store's time is rounded down.
            not_after_ms: self.store_ms.saturating_add(1),
        }
    }

    /// Returns the earliest time at which the store can have looked up the rows of the response: when it had waited since the
    /// request was sent, and as long before the response as a slow store needs for a call.
    pub(crate) fn looked_up_ms(&self, clock: &StoreClock) -> u64 {
        let slowest_ms = self.store_ms.saturating_sub(MAX_RESPONSE_MS);
        let sent_ms = clock.earliest_ms(self.sent).unwrap_or(0);
        let waited_ms = u64::try_from(self.waited.as_millis()).unwrap_or(u64::MAX);
        let earliest_ms = sent_ms.saturating_add(waited_ms);
        earliest_ms.clamp(slowest_ms, self.store_ms)
    }

    /// Returns the latest time at which a change in the response can have been committed.
    ///
    /// Rows of later pages of a table are newer than the response's time, which is that of the first page. That a long poll
    /// is answered at the first change bounds nothing: its request may have arrived later than the change.
    pub(crate) fn received_ms(&self, clock: &StoreClock) -> u64 {
        let received_ms = clock.latest_ms(self.received);
        received_ms.map_or(u64::MAX, |it| it.max(self.store_ms + 1))
    }
}

/// Times at which the store's newest version was still, and already, a certain one.
///
/// All tables of a store share one counter of versions, and each response names its value and the store's time. So every
/// response, to whatever request, bounds the times of the changes before and after it. Lost history, calls without a
/// response and outages need no rule of their own: there are just fewer responses, and the bounds are wider.
#[derive(Clone, Debug, Default)]
pub struct StoreTimeline {
    anchors: BTreeMap<StorePosition, StoreAnchor>,
}

/// What a response shows of the time of a position.
#[derive(Clone, Copy, Debug)]
struct StoreAnchor {
    /// Latest known time at which the store had no later position.
    unchanged_until_ms: u64,
    /// Earliest known time by which the store had this position.
    reached_by_ms: u64,
}

impl StoreTimeline {
    /// Records that the store had no position after `position` at `unchanged_until_ms`, and had this one by `reached_by_ms`.
    pub fn record(&mut self, position: StorePosition, unchanged_until_ms: u64, reached_by_ms: u64) {
        let (first, last) = life(position);
        // Some responses are slower than others. What is known of a neighboring position holds for this one as well, so
        // both times increase with the position.
        let before = self.anchors.range(first..=position).next_back();
        let after = self.anchors.range(position..=last).next();
        let unchanged_until_ms = before.map_or(unchanged_until_ms, |it| {
            it.1.unchanged_until_ms.max(unchanged_until_ms)
        });
        let reached_by_ms = after.map_or(reached_by_ms, |it| it.1.reached_by_ms.min(reached_by_ms));
        let anchor = StoreAnchor {
            unchanged_until_ms,
            reached_by_ms,
        };
        self.anchors.insert(position, anchor);
        for (_, later) in self.anchors.range_mut(position..=last).skip(1) {
            if later.unchanged_until_ms >= unchanged_until_ms {
                break;
            }
            later.unchanged_until_ms = unchanged_until_ms;
        }
        for (_, earlier) in self.anchors.range_mut(first..position).rev() {
            if earlier.reached_by_ms <= reached_by_ms {
                break;
            }
            earlier.reached_by_ms = reached_by_ms;
        }
        while self.anchors.len() > MAX_ANCHORS {
            self.anchors.pop_first();
        }
    }

    /// Lowers all times at which the store had no later position, after its clock has been set back by at most `set_back`.
    pub fn set_back(&mut self, set_back: Duration) {
        let set_back_ms = millis_ceil(set_back);
        for anchor in self.anchors.values_mut() {
            anchor.unchanged_until_ms = anchor.unchanged_until_ms.saturating_sub(set_back_ms);
        }
    }

    /// Returns when the change at `position` was committed. Responses of another life of the store show nothing about it.
    pub fn committed(&self, position: StorePosition) -> StoreInterval {
        let (first, last) = life(position);
        let before = self.anchors.range(first..position).next_back();
        let after = self.anchors.range(position..=last).next();
        StoreInterval {
            not_before_ms: before.map_or(0, |it| it.1.unchanged_until_ms),
            not_after_ms: after.map_or(u64::MAX, |it| it.1.reached_by_ms),
        }
    }

    /// Returns a time at which a copy of a table that has been read up to `position` was complete, or 0 if none is known.
    pub fn complete_ms(&self, position: StorePosition) -> u64 {
        let (first, _) = life(position);
        let up_to = self.anchors.range(first..=position).next_back();
        up_to.map_or(0, |it| it.1.unchanged_until_ms)
    }
}

/// Returns the first and the last position of the life of the store that `position` belongs to.
fn life(position: StorePosition) -> (StorePosition, StorePosition) {
    let era = position.era();
    (
        StorePosition::new(era, 0),
        StorePosition::new(era, u64::MAX),
    )
}

/// Returns a duration in milliseconds, rounded up.
pub(crate) fn millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}

/// Longest time of a call that the store does not hold: 4 ms, slowed down 60 times.
const MAX_RESPONSE_MS: u64 = 250;

/// Number of stored responses; some tens of seconds.
const MAX_ANCHORS: usize = 256;
