//! The memory that bodies which are read at the same time share.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory that all bodies which are read at the same time share, beyond a small part that each of them may use.
///
/// Without it, the memory of a process would be bounded only by the number of its connections times the largest body.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<Semaphore>);

/// The memory that one body has taken from a budget; it is returned when this value is dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: BufferBudget,
    permit: Option<OwnedSemaphorePermit>,
}

impl BufferBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))))
    }

    pub(crate) fn empty_share(&self) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            permit: None,
        }
    }
}

impl BufferShare {
    /// Extends the share for a buffer of `bytes`; returns whether the budget had enough left.
    pub(crate) fn extend_to(&mut self, bytes: usize) -> bool {
        let held = self.permit.as_ref().map_or(0, |it| it.num_permits());
        let missing = bytes.saturating_sub(UNSHARED_BYTES + held);
        if missing == 0 {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else {
            return false;
        };
        let Ok(permit) = self.budget.0.clone().try_acquire_many_owned(missing) else {
            return false;
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }
}

/// Size of a buffer that every body may use without a share of the budget.
const UNSHARED_BYTES: usize = 64 * 1024;
