//! Bounds the volume of log lines about requests.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use slog::{Logger, warn};

/// What a line tells of; each kind has a budget of its own, so that a flood of one never crowds out another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// A request that was served as it should be.
    Served,
    /// A step on the way of a request that was refused, failed, broken off or late.
    Failed,
}

/// Counts lines of each kind in windows of a second and suppresses those beyond the budget.
#[derive(Debug)]
pub(crate) struct LineBudget {
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    began: Instant,
    written: [u32; 2],
    suppressed: [u32; 2],
    suppressed_total: u64,
}

impl LineBudget {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                began: now,
                written: [0; 2],
                suppressed: [0; 2],
                suppressed_total: 0,
            }),
        }
    }

    /// Says whether a line of `kind` may be written; the end of a window with suppressed lines writes their counts.
    pub(crate) fn allows(&self, kind: LineKind, now: Instant, log: &Logger) -> bool {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if now.saturating_duration_since(state.began) >= WINDOW {
            let [served, failed] = state.suppressed;
            if served + failed > 0 {
                warn!(log, "lines suppressed"; "served" => served, "failed" => failed);
            }
            state.began = now;
            state.written = [0; 2];
            state.suppressed = [0; 2];
        }
        let (index, budget) = match kind {
            LineKind::Served => (0, SERVED_LINES),
            LineKind::Failed => (1, FAILED_LINES),
        };
        if state.written[index] >= budget {
            state.suppressed[index] += 1;
            state.suppressed_total += 1;
            return false;
        }
        state.written[index] += 1;
        true
    }

    /// Returns the lines that were suppressed since the start.
    pub(crate) fn suppressed_total(&self) -> u64 {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .suppressed_total
    }
}

/// Time in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of a window about requests that were served; a few times the requests of an entry at its usual load.
const SERVED_LINES: u32 = 100;

/// Lines of a window about requests that were not; several for each request of an entry at twice its usual load.
const FAILED_LINES: u32 = 400;
