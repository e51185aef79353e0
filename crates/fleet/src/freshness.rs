//! Time since the active configuration was confirmed to be the newest one.

use std::time::Duration;

/// Time at which the store last confirmed the configuration, and the maximum age of a confirmation.
///
/// A revoked key must not be accepted after the maximum age even if the store is unreachable, so all requests with keys
/// are refused once the confirmation is older. Times are measured since boot and include time in suspension, because a
/// process that was suspended must not trust its earlier state.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    max_age: Option<Duration>,
    confirmed: Option<Duration>,
}

impl ConfigFreshness {
    /// Creates a record in which a confirmation is valid for `max_age`, or indefinitely if revocation has no bound.
    pub fn new(max_age: Option<Duration>) -> Self {
        Self {
            max_age,
            confirmed: None,
        }
    }

    /// Records that the active configuration was the newest one at `confirmed_at`.
    pub fn confirm(&mut self, confirmed_at: Duration) {
        self.confirmed = Some(
            self.confirmed
                .map_or(confirmed_at, |it| it.max(confirmed_at)),
        );
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|it| now.saturating_sub(it))
    }

    /// Returns whether keys may be accepted at `now`.
    pub fn is_trusted(&self, now: Duration) -> bool {
        let Some(max_age) = self.max_age else {
            return self.confirmed.is_some();
        };
        self.age(now).is_some_and(|it| it < max_age)
    }
}
