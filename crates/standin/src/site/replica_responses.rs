//! Responses of a simulated replica.

use std::sync::Arc;
use std::time::Duration;

use httpio::{HttpBody, Response, StatusCode};

use crate::site::replica_faults::ReplicaCalls;
use crate::site::site_replica::ReplicaShared;

/// Adds the id of the request, which replicas echo in all their responses.
pub(crate) fn with_request_id(mut response: Response<HttpBody>, id: &str) -> Response<HttpBody> {
    if let Ok(value) = httpio::HeaderValue::from_str(id) {
        response.headers_mut().insert("request-id", value);
    }
    response
}

/// Streams events starting with number `first_event`. With `truncate_after`, aborts after that many events, in the
/// middle of the next one. With `unframed`, the stream has neither a length nor chunks, and its connection is closed in
/// order even if it is truncated.
pub(crate) fn stream_events(
    shared: &Arc<ReplicaShared>,
    id: &str,
    first_event: u64,
    truncate_after: Option<u64>,
    unframed: bool,
) -> Response<HttpBody> {
    let (sender, body) = httpio::stream(4);
    let (shared, id) = (shared.clone(), id.to_owned());
    tokio::spawn(async move {
        for number in first_event..=shared.last_event {
            tokio::time::sleep(shared.event_interval).await;
            shared.silences[&ReplicaCalls::Requests].wait().await;
            let event = format!("id: {number}\ndata: {id}/{number}\n\n");
            let is_truncated = truncate_after.is_some_and(|it| number >= first_event + it);
            let bytes = if is_truncated {
                event[..event.len() / 2].to_owned()
            } else {
                event
            };
            if sender.send(bytes.into()).await.is_err() {
                return;
            }
            if is_truncated {
                // `hyper` discards what it has not written yet when a body is aborted.
                tokio::time::sleep(shared.event_interval).await;
                if unframed {
                    sender.finish();
                }
                return;
            }
        }
        sender.finish();
    });
    let mut response = Response::new(body);
    if unframed {
        // `hyper` sends a body of unknown length without chunks only in HTTP/1.0 responses.
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    response
}

/// Returns a response that breaks off after its head, which is sent within `delay`.
pub(crate) fn response_without_body(delay: Duration) -> Response<HttpBody> {
    let (sender, body) = httpio::stream(1);
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        drop(sender);
    });
    Response::new(body)
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}
