//! The memory that bodies which are read at the same time share.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory that all bodies which are read at the same time share, beyond a small part that each of them may use.
///
/// Without it, the memory of a process would be bounded only by the number of its connections times the largest body. A body
/// for which too little is left waits until others are complete. One body at a time may exceed the budget, because bodies
/// that all hold a part and wait for more would otherwise wait for ever.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    bytes: Arc<Semaphore>,
    excess: Arc<Semaphore>,
}

/// The memory that one body has taken from a budget; it is returned when this value is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    /// Whether the body waits for others if too little is left.
    may_wait: bool,
    permit: Option<OwnedSemaphorePermit>,
    /// Held by the body that may exceed the budget.
    excess: Option<OwnedSemaphorePermit>,
    /// Whether the body had to wait for others.
    has_waited: bool,
}

impl BufferBudget {
    /// Creates a budget of `bytes`, which one body at a time may exceed.
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
            excess: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns an empty share, for a body that waits for others if too little is left.
    pub(crate) fn empty_share(&self) -> BufferShare {
        self.share(true)
    }

    /// Returns an empty share, for a body that is given up if too little is left.
    pub fn share_without_wait(&self) -> BufferShare {
        self.share(false)
    }

    fn share(&self, may_wait: bool) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            may_wait,
            permit: None,
            excess: None,
            has_waited: false,
        }
    }
}

impl BufferShare {
    /// Returns whether the body exceeds the budget, so that others wait for it.
    pub(crate) fn holds_excess(&self) -> bool {
        self.excess.is_some()
    }

    /// Returns whether the body had to wait for others, and may be late because of them.
    pub(crate) fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Extends the share for a buffer of `bytes`. If too little is left, it waits for other bodies, or returns `false` if it must
    /// not. Returns `false` as well if no budget is large enough.
    pub(crate) async fn extend_to(&mut self, bytes: usize) -> bool {
        let held = self.permit.as_ref().map_or(0, |it| it.num_permits());
        let missing = bytes.saturating_sub(UNSHARED_BYTES + held);
        if missing == 0 || self.excess.is_some() {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else {
            return false;
        };
        let BufferBudget { bytes, excess } = self.budget.clone();
        let permit = match bytes.clone().try_acquire_many_owned(missing) {
            Ok(permit) => permit,
            Err(_) if !self.may_wait => return false,
            Err(_) => {
                self.has_waited = true;
                tokio::select! {
                    biased;
                    // Neither semaphore is ever closed.
                    Ok(permit) = bytes.acquire_many_owned(missing) => permit,
                    Ok(permit) = excess.acquire_owned() => {
                        self.excess = Some(permit);
                        return true;
                    }
                    else => return false,
                }
            }
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
