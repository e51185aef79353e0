//! A request in progress at a replica, counted until it ends in whatever way.

use std::sync::Arc;

use crate::entry_shared::EntryShared;

/// Counts a send on the load board, and takes it off when it is dropped.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    shared: Arc<EntryShared>,
    replica: String,
    unread_tokens: u32,
}

impl FlightGuard {
    pub(crate) fn new(shared: &Arc<EntryShared>, replica: &str, prompt_tokens: u32) -> Self {
        shared.state().board.record_sent(replica, prompt_tokens);
        shared.load_changed.notify_one();
        Self {
            shared: shared.clone(),
            replica: replica.to_owned(),
            unread_tokens: prompt_tokens,
        }
    }

    /// Notes that the prompt has been read, because the first event is there.
    pub(crate) fn first_event(&mut self) {
        let mut state = self.shared.state();
        state
            .board
            .record_first_event(&self.replica, self.unread_tokens);
        self.unread_tokens = 0;
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.shared
            .state()
            .board
            .record_end(&self.replica, self.unread_tokens);
        self.shared.load_changed.notify_one();
    }
}
