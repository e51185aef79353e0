//! Counts of requests in progress and signs of overload.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use model::OverloadCause;
use routing::{OverloadTracker, OverloadTransition};

/// Counts requests in progress on this entry and knows whether it is overloaded.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    in_flight: AtomicU32,
    overload: Mutex<OverloadTracker>,
    transitions: Mutex<Vec<OverloadTransition>>,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub(crate) struct CallGuard(Arc<CallCounters>);

impl CallCounters {
    /// Returns the number of requests in progress.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts one more request unless `max` are in progress.
    pub(crate) fn try_start(counters: &Arc<Self>, max_in_flight: usize) -> Option<CallGuard> {
        if counters.in_flight.fetch_add(1, Ordering::Relaxed) as usize >= max_in_flight {
            counters.in_flight.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(CallGuard(counters.clone()))
    }

    /// Notes a refusal for load.
    pub(crate) fn on_overload(&self, cause: OverloadCause) {
        let transition = self.tracker().on_signal(Instant::now(), cause);
        self.record_transition(transition);
    }

    /// Returns how long the entry has been overloaded, in milliseconds, and what showed it first.
    pub(crate) fn overload(&self) -> Option<(u64, OverloadCause)> {
        let now = Instant::now();
        let transition = self.tracker().on_tick(now);
        self.record_transition(transition);
        let state = self.tracker().state(now)?;
        let time = now.duration_since(state.since);
        Some((time.as_millis() as u64, state.cause))
    }

    /// Takes the changes that have not been logged yet.
    pub(crate) fn take_transitions(&self) -> Vec<OverloadTransition> {
        std::mem::take(
            &mut *self
                .transitions
                .lock()
                .expect("no holder of the lock panics"),
        )
    }

    fn record_transition(&self, transition: Option<OverloadTransition>) {
        let mut transitions = self
            .transitions
            .lock()
            .expect("no holder of the lock panics");
        transitions.extend(transition);
    }

    fn tracker(&self) -> std::sync::MutexGuard<'_, OverloadTracker> {
        self.overload.lock().expect("no holder of the lock panics")
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
