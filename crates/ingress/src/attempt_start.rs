//! The start of one attempt to serve a stream: up to the first event.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fleet::ChosenReplica;
use httpio::StatusCode;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::replica_send::{NotRunReason, SendOutcome};
use crate::stream_segment::{SegmentRead, StreamSegment};
use crate::switch_guard;

/// How an attempt began.
pub(crate) enum AttemptStart {
    /// The replica responded with success; contains the first events or the end of the stream.
    Responded(Box<StreamSegment>, SegmentRead),
    /// The replica responded with an error.
    Error(Box<StreamSegment>),
    /// The replica with this id has sent no usable response.
    Failed(String, SendOutcome),
    /// The request had not begun at the replica with this id when its weights became too old.
    Withdrawn(String),
}

/// Sends the request to `chosen` and waits for the first event, or until the weights of the replica are too old.
/// `is_resumed` is whether the client has received events of another replica.
pub(crate) async fn start_attempt(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    chosen: ChosenReplica,
    last_event_id: Option<u64>,
    is_resumed: bool,
) -> AttemptStart {
    let mut withdrawal = pin!(switch_guard::withdrawal_due(&shared, &chosen));
    let withdrawn = |has_head, late| {
        switch_guard::record_withdrawal(&shared, &call, &chosen, has_head, late);
        AttemptStart::Withdrawn(chosen.replica.id.clone())
    };
    let is_sent = AtomicBool::new(false);
    let opened = tokio::select! {
        biased;
        opened = StreamSegment::open(&shared, &call, &chosen, last_event_id, &is_sent) => opened,
        late = &mut withdrawal => match is_sent.load(Ordering::Relaxed) {
            true => return withdrawn(false, late),
            false => Err(SendOutcome::NotRun(NotRunReason::Outdated)),
        }
    };
    let mut segment = match opened {
        Ok(segment) => segment,
        Err(outcome) => return AttemptStart::Failed(chosen.replica.id.clone(), outcome),
    };
    // The rest of a stream that has begun can only be more of the same response.
    let is_expected = |it: StatusCode| it == StatusCode::OK || it.is_success() && !is_resumed;
    if !is_expected(segment.status()) {
        return AttemptStart::Error(Box::new(segment));
    }
    let read = tokio::select! {
        biased;
        read = segment.read_events() => read,
        late = &mut withdrawal => return withdrawn(true, late),
    };
    AttemptStart::Responded(Box::new(segment), read)
}
