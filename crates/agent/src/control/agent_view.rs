//! What the control thread lets the other threads see.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use model::{ConfigRevision, FencingNumber, Incarnation};
use serde_json::json;
use tokio::sync::Notify;

/// Control state as of the control thread's last step.
#[derive(Debug)]
pub(crate) struct AgentView {
    incarnation: Incarnation,
    state: Mutex<ViewState>,
    changed: Notify,
}

#[derive(Clone, Debug, Default)]
struct ViewState {
    revision: ConfigRevision,
    fencing: FencingNumber,
    entries: Vec<SocketAddr>,
    homes: Vec<SocketAddr>,
    engine_error: Option<String>,
}

impl AgentView {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn revision(&self) -> ConfigRevision {
        self.lock().revision
    }

    pub(crate) fn fencing(&self) -> FencingNumber {
        self.lock().fencing
    }

    pub(crate) fn publish(
        &self,
        revision: ConfigRevision,
        fencing: FencingNumber,
        engine_error: Option<String>,
    ) {
        let mut state = self.lock();
        state.revision = revision;
        state.fencing = fencing;
        state.engine_error = engine_error;
    }

    /// Tells the heartbeat that the target's state changed, so that entries need not wait for the next one.
    pub(crate) fn announce_change(&self) {
        self.changed.notify_one();
    }

    /// Waits until the target's state has changed.
    pub(crate) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Replaces the addresses of live entries.
    pub(crate) fn set_entries(&self, mut entries: Vec<SocketAddr>) {
        entries.sort_unstable();
        self.lock().entries = entries;
    }

    /// Replaces the addresses of the entries that should hear this agent, the best first.
    pub(crate) fn set_homes(&self, homes: Vec<SocketAddr>) {
        self.lock().homes = homes;
    }

    /// Returns where to send heartbeats, the best first: the homes, then any other entry known.
    pub(crate) fn homes_or(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut homes = self.lock().homes.clone();
        for entry in self.entries_or(seeds) {
            if !homes.contains(&entry) {
                homes.push(entry);
            }
        }
        homes
    }

    /// Returns the addresses of live entries, the settings' own where none are known.
    pub(crate) fn entries_or(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut entries = self.lock().entries.clone();
        for seed in seeds {
            if !entries.contains(seed) {
                entries.push(*seed);
            }
        }
        entries
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let state = self.lock().clone();
        json!({
            "incarnation": self.incarnation,
            "revision": state.revision,
            "fencing": state.fencing,
            "entries": state.entries,
            "engine_error": state.engine_error,
        })
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state
            .lock()
            .expect("no holder of the view's lock panics")
    }
}
