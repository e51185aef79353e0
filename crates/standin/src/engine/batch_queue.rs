//! Assignment of batch slots by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

/// Assigns the slots of a continuous batch to waiting requests: highest priority first, then first come, first served.
#[derive(Clone, Debug)]
pub(crate) struct BatchQueue {
    inner: Arc<Mutex<QueueInner>>,
}

/// A slot in the batch. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct BatchSlot {
    queue: BatchQueue,
}

/// A waiting request. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    queue: BatchQueue,
    key: QueueKey,
    granted: oneshot::Receiver<BatchSlot>,
}

type QueueKey = (Reverse<u8>, u64);

#[derive(Debug)]
struct QueueInner {
    capacity: usize,
    occupied: usize,
    next_sequence: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<BatchSlot>>,
}

impl BatchQueue {
    pub(crate) fn new(capacity: usize) -> Self {
        let inner = QueueInner {
            capacity,
            occupied: 0,
            next_sequence: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Adds a request with `priority` to the queue.
    pub(crate) fn join(&self, priority: u8) -> QueueTicket {
        let (sender, granted) = oneshot::channel();
        let key = {
            let mut inner = self.inner();
            let key = (Reverse(priority), inner.next_sequence);
            inner.next_sequence += 1;
            inner.waiting.insert(key, sender);
            key
        };
        self.grant_free_slots();
        QueueTicket {
            queue: self.clone(),
            key,
            granted,
        }
    }

    /// Returns the numbers of occupied slots and of waiting requests.
    pub(crate) fn occupancy(&self) -> (usize, usize) {
        let inner = self.inner();
        (inner.occupied, inner.waiting.len())
    }

    /// Assigns free slots to waiting requests.
    fn grant_free_slots(&self) {
        loop {
            let sender = {
                let mut inner = self.inner();
                if inner.occupied >= inner.capacity {
                    return;
                }
                let Some((_, sender)) = inner.waiting.pop_first() else {
                    return;
                };
                inner.occupied += 1;
                sender
            };
            // If the ticket was dropped in the meantime, the unsent slot is dropped, which calls this function again.
            let _ = sender.send(BatchSlot {
                queue: self.clone(),
            });
        }
    }

    fn inner(&self) -> MutexGuard<'_, QueueInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the queue lock")
    }
}

impl QueueTicket {
    /// Waits for a slot. Returns `None` if the queue dropped the request without granting one.
    pub(crate) async fn wait(&mut self) -> Option<BatchSlot> {
        (&mut self.granted).await.ok()
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.queue.inner().waiting.remove(&self.key);
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.queue.inner().occupied -= 1;
        self.queue.grant_free_slots();
    }
}
