//! The start of one attempt to serve a stream: up to the first event.

use std::sync::Arc;

use fleet::ChosenReplica;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::replica_send::SendOutcome;
use crate::stream_segment::{SegmentRead, StreamSegment};

/// How an attempt began.
pub(crate) enum AttemptStart {
    /// The replica responded with success; contains the first events or the end of the stream.
    Responded(Box<StreamSegment>, SegmentRead),
    /// The replica responded with an error.
    Error(Box<StreamSegment>),
    /// The replica with this id has sent no usable response.
    Failed(String, SendOutcome),
}

/// Sends the request to `chosen` and waits for the first event, or until the weights of the replica are too old.
pub(crate) async fn start_attempt(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    chosen: ChosenReplica,
    last_event_id: Option<u64>,
) -> AttemptStart {
    let mut segment = match StreamSegment::open(&shared, &call, &chosen, last_event_id).await {
        Ok(segment) => segment,
        Err(outcome) => return AttemptStart::Failed(chosen.replica.id, outcome),
    };
    if !segment.status().is_success() {
        return AttemptStart::Error(Box::new(segment));
    }
    let read = segment.read_first_events().await;
    AttemptStart::Responded(Box::new(segment), read)
}
