//! How late the timers of this process have fired recently.

use std::collections::VecDeque;
use std::time::Duration;

/// Keeps the worst recent lateness of timers: a process that gets little processor time acts later on its deadlines.
///
/// Times are measured since boot of this host.
#[derive(Clone, Debug, Default)]
pub struct TimerLateness {
    /// Times and lateness, both of which increase and decrease strictly: an earlier and smaller one is never the worst.
    worst: VecDeque<(Duration, Duration)>,
}

impl TimerLateness {
    /// Records that a timer fired `lateness` after it was due.
    pub fn record(&mut self, lateness: Duration, now: Duration) {
        while self.worst.back().is_some_and(|it| it.1 <= lateness) {
            self.worst.pop_back();
        }
        self.worst.push_back((now, lateness));
        self.expire(now);
    }

    /// Returns the worst lateness of the last seconds.
    pub fn recent(&self, now: Duration) -> Duration {
        let is_recent = |it: &&(Duration, Duration)| now.saturating_sub(it.0) <= RECENT_TIME;
        let worst = self.worst.iter().find(is_recent);
        worst.map_or(Duration::ZERO, |it| it.1)
    }

    /// Returns by how much the worst recent lateness exceeds `expected`, at most a second: a process that stood still for longer
    /// was suspended.
    pub fn excess(&self, expected: Duration, now: Duration) -> Duration {
        let excess = self.recent(now).saturating_sub(expected);
        excess.min(MAX_EXCESS)
    }

    fn expire(&mut self, now: Duration) {
        let is_old = |it: &(Duration, Duration)| now.saturating_sub(it.0) > RECENT_TIME;
        while self.worst.front().is_some_and(is_old) {
            self.worst.pop_front();
        }
    }
}

/// Time for which a lateness counts.
const RECENT_TIME: Duration = Duration::from_secs(10);

/// Maximum excess.
const MAX_EXCESS: Duration = Duration::from_secs(1);
