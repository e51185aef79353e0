//! Bounds of a time on the store's clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Times on the store's clock, in milliseconds, between which something happened.
///
/// It is computed once, by the process that read the store, and is passed on unchanged. A process that receives it needs no
/// age and no time of receipt, so the time that a message was under way adds no error. See
/// [decision 49](../../../docs/decisions/0049-times-on-the-stores-clock.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreInterval {
    /// The event did not happen before this time.
    pub not_before_ms: u64,
    /// The event did not happen after this time.
    pub not_after_ms: u64,
}

impl StoreInterval {
    /// Interval of an event about whose time nothing is known.
    pub const UNKNOWN: Self = Self {
        not_before_ms: 0,
        not_after_ms: u64::MAX,
    };

    /// Creates the interval of an event that happened by `not_after_ms`, possibly long ago.
    pub fn until(not_after_ms: u64) -> Self {
        Self {
            not_after_ms,
            ..Self::UNKNOWN
        }
    }

    /// Creates the interval of an event that did not happen before `not_before_ms`.
    pub fn since(not_before_ms: u64) -> Self {
        Self {
            not_before_ms,
            ..Self::UNKNOWN
        }
    }

    /// Returns whether the event cannot be arbitrarily old.
    pub fn is_dated(self) -> bool {
        self.not_before_ms > 0
    }

    /// Returns the difference between the bounds, or `None` if one of them is unknown.
    pub fn width(self) -> Option<Duration> {
        let is_bounded = self.is_dated() && self.not_after_ms < u64::MAX;
        let width_ms = self.not_after_ms.saturating_sub(self.not_before_ms);
        is_bounded.then(|| Duration::from_millis(width_ms))
    }

    /// Returns the longest time by which the event can precede `latest_ms`, or `None` if it may be arbitrarily old.
    pub fn max_age(self, latest_ms: u64) -> Option<Duration> {
        let age_ms = latest_ms.saturating_sub(self.not_before_ms);
        self.is_dated().then(|| Duration::from_millis(age_ms))
    }

    /// Returns whether no time lies in both intervals, so that they cannot describe the same event.
    pub fn contradicts(self, other: Self) -> bool {
        self.not_before_ms.max(other.not_before_ms) > self.not_after_ms.min(other.not_after_ms)
    }

    /// Combines two intervals of the same event to the times that lie in both.
    ///
    /// Of contradictory intervals the smaller one of each bound is kept, since a declaration that is taken for too old only
    /// replaces weights too early.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let (earlier, later) = if self.not_before_ms <= other.not_before_ms {
            (self, other)
        } else {
            (other, self)
        };
        let is_contradiction = self.contradicts(other);
        let lower = if is_contradiction { earlier } else { later };
        Self {
            not_before_ms: lower.not_before_ms,
            not_after_ms: self.not_after_ms.min(other.not_after_ms),
        }
    }
}
