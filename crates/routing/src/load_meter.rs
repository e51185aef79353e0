//! What a gate measures of its target.

use std::time::{Duration, Instant};

/// Smooths the first-token time and token gap and counts the tokens that requests may still produce.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    first_token: Duration,
    token_gap: Duration,
    last: Option<Instant>,
    tokens_owed: u64,
}

impl LoadMeter {
    /// Notes that a request which may produce `tokens` was admitted.
    pub fn on_admitted(&mut self, tokens: u32) {
        self.tokens_owed += u64::from(tokens);
    }

    /// Notes that `tokens` are not owed any more: produced, or given up at the end of a request.
    pub fn on_tokens_released(&mut self, tokens: u32) {
        self.tokens_owed = self.tokens_owed.saturating_sub(u64::from(tokens));
    }

    /// Takes in the time to a first token.
    pub fn on_first_token(&mut self, now: Instant, latency: Duration) {
        self.first_token = smooth(self.first_token, latency, FIRST_TOKEN_SHARE);
        self.last = Some(now);
    }

    /// Takes in the time between two tokens.
    pub fn on_token_gap(&mut self, now: Instant, gap: Duration) {
        self.token_gap = smooth(self.token_gap, gap, GAP_SHARE);
        self.last = Some(now);
    }

    /// Returns the tokens that requests in progress may still produce.
    pub fn tokens_owed(&self) -> u32 {
        u32::try_from(self.tokens_owed).unwrap_or(u32::MAX)
    }

    /// Returns the smoothed time to the first token.
    ///
    /// It halves with every idle half-life: a target that is avoided because it was slow must be tried again.
    pub fn first_token(&self, now: Instant) -> Duration {
        self.first_token.mul_f64(self.freshness(now))
    }

    /// Returns the smoothed token gap, fading like the first-token time.
    pub fn token_gap(&self, now: Instant) -> Duration {
        self.token_gap.mul_f64(self.freshness(now))
    }

    fn freshness(&self, now: Instant) -> f64 {
        let idle = self
            .last
            .map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        0.5f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

fn smooth(old: Duration, new: Duration, share: f64) -> Duration {
    if old.is_zero() {
        return new;
    }
    old.mul_f64(1.0 - share) + new.mul_f64(share)
}

/// Weight of a new first-token time.
const FIRST_TOKEN_SHARE: f64 = 0.2;

/// Weight of a new token gap.
const GAP_SHARE: f64 = 0.05;

/// Idle time in which the figures halve.
const HALF_LIFE: Duration = Duration::from_secs(5);
