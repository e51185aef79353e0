//! Queued requests of one organisation.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::queue_request::QueueTicket;

/// Sort key of a queued request: descending priority, then ascending ticket.
pub(crate) type WaitingKey = (Reverse<u8>, QueueTicket);

/// Queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) cost: u32,
    pub(crate) latest_start: Instant,
}

/// Queued requests of one organisation and its virtual start time in start-time fair queueing.
#[derive(Clone, Debug)]
pub(crate) struct QueueBacklog {
    pub(crate) weight: u32,
    pub(crate) virtual_start: f64,
    pub(crate) waiting: BTreeMap<WaitingKey, WaitingRequest>,
    pub(crate) total_cost: u64,
}

impl QueueBacklog {
    pub(crate) fn new(weight: u32, virtual_start: f64) -> Self {
        Self {
            weight,
            virtual_start,
            waiting: BTreeMap::new(),
            total_cost: 0,
        }
    }

    pub(crate) fn insert(&mut self, key: WaitingKey, request: WaitingRequest) {
        self.total_cost += u64::from(request.cost);
        self.waiting.insert(key, request);
    }

    pub(crate) fn remove(&mut self, key: &WaitingKey) -> Option<WaitingRequest> {
        let request = self.waiting.remove(key)?;
        self.total_cost -= u64::from(request.cost);
        Some(request)
    }

    /// Returns the total cost of the requests ahead of a new request with `priority`.
    pub(crate) fn cost_ahead(&self, priority: u8) -> u64 {
        self.waiting
            .range(..=(Reverse(priority), QueueTicket(u64::MAX)))
            .map(|(_, it)| u64::from(it.cost))
            .sum()
    }

    /// Returns the queue length relative to the weight; the highest value determines whose request is evicted.
    pub(crate) fn weighted_length(&self) -> f64 {
        self.waiting.len() as f64 / f64::from(self.weight)
    }
}
