//! Whether this process stood still for so long that what it knows may not hold any more.

use std::time::Duration;

/// Notices that this process did not run for a while, in which the operator may have evacuated a zone.
///
/// Times are measured since boot and include time in suspension.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    /// Longest time between two runs after which the process still knows enough; `None` if it always does.
    max_gap: Option<Duration>,
    last_run: Duration,
    woken_at: Option<Duration>,
}

impl SuspensionWatch {
    /// Creates the watch of a process in which changes must take effect within `bound`, if that is limited.
    pub fn new(bound: Option<Duration>, now: Duration) -> Self {
        Self {
            // The other half is left for reading what has changed.
            max_gap: bound.map(|it| it / 2),
            last_run: now,
            woken_at: None,
        }
    }

    /// Records that the process runs, which is expected at least every 0.5 s.
    pub fn record_run(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_run);
        if self.max_gap.is_some_and(|it| gap > it) {
            self.woken_at = Some(now);
        }
        self.last_run = self.last_run.max(now);
    }

    /// Returns until when decisions must wait because the process was suspended and the operator's rows were last `confirmed` before
    /// that, if they must.
    pub fn wait_until(&mut self, confirmed: Option<Duration>, now: Duration) -> Option<Duration> {
        self.record_run(now);
        let woken_at = self.woken_at?;
        let end = woken_at + READ_TIME;
        let is_behind = now < end && confirmed < Some(woken_at);
        is_behind.then_some(end)
    }
}

/// Time after which a process goes on with what it knows, as the store may be unavailable; a read that was under way takes less.
const READ_TIME: Duration = Duration::from_secs(1);
