//! Control state that the threads of the agent share.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use model::{ConfigRevision, FencingNumber, Incarnation};
use serde_json::json;
use tokio::sync::Notify;

/// The control thread's last published state, and the entries known from heartbeats.
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
    home_entries: Vec<SocketAddr>,
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

    /// Replaces the state that the control thread publishes.
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

    /// Triggers a heartbeat because the target's state has changed, instead of waiting for the next interval.
    pub(crate) fn notify_change(&self) {
        self.changed.notify_one();
    }

    /// Waits for the next call of [`Self::notify_change`].
    pub(crate) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Sets the addresses of the live entries.
    pub(crate) fn set_entries(&self, mut entries: Vec<SocketAddr>) {
        entries.sort_unstable();
        self.lock().entries = entries;
    }

    /// Sets the addresses of the entries that should receive this agent's heartbeats, in order of preference.
    pub(crate) fn set_home_entries(&self, home_entries: Vec<SocketAddr>) {
        self.lock().home_entries = home_entries;
    }

    /// Returns the entries to send heartbeats to, in order of preference: the home entries, then all other known
    /// entries.
    pub(crate) fn heartbeat_entries(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut home_entries = self.lock().home_entries.clone();
        for entry in self.known_entries(seeds) {
            if !home_entries.contains(&entry) {
                home_entries.push(entry);
            }
        }
        home_entries
    }

    /// Returns the addresses of the live entries, followed by those of `seeds` that are not among them.
    pub(crate) fn known_entries(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
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
            .expect("no thread panics while it holds the view lock")
    }
}
