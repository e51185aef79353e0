//! Bounds the volume of log lines about requests.

use std::time::{Duration, Instant};

/// What a line tells of; each kind has a budget of its own, so that a flood of one never crowds out another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A request that was served as it should be.
    Served,
    /// A step on the way of a request that was refused, failed, broken off or late.
    Failed,
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// Whether this line is within its budget.
    pub allowed: bool,
    /// Lines that were suppressed in the window that has just ended, served and failed ones.
    pub suppressed_before: Option<[u32; 2]>,
}

/// Counts lines of each kind in windows of a second and suppresses those beyond the budget.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    began: Instant,
    written: [u32; 2],
    suppressed: [u32; 2],
    suppressed_total: u64,
}

impl LineBudget {
    /// Starts the first window.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            written: [0; 2],
            suppressed: [0; 2],
            suppressed_total: 0,
        }
    }

    /// Decides on a line of `kind`.
    pub fn take(&mut self, kind: LineKind, now: Instant) -> LineDecision {
        let mut suppressed_before = None;
        if now.saturating_duration_since(self.began) >= WINDOW {
            suppressed_before = Some(self.suppressed).filter(|it| *it != [0, 0]);
            *self = Self {
                suppressed_total: self.suppressed_total,
                ..Self::new(now)
            };
        }
        let (index, budget) = match kind {
            LineKind::Served => (0, SERVED_LINES),
            LineKind::Failed => (1, FAILED_LINES),
        };
        let allowed = self.written[index] < budget;
        if allowed {
            self.written[index] += 1;
        } else {
            self.suppressed[index] += 1;
            self.suppressed_total += 1;
        }
        LineDecision {
            allowed,
            suppressed_before,
        }
    }

    /// Returns the lines that were suppressed since the start.
    pub fn suppressed_total(&self) -> u64 {
        self.suppressed_total
    }
}

/// Time in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of a window about requests that were served; a few times the requests of an entry at its usual load.
const SERVED_LINES: u32 = 100;

/// Lines of a window about requests that were not; several for each request of an entry at twice its usual load.
const FAILED_LINES: u32 = 400;
