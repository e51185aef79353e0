//! Tracks a request in flight to a replica until it ends in any way.

use std::sync::Arc;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;

/// Counts a request in the load of a replica until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    shared: Arc<EntryShared>,
    replica: String,
    pending_prefill_tokens: u32,
    /// Tokens that the request holds in the memory of the replica at most.
    held_tokens: u64,
}

impl InFlightGuard {
    pub(crate) fn new(
        shared: &Arc<EntryShared>,
        call: &ClientCall,
        replica: &str,
        prompt_tokens: u32,
    ) -> Self {
        let service = call.table.service(&call.service);
        let engine = service.and_then(|it| it.engine.as_ref());
        let engine = engine.filter(|it| it.token_capacity.is_some());
        let held_tokens = engine.map_or(0, |it| it.held_tokens(call.metadata.size));
        let mut state = shared.state();
        state.loads.record_sent(replica, prompt_tokens);
        state.loads.record_tokens(replica, held_tokens);
        drop(state);
        shared.load_changed.notify_one();
        Self {
            shared: shared.clone(),
            replica: replica.to_owned(),
            pending_prefill_tokens: prompt_tokens,
            held_tokens,
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
        let mut state = self.shared.state();
        let loads = &mut state.loads;
        loads.record_end(&self.replica, self.pending_prefill_tokens);
        loads.release_tokens(&self.replica, self.held_tokens);
        drop(state);
        self.shared.load_changed.notify_one();
    }
}
