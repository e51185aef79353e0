//! Rates of requests.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A rate of requests, in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestRate(u32);

impl RequestRate {
    /// No requests.
    pub const ZERO: Self = Self(0);

    /// Creates a rate of `count` requests in 1,000 seconds.
    pub fn per_kilosecond(count: u32) -> Self {
        Self(count)
    }

    /// Parses a decimal number of requests per second, such as `2.3`. Digits after the third decimal are dropped, and
    /// rates beyond the largest one are reduced to it.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let is_number = |digits: &str| digits.bytes().all(|it| it.is_ascii_digit());
        if !is_number(whole) || !is_number(fraction) || (whole.is_empty() && fraction.is_empty()) {
            return None;
        }
        let fraction: String = fraction.chars().chain("000".chars()).take(3).collect();
        let digits = format!("{}{fraction}", whole.trim_start_matches('0'));
        // Only digits are left, so the sole possible error is an overflow.
        Some(Self(digits.parse().unwrap_or(u32::MAX)))
    }

    /// Returns the interval at which the agent of a replica with this limit requests its report: a small part of the
    /// limit, and at most once in the span in which requests are counted.
    pub fn report_interval(self) -> Duration {
        let interval = 1.0 / (self.per_second() * REPORT_SHARE);
        let interval = interval.clamp(MIN_REPORT_INTERVAL_S, MAX_REPORT_INTERVAL_S);
        Duration::from_secs_f64(interval)
    }

    /// Returns the number of requests in 1,000 seconds.
    pub fn in_kilosecond(self) -> u32 {
        self.0
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// Share of a limit that requests for reports take up.
const REPORT_SHARE: f64 = 0.15;

/// Shortest and longest interval of requests for reports, in seconds.
const MIN_REPORT_INTERVAL_S: f64 = 4.1;
const MAX_REPORT_INTERVAL_S: f64 = 10.0;
