//! How recently the configuration in force was confirmed to be the newest one.

use std::time::Duration;

/// The moment for which the store last confirmed the configuration, and the bound on its age.
///
/// A key that was taken away must not work after the bound, whatever this process can reach. So requests with keys are
/// refused once the confirmation is older. Moments are counted from the start of the machine, time in suspension
/// included, because a process that was suspended must not trust what it knew before.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    max_age: Option<Duration>,
    confirmed: Option<Duration>,
}

impl ConfigFreshness {
    /// Creates a record that trusts a confirmation for `max_age`, or for ever where revocation has no bound.
    pub fn new(max_age: Option<Duration>) -> Self {
        Self {
            max_age,
            confirmed: None,
        }
    }

    /// Notes that the configuration in force was the newest one at `moment`.
    pub fn confirm(&mut self, moment: Duration) {
        self.confirmed = Some(self.confirmed.map_or(moment, |it| it.max(moment)));
    }

    /// Returns the age of the confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|it| now.saturating_sub(it))
    }

    /// Says whether keys may be trusted at `now`.
    pub fn is_trusted(&self, now: Duration) -> bool {
        let Some(max_age) = self.max_age else {
            return self.confirmed.is_some();
        };
        self.age(now).is_some_and(|it| it < max_age)
    }
}
