//! Requests in flight and overload state of an entry.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use model::OverloadCause;
use routing::{OverloadTracker, OverloadTransition};

/// Counts the entry's requests in flight and tracks its overload state.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    in_flight: AtomicU32,
    bodies_refused: AtomicU64,
    available_retries: AtomicU32,
    overload: Mutex<OverloadTracker>,
    transitions: Mutex<Vec<OverloadTransition>>,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<CallCounters>);

impl CallCounters {
    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight, or returns `None` if `max_in_flight` requests already are.
    pub(crate) fn try_start(counters: &Arc<Self>, max_in_flight: usize) -> Option<CallGuard> {
        if counters.in_flight.fetch_add(1, Ordering::Relaxed) as usize >= max_in_flight {
            counters.in_flight.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(CallGuard(counters.clone()))
    }

    /// Records that a body was refused because others left too little memory.
    pub(crate) fn on_body_refused(&self) {
        self.bodies_refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of bodies that were refused because others left too little memory.
    pub(crate) fn bodies_refused(&self) -> u64 {
        self.bodies_refused.load(Ordering::Relaxed)
    }

    /// Records the number of retries that the budget allows now.
    pub(crate) fn set_available_retries(&self, count: u32) {
        self.available_retries.store(count, Ordering::Relaxed);
    }

    /// Returns the number of retries that the budget allowed after it last changed.
    pub(crate) fn available_retries(&self) -> u32 {
        self.available_retries.load(Ordering::Relaxed)
    }

    /// Records a refusal because of overload.
    pub(crate) fn on_overload(&self, cause: OverloadCause) {
        let transition = self.tracker().on_signal(Instant::now(), cause);
        self.record_transition(transition);
    }

    /// Returns the duration of the current overload in milliseconds and its first cause, or `None` without overload.
    pub(crate) fn overload(&self) -> Option<(u64, OverloadCause)> {
        let now = Instant::now();
        let transition = self.tracker().on_tick(now);
        self.record_transition(transition);
        let state = self.tracker().state(now)?;
        let time = now.duration_since(state.since);
        Some((time.as_millis() as u64, state.cause))
    }

    /// Removes and returns the overload transitions that have not been logged yet.
    pub(crate) fn take_transitions(&self) -> Vec<OverloadTransition> {
        std::mem::take(
            &mut *self
                .transitions
                .lock()
                .expect("no thread panics while it holds the counter lock"),
        )
    }

    fn record_transition(&self, transition: Option<OverloadTransition>) {
        let mut transitions = self
            .transitions
            .lock()
            .expect("no thread panics while it holds the counter lock");
        transitions.extend(transition);
    }

    fn tracker(&self) -> std::sync::MutexGuard<'_, OverloadTracker> {
        self.overload
            .lock()
            .expect("no thread panics while it holds the counter lock")
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
