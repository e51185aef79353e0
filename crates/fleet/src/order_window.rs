//! The time in which a replica may still accept a load order that it has not answered.

use std::time::{Duration, Instant};

/// A window in which a replica may accept orders that expect a certain number of started orders.
///
/// Each order that the replica starts raises this number, which makes it reject all others that expect the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderWindow {
    orders_started: u64,
    pending_since: Instant,
}

impl OrderWindow {
    /// Opens the window of orders to a replica that has started `orders_started` orders.
    pub fn open(orders_started: u64, now: Instant) -> Self {
        Self {
            orders_started,
            pending_since: now,
        }
    }

    /// Returns whether no order of this window takes effect any more at a replica that has started `orders_started` orders:
    /// it has started another one, or the order was not answered for so long that it was most likely lost.
    pub fn is_closed(&self, orders_started: u64, now: Instant) -> bool {
        let pending_time = now.saturating_duration_since(self.pending_since);
        self.orders_started != orders_started || pending_time > MAX_PENDING_TIME
    }

    /// Keeps the window open while the replica is silent: it may read the order only after it has answered a report again.
    pub fn extend(&mut self, now: Instant) {
        self.pending_since = now;
    }
}

/// Time after which an order that was not answered and could not be sent again is assumed to be lost, if the replica has
/// answered its agent all the while; several times as long as a sound replica is silent.
const MAX_PENDING_TIME: Duration = Duration::from_secs(10);
