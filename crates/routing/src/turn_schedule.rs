//! The times at which requests may be sent to a replica with a limit.

use std::time::Duration;

use crate::cold_turns::ColdBound;
use crate::lifetime_id::LifetimeId;
use crate::member_table::mix;
use crate::request_rate::RequestRate;
use crate::turn_anchor::TurnAnchor;
use crate::turn_grant::MAX_COLD_SEND_DELAY;

/// The turns of one replica: single requests at even intervals, counted from a time base that all entries share. After a
/// change of the limit the intervals differ, and the count goes on. Each turn belongs to one entry and may be used for a
/// while after its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TurnSchedule {
    digest: u64,
    /// Turns per second.
    rate: f64,
    /// A time, in seconds, and the number of the turn at it.
    origin_s: f64,
    origin_turn: f64,
    /// Time for which a turn may be used.
    lifetime: Duration,
}

impl TurnSchedule {
    /// Creates the turns of `replica`, which continue from `anchor`, if any, or else are counted from the time base.
    pub(crate) fn new(replica: LifetimeId, limit: RequestRate, anchor: Option<TurnAnchor>) -> Self {
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
        let digest = mix(replica.digest());
        let (origin_s, origin_turn) = match anchor {
            Some(it) => (it.time_ms as f64 / 1000.0, it.millis as f64 / 1000.0),
            // Shifted by a fraction of an interval, so that the turns of different replicas do not coincide.
            None => (0.0, -fraction(digest)),
        };
        Self {
            digest,
            rate,
            origin_s,
            origin_turn,
            lifetime: Duration::from_secs_f64(lifetime.clamp(0.0, MAX_LIFETIME_S)),
        }
    }

    /// Creates the turns of a cold replica, counted from the time base.
    ///
    /// A turn may be used for so long that all turns of a second and those before it that are still usable fit into `bound`.
    pub(crate) fn of_cold_replica(replica: LifetimeId, bound: ColdBound) -> Self {
        let digest = mix(replica.digest());
        let tolerance_s = COLD_WINDOW_S + MAX_COLD_SEND_DELAY.as_secs_f64() + CLOCK_TOLERANCE_S;
        // One turn may begin at each end of the span.
        let calls = (bound.max_in_second - 1.0).max(0.0);
        let rate = (bound.requests_per_second * COLD_USED_SHARE)
            .min(calls / (tolerance_s + MIN_COLD_LIFETIME_S))
            .clamp(TRIAL_RATE, MAX_RATE);
        let lifetime = (calls / rate - tolerance_s).clamp(0.0, MAX_LIFETIME_S);
        Self {
            digest,
            rate,
            origin_s: 0.0,
            origin_turn: -fraction(digest),
            lifetime: Duration::from_secs_f64(lifetime),
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
        let seconds = self.origin_s + (turn as f64 - self.origin_turn) / self.rate;
        Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
    }

    /// Returns the first turn after `time`.
    pub(crate) fn first_after(&self, time: Duration) -> u64 {
        // The conversion saturates at 0.
        (self.position(time).floor() + 1.0) as u64
    }

    /// Returns the anchor from which turns at another rate continue at `time`.
    pub(crate) fn anchor_at(&self, time: Duration) -> TurnAnchor {
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let position = self.position(Duration::from_millis(time_ms));
        TurnAnchor {
            time_ms,
            millis: (position * 1000.0).round() as i64,
        }
    }

    /// Returns the number of the turn at `time`, with the part of the interval that has passed since.
    fn position(&self, time: Duration) -> f64 {
        self.origin_turn + (time.as_secs_f64() - self.origin_s) * self.rate
    }

    /// Returns the digest of a turn, which determines its owner.
    pub(crate) fn turn_digest(&self, turn: u64) -> u64 {
        mix(self.digest ^ mix(turn.wrapping_add(1)))
    }
}

/// Returns a fraction in 0..1 that `digest` determines.
fn fraction(digest: u64) -> f64 {
    (digest >> 11) as f64 / (1_u64 << 53) as f64
}

/// Share of the rate that a cold replica tolerates which becomes turns.
const COLD_USED_SHARE: f64 = 0.8;

/// Span in which requests at a cold replica are counted, in seconds.
const COLD_WINDOW_S: f64 = 1.0;

/// Shortest time for which a turn at a cold replica can be used, in seconds; an entry must have a request in it.
const MIN_COLD_LIFETIME_S: f64 = 0.3;

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
