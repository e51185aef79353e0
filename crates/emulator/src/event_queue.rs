//! Events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Events in the order of virtual time; those of the same time are in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    now: Duration,
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
    scheduled: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
        }
    }

    /// Returns the time of the last event.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: E) {
        self.scheduled += 1;
        self.order.push(Reverse((self.now + delay, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Returns the next event up to the time `end`.
    pub(crate) fn next(&mut self, end: Duration) -> Option<E> {
        let Reverse((time, number)) = self.order.pop()?;
        if time > end {
            return None;
        }
        self.now = time;
        self.events.remove(&number)
    }
}
