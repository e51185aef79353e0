//! A clock that all entries share without a store and without clocks of hosts.

use std::time::{Duration, Instant};

/// The time base of one entry: that of the entry that has run for the longest time.
///
/// Each message contains the age of its sender's base, and the oldest one wins. A delay makes a base look too young, so
/// all entries come to agree on the oldest one. See
/// [decision 46](../../../docs/decisions/0046-named-limits.md).
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeBase {
    started_at: Instant,
    /// Age of the base at the start of this entry.
    offset: Duration,
}

impl TimeBase {
    /// Creates the base of an entry that starts at `now` and has not heard of another one.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            offset: Duration::ZERO,
        }
    }

    /// Returns the age of the base at `time`.
    pub(crate) fn age(&self, time: Instant) -> Duration {
        let before_start = self.started_at.saturating_duration_since(time);
        let since_start = time.saturating_duration_since(self.started_at);
        (self.offset + since_start).saturating_sub(before_start)
    }

    /// Adopts the base of another entry if that is older. Returns by how much, or zero.
    pub(crate) fn adopt(&mut self, now: Instant, age: Duration) -> Duration {
        if age > MAX_AGE {
            return Duration::ZERO;
        }
        let change = age.saturating_sub(self.age(now));
        self.offset += change;
        change
    }
}

/// Age beyond which a base cannot be valid.
const MAX_AGE: Duration = Duration::from_secs(10 * 365 * 86_400);
