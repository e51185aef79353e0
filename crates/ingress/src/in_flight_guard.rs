//! Tracks a request in flight to a replica until it ends in any way.

use std::sync::Arc;

use crate::entry_shared::EntryShared;

/// Counts a request in the load of a replica until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    shared: Arc<EntryShared>,
    replica: String,
    pending_prefill_tokens: u32,
}

impl InFlightGuard {
    pub(crate) fn new(shared: &Arc<EntryShared>, replica: &str, prompt_tokens: u32) -> Self {
        shared.state().loads.record_sent(replica, prompt_tokens);
        shared.load_changed.notify_one();
        Self {
            shared: shared.clone(),
            replica: replica.to_owned(),
            pending_prefill_tokens: prompt_tokens,
        }
    }

    /// Records that the replica has processed the prompt, since its first event has arrived.
    pub(crate) fn record_first_event(&mut self) {
        let mut state = self.shared.state();
        state
            .loads
            .record_first_event(&self.replica, self.pending_prefill_tokens);
        self.pending_prefill_tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .state()
            .loads
            .record_end(&self.replica, self.pending_prefill_tokens);
        self.shared.load_changed.notify_one();
    }
}
