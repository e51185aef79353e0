//! Answers that are read whole before they are passed on.

use std::sync::Arc;

use fleet::{ChosenReplica, LogKind};
use httpio::{Response, StatusCode};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::FlightGuard;
use crate::replica_send::{SendEnd, recycle, send};
use crate::request_handler::{RelayEnd, may_send_again};

/// Sends `call` to `chosen` and reads the whole answer, so that a broken one never reaches the client.
pub(crate) async fn relay(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
) -> RelayEnd {
    let _guard = FlightGuard::new(shared, &chosen.replica.id, 0);
    let end = send(
        shared,
        call,
        chosen,
        call.facts.last_event,
        call.time_left(),
    )
    .await;
    let (reply, facts) = match end {
        SendEnd::Answered(reply, facts) => (*reply, facts),
        failed => return RelayEnd::of_failed_send(&failed),
    };
    let status = reply.response.status();
    let (response, sender, address) = reply.into_parts();
    let (parts, body) = response.into_parts();
    let bytes = match httpio::read_limited(body, MAX_ANSWER_BYTES, call.time_left()).await {
        Ok(bytes) => bytes,
        Err(err) => {
            if shared.may_log(LogKind::Failed) {
                info!(
                    shared.log, "answer broke off";
                    "request" => call.id(),
                    "replica" => &chosen.replica.id,
                    "error" => err.to_string(),
                );
            }
            return RelayEnd::Unknown;
        }
    };
    recycle(shared, sender, address, &facts);
    let is_failure = status == StatusCode::INTERNAL_SERVER_ERROR;
    if is_failure && call.route.may_repeat() && may_send_again(shared, call, true) {
        // The budget was taken here; the caller's loop must not take it twice.
        return retry_elsewhere(shared, call, chosen)
            .await
            .unwrap_or_else(|| RelayEnd::Answer(build(parts, bytes)));
    }
    RelayEnd::Answer(build(parts, bytes))
}

/// Sends a request that a replica failed to another one, or returns `None` when that brings no answer either.
async fn retry_elsewhere(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    failed: &ChosenReplica,
) -> Option<RelayEnd> {
    let tried = [failed.replica.id.clone()];
    let other = crate::request_handler::choose(shared, call, &tried, call.facts.last_event).ok()?;
    call.note_send();
    match Box::pin(relay(shared, call, &other)).await {
        RelayEnd::Answer(response) => Some(RelayEnd::Answer(response)),
        RelayEnd::NotRun(_) | RelayEnd::Unknown => None,
    }
}

fn build(mut parts: http::response::Parts, bytes: bytes::Bytes) -> Response<httpio::ReplyBody> {
    parts.headers = platform::returned_headers(&parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, httpio::full(bytes))
}

/// Bytes of an answer that is read whole; answers of plain services are a few kilobytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
