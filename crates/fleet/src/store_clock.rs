//! Bounds of the store's clock on this host.

use std::time::Duration;

use crate::store_interval::StoreInterval;

/// What an observation has changed in a [`StoreClock`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockChange {
    /// The observation agrees with those before it.
    Consistent,
    /// No steady clock can have made this observation and those before it, which are forgotten.
    Restarted {
        /// Longest time by which the clock can have been set back.
        set_back: Duration,
    },
}

/// A bound of the store's clock that was observed at a time of this host.
#[derive(Clone, Copy, Debug)]
struct ClockBound {
    store_us: i64,
    host: Duration,
}

impl ClockBound {
    /// Returns the time on the store's clock that corresponds to `host`, with the drift since the observation.
    fn at(self, host: Duration, drift_sign: i64) -> i64 {
        let elapsed_us = micros(host).saturating_sub(micros(self.host));
        let drift_us = elapsed_us.max(0).saturating_mul(MAX_DRIFT_PPM) / 1_000_000;
        self.store_us
            .saturating_add(elapsed_us)
            .saturating_add(drift_sign * drift_us)
    }
}

/// Keeps both bounds of the difference between the store's monotonic clock and that of this host.
///
/// Each response contains the store's time, and was created after its request had been sent and before it was received. So
/// both bounds come from differences of times on one clock each, whatever the delays were. Only a response sets the latest
/// time: a datagram shows no time before which it cannot have been sent.
///
/// Times of this host are measured since boot and include time in suspension, during which the store's clock goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    bounds: Option<(ClockBound, ClockBound)>,
}

impl StoreClock {
    /// Records that the store's clock was in `created` at some time between `earliest` and `received` on this host's clock:
    /// for a response of the store, its time and the times at which the request was sent and the response was received.
    pub fn observe(
        &mut self,
        created: StoreInterval,
        earliest: Duration,
        received: Duration,
    ) -> ClockChange {
        let received = received.max(earliest);
        let lower = ClockBound {
            store_us: to_micros(created.not_before_ms),
            host: received,
        };
        let upper = ClockBound {
            store_us: to_micros(created.not_after_ms),
            host: earliest,
        };
        let Some((known_lower, known_upper)) = self.bounds else {
            self.bounds = Some((lower, upper));
            return ClockChange::Consistent;
        };
        let lower_at = |it: ClockBound| it.at(received, -1);
        let upper_at = |it: ClockBound| it.at(received, 1);
        let best_lower = if lower_at(lower) >= lower_at(known_lower) {
            lower
        } else {
            known_lower
        };
        let best_upper = if upper_at(upper) <= upper_at(known_upper) {
            upper
        } else {
            known_upper
        };
        if lower_at(best_lower) > upper_at(best_upper) {
            let set_back_us = upper_at(known_upper).saturating_sub(lower_at(lower));
            self.bounds = Some((lower, upper));
            let set_back = Duration::from_micros(u64::try_from(set_back_us).unwrap_or(0));
            return ClockChange::Restarted { set_back };
        }
        self.bounds = Some((best_lower, best_upper));
        ClockChange::Consistent
    }

    /// Returns the times that the store's clock can show at `since_boot`, or `None` before the first observation.
    pub fn interval(&self, since_boot: Duration) -> Option<StoreInterval> {
        let (lower, upper) = self.bounds?;
        let not_before_us = lower.at(since_boot, -1).max(0);
        let not_after_us = upper.at(since_boot, 1).max(not_before_us);
        let to_ms = |us: i64| u64::try_from(us).unwrap_or(0);
        Some(StoreInterval {
            not_before_ms: to_ms(not_before_us) / 1000,
            not_after_ms: to_ms(not_after_us).div_ceil(1000),
        })
    }

    /// Returns the earliest time that the store's clock can show at `since_boot`.
    pub fn earliest_ms(&self, since_boot: Duration) -> Option<u64> {
        self.interval(since_boot).map(|it| it.not_before_ms)
    }

    /// Returns the latest time that the store's clock can show at `since_boot`.
    pub fn latest_ms(&self, since_boot: Duration) -> Option<u64> {
        self.interval(since_boot).map(|it| it.not_after_ms)
    }

    /// Returns the earliest time on this host's clock at which the store can have created a response with timestamp `store_ms`.
    /// The request was sent at `sent` and the response was received at `received`, between which the result lies.
    pub fn responded_at(&self, store_ms: u64, sent: Duration, received: Duration) -> Duration {
        let received = received.max(sent);
        let Some((_, upper)) = self.bounds else {
            return sent;
        };
        let since_created_us = upper
            .at(received, 1)
            .saturating_sub(to_micros(store_ms))
            .max(0);
        let since_created = Duration::from_micros(u64::try_from(since_created_us).unwrap_or(0));
        received.saturating_sub(since_created).max(sent)
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

fn to_micros(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000)
}

/// Maximum difference between the rates of two hosts' clocks, in microseconds per second.
const MAX_DRIFT_PPM: i64 = 200;
