//! Events of the prefix cache, published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;

/// One published change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) kind: &'static str,
    pub(crate) prefix: String,
}

/// Keeps the newest events; a lost event uses up its number, so that a reader sees the gap.
#[derive(Debug)]
pub(crate) struct CacheLog {
    lag: Duration,
    loss: f64,
    next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    dice: StdRng,
}

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 4096;

/// Events of one answer.
const EVENTS_PER_ANSWER: usize = 512;

impl CacheLog {
    pub(crate) fn new(lag: Duration, loss: f64) -> Self {
        Self {
            lag,
            loss,
            next: 1,
            events: VecDeque::new(),
            dice: StdRng::seed_from_u64(0),
        }
    }

    pub(crate) fn record(&mut self, kind: &'static str, prefix: String, now: Instant) {
        let seq = self.next;
        self.next += 1;
        if self.loss > 0.0 && self.dice.random_bool(self.loss.min(1.0)) {
            return;
        }
        if self.events.len() >= KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events
            .push_back((now, CacheEvent { seq, kind, prefix }));
    }

    /// Returns the events after number `after` that are old enough to be published.
    pub(crate) fn published(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && now.duration_since(*at) >= self.lag)
            .take(EVENTS_PER_ANSWER)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
