//! Load measurements of a gate.

use std::time::{Duration, Instant};

/// Computes moving averages of the time to first token and the token gap, and counts the outstanding tokens.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    first_token: Duration,
    token_gap: Duration,
    last_sample: Option<Instant>,
    tokens_owed: u64,
}

impl LoadMeter {
    /// Records the admission of a request that may produce up to `tokens`.
    pub fn on_admitted(&mut self, tokens: u32) {
        self.tokens_owed += u64::from(tokens);
    }

    /// Subtracts `tokens` that were produced, or that a finished request will not produce.
    pub fn on_tokens_released(&mut self, tokens: u32) {
        self.tokens_owed = self.tokens_owed.saturating_sub(u64::from(tokens));
    }

    /// Records a time to first token.
    pub fn on_first_token(&mut self, now: Instant, latency: Duration) {
        self.first_token = moving_average(self.first_token, latency, FIRST_TOKEN_WEIGHT);
        self.last_sample = Some(now);
    }

    /// Records the time between two tokens.
    pub fn on_token_gap(&mut self, now: Instant, gap: Duration) {
        self.token_gap = moving_average(self.token_gap, gap, TOKEN_GAP_WEIGHT);
        self.last_sample = Some(now);
    }

    /// Returns the maximum number of tokens that requests in flight may still produce.
    pub fn tokens_owed(&self) -> u32 {
        u32::try_from(self.tokens_owed).unwrap_or(u32::MAX)
    }

    /// Returns the moving average of the time to first token.
    ///
    /// It decays exponentially while there are no samples, so that a target that is avoided for being slow is tried
    /// again.
    pub fn first_token(&self, now: Instant) -> Duration {
        self.first_token.mul_f64(self.idle_decay(now))
    }

    /// Returns the moving average of the token gap, with the same decay.
    pub fn token_gap(&self, now: Instant) -> Duration {
        self.token_gap.mul_f64(self.idle_decay(now))
    }

    fn idle_decay(&self, now: Instant) -> f64 {
        let idle = self
            .last_sample
            .map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        0.5f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

fn moving_average(average: Duration, sample: Duration, weight: f64) -> Duration {
    if average.is_zero() {
        return sample;
    }
    average.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}

/// Weight of a new sample of the time to first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.2;

/// Weight of a new sample of the token gap.
const TOKEN_GAP_WEIGHT: f64 = 0.05;

/// Half-life of the averages while there are no samples.
const HALF_LIFE: Duration = Duration::from_secs(5);
