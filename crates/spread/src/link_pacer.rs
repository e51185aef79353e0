//! Adaptive rate limiting of chunk transfers on a host's link.

use std::time::{Duration, Instant};

use crate::token_bucket::TokenBucket;

/// Limits the combined rate of received and sent chunks, so that live requests keep part of the link.
///
/// The share of the link decreases by a factor when the token gap, the time between two output tokens of a live
/// request, stays well above its value without a transfer. Otherwise it increases linearly.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    link_bytes_per_s: f64,
    max_share: f64,
    share: f64,
    /// Moving average of the token gap while no transfer runs.
    idle_gap: Option<Duration>,
    /// Consecutive observations of an increased token gap; a single one may be noise.
    consecutive_slow_gaps: u32,
    adapted_at: Instant,
    bucket: TokenBucket,
}

impl LinkPacer {
    /// Minimum share of a transfer, which prevents starvation of a rollout.
    pub const MIN_SHARE: f64 = 0.5;
    /// Minimum time between two changes of the share.
    pub const ADAPT_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates the pacer of a link that carries `link_bytes_per_s` in both directions together. A transfer may use
    /// `max_share` of it while it does not slow down live requests.
    pub fn new(link_bytes_per_s: f64, max_share: f64, now: Instant) -> Self {
        let rate = link_bytes_per_s * max_share;
        Self {
            link_bytes_per_s,
            max_share,
            share: max_share,
            idle_gap: None,
            consecutive_slow_gaps: 0,
            adapted_at: now,
            bucket: TokenBucket::new(rate, rate * BURST.as_secs_f64(), now),
        }
    }

    /// Reserves `bytes` and returns how long to wait before transferring them.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Duration {
        self.bucket.take(bytes, now)
    }

    /// Records a token gap observed without a transfer, as the baseline for [`Self::adapt_share`].
    pub fn record_idle_gap(&mut self, gap: Duration) {
        let known = self.idle_gap.unwrap_or(gap);
        self.idle_gap = Some((known * (SMOOTHING_DIVISOR - 1) + gap) / SMOOTHING_DIVISOR);
    }

    /// Adapts the share to the token `gap` of live requests during a transfer.
    pub fn adapt_share(&mut self, gap: Duration, now: Instant) {
        if now.saturating_duration_since(self.adapted_at) < Self::ADAPT_INTERVAL {
            return;
        }
        self.adapted_at = now;
        let Some(idle_gap) = self.idle_gap else {
            return;
        };
        self.consecutive_slow_gaps = if gap > idle_gap.mul_f64(SLOW_GAP_FACTOR) {
            self.consecutive_slow_gaps + 1
        } else {
            0
        };
        self.share = if self.consecutive_slow_gaps >= MIN_SLOW_GAPS {
            (self.share * SHARE_DECREASE_FACTOR).max(Self::MIN_SHARE.min(self.max_share))
        } else {
            (self.share + SHARE_INCREASE).min(self.max_share)
        };
        self.bucket
            .set_rate(self.link_bytes_per_s * self.share, now);
    }

    /// Returns the maximum size of one write, small enough that a token queued behind it is not delayed noticeably.
    pub fn max_write_bytes(&self) -> usize {
        let bytes = self.link_bytes_per_s * MAX_WRITE_TIME.as_secs_f64();
        (bytes as usize).clamp(MIN_WRITE_BYTES, MAX_WRITE_BYTES)
    }

    /// Returns the share of the link that transfers may currently use.
    pub fn share(&self) -> f64 {
        self.share
    }
}

/// Time for which one write may occupy the link.
const MAX_WRITE_TIME: Duration = Duration::from_millis(2);
/// Lower bound of the write size, which limits the number of calls on a slow link.
const MIN_WRITE_BYTES: usize = 2 * 1024;
/// Upper bound of the write size, which limits the memory of concurrent fetches.
const MAX_WRITE_BYTES: usize = 64 * 1024;
/// Burst size, as time at the maximum rate.
const BURST: Duration = Duration::from_millis(50);
/// Ratio to the idle token gap above which an observed gap counts as slow.
const SLOW_GAP_FACTOR: f64 = 1.5;
/// Consecutive slow gaps after which the share decreases.
const MIN_SLOW_GAPS: u32 = 3;
/// Divisor of the moving average: each new observation contributes one part in this many.
const SMOOTHING_DIVISOR: u32 = 8;
/// Factor by which the share decreases.
const SHARE_DECREASE_FACTOR: f64 = 0.8;
/// Increase of the share per interval while live requests are not slowed down.
const SHARE_INCREASE: f64 = 0.05;
