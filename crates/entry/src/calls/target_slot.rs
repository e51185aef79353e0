//! A place at a target.

use std::sync::Arc;

use model::TargetRow;

use crate::calls::call_shared::CallShared;

/// Counts one request at a target for as long as it lives; its end lets the next one go.
#[derive(Debug)]
pub(crate) struct TargetSlot {
    pub(crate) row: TargetRow,
    /// Whether the gate refused the request at its limit.
    pub(crate) was_full: bool,
    shared: Arc<CallShared>,
}

impl TargetSlot {
    pub(crate) fn new(shared: Arc<CallShared>, row: TargetRow) -> Self {
        Self {
            row,
            was_full: false,
            shared,
        }
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.shared.release(&self.row, self.was_full);
    }
}
