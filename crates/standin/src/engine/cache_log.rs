//! The event log of the prefix cache, published with a delay and with lost events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) kind: &'static str,
    pub(crate) prefix: String,
}

/// Stores the most recent events. A lost event consumes a sequence number, so that readers can detect the gap.
#[derive(Debug)]
pub(crate) struct CacheLog {
    lag: Duration,
    loss_rate: f64,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    rng: StdRng,
}

/// Maximum number of stored events.
const MAX_STORED_EVENTS: usize = 4096;

/// Maximum number of events in one response.
const MAX_EVENTS_PER_RESPONSE: usize = 512;

impl CacheLog {
    pub(crate) fn new(lag: Duration, loss_rate: f64) -> Self {
        Self {
            lag,
            loss_rate,
            next_seq: 1,
            events: VecDeque::new(),
            rng: StdRng::seed_from_u64(0),
        }
    }

    /// Records an event, which is lost with a probability of `loss_rate`.
    pub(crate) fn record(&mut self, kind: &'static str, prefix: String, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate.min(1.0)) {
            return;
        }
        if self.events.len() >= MAX_STORED_EVENTS {
            self.events.pop_front();
        }
        self.events
            .push_back((now, CacheEvent { seq, kind, prefix }));
    }

    /// Returns the events with a sequence number above `after` that are old enough to be published.
    pub(crate) fn published(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && now.duration_since(*at) >= self.lag)
            .take(MAX_EVENTS_PER_RESPONSE)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
