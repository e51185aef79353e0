//! Keeps one process within a limit that its back end names.

use std::time::{Duration, Instant};

use crate::named_limit::NamedLimit;
use crate::request_rate::RequestRate;

/// Admits requests at the rate that a back end names in its responses, if all its requests pass one process.
#[derive(Clone, Debug, Default)]
pub struct RateGate {
    limit: Option<RequestRate>,
    /// Arrival of the newest response with the limit.
    seen_at: Option<Instant>,
    /// Time from which on the next request is on schedule.
    next_at: Option<Instant>,
    refused: u64,
}

impl RateGate {
    /// Records what a response says about the limit; its request was sent at `sent_at`. Returns whether the limit has
    /// changed.
    ///
    /// A response without a limit ends one only if its request was sent after the newest response with it had arrived.
    pub fn record_head(&mut self, now: Instant, named: NamedLimit, sent_at: Instant) -> bool {
        let limit = match named {
            NamedLimit::Limit(rate) => {
                self.seen_at = Some(now);
                Some(rate)
            }
            NamedLimit::None if self.seen_at < Some(sent_at) => None,
            NamedLimit::None | NamedLimit::Unreadable => return false,
        };
        let before = std::mem::replace(&mut self.limit, limit);
        before != limit
    }

    /// Returns whether a request may be sent now, and counts it. One request may be ahead of the schedule.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let rate = limit.per_second().max(TRIAL_RATE);
        let interval = Duration::from_secs_f64(1.0 / rate);
        let scheduled = self.next_at.unwrap_or(now).max(now);
        if scheduled > now + interval {
            self.refused += 1;
            return false;
        }
        self.next_at = Some(scheduled + interval);
        true
    }

    /// Returns the number of requests that were not admitted.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }
}

/// Requests per second that are admitted although the limit is lower, because only a response can show that it has
/// ended.
const TRIAL_RATE: f64 = 0.1;
