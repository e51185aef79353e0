//! The start of one attempt to serve a stream: up to the first event.

use std::sync::Arc;

use fleet::ChosenReplica;
use httpio::StatusCode;

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
/// `is_resumed` is whether the client has received events of another replica.
pub(crate) async fn start_attempt(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    chosen: ChosenReplica,
    last_event_id: Option<u64>,
    is_resumed: bool,
) -> AttemptStart {
    let mut segment = match StreamSegment::open(&shared, &call, &chosen, last_event_id).await {
        Ok(segment) => segment,
        Err(outcome) => return AttemptStart::Failed(chosen.replica.id, outcome),
    };
    // The rest of a stream that has begun can only be more of the same response.
    let is_expected = |it: StatusCode| it == StatusCode::OK || it.is_success() && !is_resumed;
    if !is_expected(segment.status()) {
        return AttemptStart::Error(Box::new(segment));
    }
    let read = segment.read_first_events().await;
    AttemptStart::Responded(Box::new(segment), read)
}
