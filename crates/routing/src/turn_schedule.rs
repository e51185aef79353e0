//! The times at which requests may be sent to a replica with a limit.

use std::time::Duration;

use crate::lifetime_id::LifetimeId;
use crate::member_table::mix;
use crate::request_rate::RequestRate;

/// The turns of one replica: single requests at even intervals, counted from a time base that all entries share. Each
/// turn belongs to one entry and may be used for a while after its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TurnSchedule {
    digest: u64,
    /// Turns per second.
    rate: f64,
    /// Time for which a turn may be used.
    lifetime: Duration,
}

impl TurnSchedule {
    pub(crate) fn new(replica: LifetimeId, limit: RequestRate) -> Self {
        let limit = limit.per_second().clamp(TRIAL_RATE, MAX_RATE);
        let used_share = if limit < HIGH_LIMIT {
            USED_SHARE
        } else {
            HIGH_USED_SHARE
        };
        let rate = limit * used_share;
        // All turns of a window and those before it that are still usable must fit into the calls of the window, next
        // to one call of the replica's agent.
        let calls = WINDOW_S * limit + WINDOW_RESERVE - 1.0;
        let lifetime = calls / rate - WINDOW_S - CLOCK_TOLERANCE_S;
        Self {
            digest: mix(replica.digest()),
            rate,
            lifetime: Duration::from_secs_f64(lifetime.clamp(0.0, MAX_LIFETIME_S)),
        }
    }

    /// Returns the number of turns per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time for which a turn may be used.
    pub(crate) fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns the time of a turn.
    pub(crate) fn time_of(&self, turn: u64) -> Duration {
        Duration::from_secs_f64((turn as f64 + self.phase()) / self.rate)
    }

    /// Returns the first turn after `time`.
    pub(crate) fn first_after(&self, time: Duration) -> u64 {
        let past_turns = (time.as_secs_f64() * self.rate - self.phase()).floor() + 1.0;
        // The conversion saturates at 0.
        past_turns as u64
    }

    /// Returns the digest of a turn, which determines its owner.
    pub(crate) fn turn_digest(&self, turn: u64) -> u64 {
        mix(self.digest ^ mix(turn.wrapping_add(1)))
    }

    /// Returns the fraction of an interval by which the turns are shifted, so that those of different replicas do not
    /// coincide.
    fn phase(&self) -> f64 {
        (self.digest >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Share of the limit that becomes turns. The lower it is, the longer an entry without a request can keep a turn.
const USED_SHARE: f64 = 0.9;

/// Share of a limit of [`HIGH_LIMIT`] or more, whose turns come so often that they would lapse sooner otherwise.
const HIGH_USED_SHARE: f64 = 0.85;

/// Limit in requests per second from which on the lower share applies.
const HIGH_LIMIT: f64 = 8.0;

/// Span in which calls at a replica are counted, in seconds.
const WINDOW_S: f64 = 4.0;

/// Calls in such a span beyond those that the limit allows on average, less one for the turn that begins the span.
const WINDOW_RESERVE: f64 = 2.0;

/// Sum of the differences between the clocks of two entries and between the delays of two requests, in seconds.
const CLOCK_TOLERANCE_S: f64 = 0.2;

/// Longest time for which a turn may be used, in seconds.
const MAX_LIFETIME_S: f64 = 8.0;

/// Requests per second that a replica gets although its limit is lower, because only a response can show that the limit
/// has ended.
const TRIAL_RATE: f64 = 0.1;

/// Requests per second beyond which a limit binds no entry.
const MAX_RATE: f64 = 2000.0;
