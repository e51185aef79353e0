//! The share of a host's link that chunks may use.

use std::time::{Duration, Instant};

use crate::token_bucket::TokenBucket;

/// Paces the chunks that a host receives and sends together, leaving room for live requests.
///
/// The share shrinks at once when token gaps grow beyond what they are without a transfer, and grows back slowly.
#[derive(Clone, Debug)]
pub struct LinkPace {
    link_bytes_per_s: f64,
    max_share: f64,
    share: f64,
    quiet_gap: Option<Duration>,
    /// Observations in a row of a grown gap; a single one may be noise.
    grown: u32,
    adapted_at: Instant,
    bucket: TokenBucket,
}

impl LinkPace {
    /// Share that a transfer keeps in any case, so that a rollout cannot starve.
    pub const MIN_SHARE: f64 = 0.5;
    /// Time between two changes of the share.
    pub const ADAPT_EVERY: Duration = Duration::from_millis(250);

    /// Creates the pace of a link that carries `link_bytes_per_s` in and out together, of which a transfer may use
    /// `max_share` while live requests do not suffer.
    pub fn new(link_bytes_per_s: f64, max_share: f64, now: Instant) -> Self {
        let rate = link_bytes_per_s * max_share;
        Self {
            link_bytes_per_s,
            max_share,
            share: max_share,
            quiet_gap: None,
            grown: 0,
            adapted_at: now,
            bucket: TokenBucket::new(rate, rate * BURST.as_secs_f64(), now),
        }
    }

    /// Takes `bytes` and returns how long to wait before they may pass the link.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Duration {
        self.bucket.take(bytes, now)
    }

    /// Notes the token gap while nothing is transferred; it is what later gaps are held against.
    pub fn note_quiet_gap(&mut self, gap: Duration) {
        let known = self.quiet_gap.unwrap_or(gap);
        self.quiet_gap = Some((known * (SMOOTHING - 1) + gap) / SMOOTHING);
    }

    /// Adapts the share to the token `gap` that live requests see during the transfer.
    pub fn adapt(&mut self, gap: Duration, now: Instant) {
        if now.saturating_duration_since(self.adapted_at) < Self::ADAPT_EVERY {
            return;
        }
        self.adapted_at = now;
        let Some(quiet_gap) = self.quiet_gap else {
            return;
        };
        self.grown = if gap > quiet_gap.mul_f64(GROWN_GAP) {
            self.grown + 1
        } else {
            0
        };
        self.share = if self.grown >= GROWN_IN_A_ROW {
            (self.share * SHRINK).max(Self::MIN_SHARE.min(self.max_share))
        } else {
            (self.share + GROW).min(self.max_share)
        };
        self.bucket
            .set_rate(self.link_bytes_per_s * self.share, now);
    }

    /// Returns the bytes that should leave at once: little enough that a token behind them does not wait long.
    pub fn piece_bytes(&self) -> usize {
        let bytes = self.link_bytes_per_s * PIECE.as_secs_f64();
        (bytes as usize).clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES)
    }

    /// Returns the share of the link in use.
    pub fn share(&self) -> f64 {
        self.share
    }
}

/// Time that one piece may occupy the link.
const PIECE: Duration = Duration::from_millis(2);
/// Smallest piece, so that a slow link does not cost a call for every few bytes.
const MIN_PIECE_BYTES: usize = 2 * 1024;
/// Largest piece, so that many fetches at once need little memory.
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// Bytes that may pass at once, as time at the full rate.
const BURST: Duration = Duration::from_millis(50);
/// Growth of the token gap at which the transfer yields.
const GROWN_GAP: f64 = 1.5;
/// Grown gaps in a row at which the transfer yields.
const GROWN_IN_A_ROW: u32 = 3;
/// Weight of what is known in the smoothed quiet gap, against one of a new observation.
const SMOOTHING: u32 = 8;
/// Factor on the share when it yields.
const SHRINK: f64 = 0.8;
/// Growth of the share while live requests do not suffer.
const GROW: f64 = 0.05;
