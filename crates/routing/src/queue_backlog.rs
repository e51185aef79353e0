//! The waiting requests of one organisation.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::queue_request::QueueTicket;

/// Key of a waiting request: higher priority first, then the earlier one.
pub(crate) type WaitingKey = (Reverse<u8>, QueueTicket);

/// One request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) cost: u32,
    pub(crate) latest_start: Instant,
}

/// Requests of one organisation with the virtual time up to which its share is used.
#[derive(Clone, Debug)]
pub(crate) struct QueueBacklog {
    pub(crate) weight: u32,
    pub(crate) start: f64,
    pub(crate) waiting: BTreeMap<WaitingKey, WaitingRequest>,
    pub(crate) cost: u64,
}

impl QueueBacklog {
    pub(crate) fn new(weight: u32, start: f64) -> Self {
        Self {
            weight,
            start,
            waiting: BTreeMap::new(),
            cost: 0,
        }
    }

    pub(crate) fn insert(&mut self, key: WaitingKey, request: WaitingRequest) {
        self.cost += u64::from(request.cost);
        self.waiting.insert(key, request);
    }

    pub(crate) fn remove(&mut self, key: &WaitingKey) -> Option<WaitingRequest> {
        let request = self.waiting.remove(key)?;
        self.cost -= u64::from(request.cost);
        Some(request)
    }

    /// Returns the cost of the requests that go before one of `priority` that arrives now.
    pub(crate) fn cost_ahead(&self, priority: u8) -> u64 {
        self.waiting
            .range(..=(Reverse(priority), QueueTicket(u64::MAX)))
            .map(|(_, it)| u64::from(it.cost))
            .sum()
    }

    /// Returns the backlog relative to the weight, by which the organisation to cut is found.
    pub(crate) fn pressure(&self) -> f64 {
        self.waiting.len() as f64 / f64::from(self.weight)
    }
}
