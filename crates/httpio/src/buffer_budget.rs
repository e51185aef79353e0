//! The memory that bodies which are read at the same time share.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::client_account::ClientHandle;

/// The memory that all bodies which are read at the same time share, beyond a small part that each of them may use.
///
/// Without it, the memory of a process would be bounded only by the number of its connections times the largest body. A body
/// for which too little is left waits until others are complete. One body at a time may exceed the budget, because bodies
/// that all hold a part and wait for more would otherwise wait for ever.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    bytes: Arc<Semaphore>,
    excess: Arc<Semaphore>,
    unshared_bytes: usize,
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
    /// The client for which the memory is held. Others are closed for it if too little is left.
    client: Option<ClientHandle>,
    /// Bytes that are counted as held for the client.
    counted: usize,
}

impl BufferBudget {
    /// Creates a budget of `bytes`, which one body at a time may exceed.
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
            excess: Arc::new(Semaphore::new(1)),
            unshared_bytes: UNSHARED_BYTES,
        }
    }

    /// Sets the size of a buffer that every body may use without a share.
    #[must_use]
    pub fn with_unshared_bytes(mut self, bytes: usize) -> Self {
        self.unshared_bytes = bytes;
        self
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
            client: None,
            counted: 0,
        }
    }
}

impl BufferShare {
    /// Counts the memory as held for `client`, and closes the connections of clients that hold more for longer if too little is
    /// left.
    #[must_use]
    pub fn for_client(mut self, client: Option<ClientHandle>) -> Self {
        self.client = client;
        self
    }

    /// Returns whether the share holds nothing of the budget.
    pub(crate) fn is_empty(&self) -> bool {
        self.permit.is_none() && self.excess.is_none()
    }

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
    pub async fn extend_to(&mut self, bytes: usize) -> bool {
        let held = self.permit.as_ref().map_or(0, |it| it.num_permits());
        let missing = bytes.saturating_sub(self.budget.unshared_bytes + held);
        if missing == 0 || self.excess.is_some() {
            return true;
        }
        let Ok(missing) = u32::try_from(missing) else {
            return false;
        };
        let budget = self.budget.bytes.clone();
        let permit = match budget.try_acquire_many_owned(missing) {
            Ok(permit) => permit,
            Err(_) => match self.wait_for(missing).await {
                Some(permit) => permit,
                None => {
                    let is_excess = self.excess.is_some();
                    self.count(if is_excess { missing as usize } else { 0 });
                    return is_excess;
                }
            },
        };
        self.count(permit.num_permits());
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }

    fn count(&mut self, bytes: usize) {
        if let Some(client) = self.client.as_ref().filter(|_| bytes > 0) {
            client.add_bytes(bytes);
            self.counted += bytes;
        }
    }

    /// Waits until `missing` bytes are left, or until this body may exceed the budget. A body that must not wait does so only
    /// for connections that are closed for it.
    async fn wait_for(&mut self, missing: u32) -> Option<OwnedSemaphorePermit> {
        let BufferBudget { bytes, excess, .. } = self.budget.clone();
        let client = self.client.clone();
        let missing_bytes = usize::try_from(missing).unwrap_or(usize::MAX);
        let close_others = || {
            let client = client.as_ref();
            client.is_some_and(|it| it.close_others(missing_bytes))
        };
        let mut permit = std::pin::pin!(bytes.acquire_many_owned(missing));
        if !self.may_wait {
            if !close_others() {
                return None;
            }
            return tokio::time::timeout(CLOSE_WAIT, permit).await.ok()?.ok();
        }
        self.has_waited = true;
        let mut excess = std::pin::pin!(excess.acquire_owned());
        loop {
            close_others();
            tokio::select! {
                biased;
                // Neither semaphore is ever closed.
                Ok(permit) = permit.as_mut() => return Some(permit),
                Ok(permit) = excess.as_mut() => {
                    self.excess = Some(permit);
                    return None;
                }
                () = tokio::time::sleep(CLOSE_WAIT) => {}
            }
        }
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        if let Some(client) = self.client.as_ref().filter(|_| self.counted > 0) {
            client.remove_bytes(self.counted);
        }
    }
}

/// Time for which a body waits for the memory of connections that are being closed.
const CLOSE_WAIT: Duration = Duration::from_millis(250);

/// Size of a buffer that every body may use without a share of the budget.
const UNSHARED_BYTES: usize = 64 * 1024;
