//! When a response arrived at whichever entry received it, or its request was sent.

use std::time::{Duration, Instant};

use crate::time_base::TimeBase;

/// Arrival of a response or sending of its request, comparable with those at other entries.
///
/// A time that another entry tells is passed on unchanged. An age that is subtracted from the time of receipt would make it
/// newer with each message, by as long as that was under way.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ResponseTime {
    /// It arrived at this entry. Its time changes with the base, since the entry may not know the oldest one yet.
    Own(Instant),
    /// Another entry told the age of the base at the arrival.
    Told(Duration),
}

impl ResponseTime {
    /// Returns the age of the base at the arrival.
    pub(crate) fn base_age(self, base: &TimeBase) -> Duration {
        match self {
            Self::Own(time) => base.age(time),
            Self::Told(age) => age,
        }
    }

    /// Returns the same time after the entry has adopted a base that is older by `change`.
    ///
    /// Not for changes as short as a delay of messages: after each of them, a time that goes back and forth would be newer.
    pub(crate) fn after_base_change(self, change: Duration) -> Self {
        match self {
            Self::Own(_) => self,
            Self::Told(age) => Self::Told(age.saturating_add(change)),
        }
    }

    /// Returns the later one of two times.
    pub(crate) fn latest(self, other: Self, base: &TimeBase) -> Self {
        if other.base_age(base) > self.base_age(base) {
            other
        } else {
            self
        }
    }

    /// Returns whether this is later than `other`, although bases of two entries differ by the shortest delay of a message
    /// between them.
    pub(crate) fn is_certainly_after(self, other: Self, base: &TimeBase) -> bool {
        let tolerance = match (self, other) {
            (Self::Own(_), Self::Own(_)) => Duration::ZERO,
            _ => TIME_TOLERANCE,
        };
        self.base_age(base) > other.base_age(base) + tolerance
    }

    /// Returns the time since the arrival.
    pub(crate) fn elapsed(self, base: &TimeBase, now: Instant) -> Duration {
        base.age(now).saturating_sub(self.base_age(base))
    }
}

/// Difference between times of two entries up to which either may be the later one.
const TIME_TOLERANCE: Duration = Duration::from_millis(30);
