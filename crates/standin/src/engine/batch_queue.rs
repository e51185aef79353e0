//! Places in the batch, by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

/// Hands out the places of a continuous batch, the highest priority and then the longest wait first.
#[derive(Clone, Debug)]
pub(crate) struct BatchQueue {
    inner: Arc<Mutex<QueueInner>>,
}

/// A place in the batch, which is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct BatchPlace {
    queue: BatchQueue,
}

/// A request in the queue, which leaves it when this is dropped before a place was given.
#[derive(Debug)]
pub(crate) struct QueueTicket {
    queue: BatchQueue,
    rank: QueueRank,
    given: oneshot::Receiver<BatchPlace>,
}

type QueueRank = (Reverse<u8>, u64);

#[derive(Debug)]
struct QueueInner {
    places: usize,
    used: usize,
    next: u64,
    waiting: BTreeMap<QueueRank, oneshot::Sender<BatchPlace>>,
}

impl BatchQueue {
    pub(crate) fn new(places: usize) -> Self {
        let inner = QueueInner {
            places,
            used: 0,
            next: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Joins the queue with `priority`.
    pub(crate) fn join(&self, priority: u8) -> QueueTicket {
        let (sender, given) = oneshot::channel();
        let rank = {
            let mut inner = self.inner();
            let rank = (Reverse(priority), inner.next);
            inner.next += 1;
            inner.waiting.insert(rank, sender);
            rank
        };
        self.fill();
        QueueTicket {
            queue: self.clone(),
            rank,
            given,
        }
    }

    /// Returns the requests that hold a place and those that wait.
    pub(crate) fn lengths(&self) -> (usize, usize) {
        let inner = self.inner();
        (inner.used, inner.waiting.len())
    }

    /// Gives free places to those that wait.
    fn fill(&self) {
        loop {
            let sender = {
                let mut inner = self.inner();
                if inner.used >= inner.places {
                    return;
                }
                let Some((_, sender)) = inner.waiting.pop_first() else {
                    return;
                };
                inner.used += 1;
                sender
            };
            // A ticket that was dropped meanwhile drops the place, which calls this function again.
            let _ = sender.send(BatchPlace {
                queue: self.clone(),
            });
        }
    }

    fn inner(&self) -> MutexGuard<'_, QueueInner> {
        self.inner
            .lock()
            .expect("no holder of the queue's lock panics")
    }
}

impl QueueTicket {
    /// Waits for a place.
    pub(crate) async fn wait(&mut self) -> Option<BatchPlace> {
        (&mut self.given).await.ok()
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        self.queue.inner().waiting.remove(&self.rank);
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        self.queue.inner().used -= 1;
        self.queue.fill();
    }
}
