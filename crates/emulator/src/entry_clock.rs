//! The clock of a simulated host, and when its processes run.

use std::time::Duration;

/// Clock since boot of a host, with the times in which its processes stand still.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryClock {
    /// Time since boot at the start of the emulation.
    boot_age: Duration,
    /// Seconds that the clock gains, or loses, in a second.
    pub(crate) drift: f64,
    /// When the host is suspended, and for how long.
    pub(crate) suspension: Option<(Duration, Duration)>,
    /// When the process is starved, and until when.
    pub(crate) starvation: Option<(Duration, Duration)>,
    /// Time between the moments at which a starved process runs.
    pub(crate) run_interval: Duration,
}

impl EntryClock {
    pub(crate) fn new(boot_age: Duration) -> Self {
        Self {
            boot_age,
            drift: 0.0,
            suspension: None,
            starvation: None,
            run_interval: Duration::ZERO,
        }
    }

    pub(crate) fn since_boot(&self, now: Duration) -> Duration {
        if self.drift == 0.0 {
            return self.boot_age + now;
        }
        self.boot_age + now.mul_f64(1.0 + self.drift)
    }

    /// Returns the earliest time from `now` on at which the process handles an event.
    pub(crate) fn next_run(&self, now: Duration) -> Duration {
        if let Some((begin, length)) = self.suspension
            && (begin..begin + length).contains(&now)
        {
            return begin + length;
        }
        if let Some((begin, end)) = self.starvation
            && (begin..end).contains(&now)
        {
            let into_interval = (now - begin).as_nanos() % self.run_interval.as_nanos();
            if into_interval > 0 {
                let elapsed =
                    Duration::from_nanos(u64::try_from(into_interval).unwrap_or_default());
                return now + self.run_interval - elapsed;
            }
        }
        now
    }

    /// Returns whether the process is starved at `now`.
    pub(crate) fn is_starved(&self, now: Duration) -> bool {
        self.starvation
            .is_some_and(|(begin, end)| (begin..end).contains(&now))
    }
}
