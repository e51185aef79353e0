//! A request's slot at a target, which is released when dropped.

use std::sync::Arc;

use model::TargetRow;

use crate::calls::slot_scheduler::SlotScheduler;

/// Counts one request as in flight at a target until dropped, which dispatches queued requests.
#[derive(Debug)]
pub(crate) struct TargetSlot {
    pub(crate) row: TargetRow,
    /// Whether the gate refused the request because of its limit.
    pub(crate) refused_at_limit: bool,
    scheduler: Arc<SlotScheduler>,
}

impl TargetSlot {
    pub(crate) fn new(scheduler: Arc<SlotScheduler>, row: TargetRow) -> Self {
        Self {
            row,
            refused_at_limit: false,
            scheduler,
        }
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.scheduler.release(&self.row, self.refused_at_limit);
    }
}
