//! Relays streams: complete events are forwarded as they arrive, and an interrupted stream is resumed at another
//! replica.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ChosenReplica, LogKind, StreamCursor};
use httpio::{BodySender, Response};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::replica_send::return_connection;
use crate::request_handler::{RelayOutcome, acquire_retry, choose_replica, log_denial};
use crate::retry_denial::RetryDenial;
use crate::stream_segment::{MIN_RESUME_TIME, SegmentRead, StreamSegment, millis};

/// Sends `call` to `chosen` and waits for the first event. Then returns the response, whose body is relayed by a
/// separate task.
pub(crate) async fn start(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
) -> RelayOutcome {
    let mut cursor = StreamCursor::new(call.metadata.last_event_id);
    let mut segment =
        match StreamSegment::open(shared, call, chosen, call.metadata.last_event_id).await {
            Ok(segment) => segment,
            Err(outcome) => return outcome,
        };
    if !segment.pooled_response.response.status().is_success() {
        return relay_error_response(shared, call, segment).await;
    }
    let wait = chosen
        .first_event_timeout(&call.route)
        .saturating_sub(segment.elapsed());
    let first_events = match segment
        .read_events(&mut cursor, wait.min(call.time_remaining()))
        .await
    {
        SegmentRead::Events(bytes) => bytes,
        SegmentRead::Complete(bytes) => {
            segment.record_completion(shared);
            let response = segment.response_head();
            return RelayOutcome::Response(response.map(|()| httpio::full(bytes)));
        }
        SegmentRead::Interrupted(interruption) => {
            segment.record_interruption(shared, call, interruption, &cursor);
            return RelayOutcome::Unknown;
        }
    };
    segment.record_first_event(shared, call);
    let (sender, body) = httpio::stream(BUFFERED_CHUNKS);
    let response = segment.response_head().map(|()| body);
    tokio::spawn(relay(
        shared.clone(),
        call.clone(),
        segment,
        cursor,
        sender,
        first_events,
    ));
    RelayOutcome::Response(response)
}

/// Forwards an error response of a replica unchanged.
async fn relay_error_response(
    shared: &EntryShared,
    call: &ClientCall,
    segment: StreamSegment,
) -> RelayOutcome {
    let (parts, body) = segment.pooled_response.response.into_parts();
    let status = parts.status;
    if status.is_server_error()
        && call.route.is_retryable()
        && call.sends() < call.route.max_attempts
    {
        return RelayOutcome::Unknown;
    }
    match httpio::read_limited(body, MAX_ERROR_RESPONSE_BYTES, call.time_remaining()).await {
        Ok(bytes) => {
            let mut response = Response::new(httpio::full(bytes));
            *response.status_mut() = status;
            *response.headers_mut() = platform::forwarded_response_headers(&parts.headers);
            RelayOutcome::Response(response)
        }
        Err(err) => {
            info!(shared.log, "reading the response failed"; "request" => call.id(), "error" => err.to_string());
            RelayOutcome::Unknown
        }
    }
}

/// Relays a stream to its end. Returning without finishing the sender breaks off the response to the client.
async fn relay(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    mut segment: StreamSegment,
    mut cursor: StreamCursor,
    sender: BodySender,
    first_events: Bytes,
) {
    let mut tried = vec![segment.chosen.replica.id.clone()];
    let mut longest_pause = Duration::ZERO;
    let mut last_read = Instant::now();
    let mut read = SegmentRead::Events(first_events);
    let outcome = loop {
        match read {
            SegmentRead::Events(bytes) => {
                if sender.send(bytes).await.is_err() {
                    break "client_left";
                }
            }
            SegmentRead::Complete(rest) => {
                segment.record_completion(&shared);
                if !rest.is_empty() && sender.send(rest).await.is_err() {
                    break "client_left";
                }
                sender.finish();
                let (_, connection, address) = segment.pooled_response.into_parts();
                return_connection(&shared, connection, address, &segment.metadata);
                break "complete";
            }
            SegmentRead::Interrupted(interruption) => {
                segment.record_interruption(&shared, &call, interruption, &cursor);
                match resume(&shared, &call, &mut tried, &mut cursor).await {
                    Ok(resumed) => (segment, read) = resumed,
                    Err(denial) => {
                        log_denial(&shared, &call, denial, &tried);
                        break "cut";
                    }
                }
                continue;
            }
        }
        let event_timeout = call.route.event_timeout().unwrap_or(Duration::MAX);
        let wait = event_timeout.min(call.time_remaining());
        let reading = pin!(segment.read_events(&mut cursor, wait));
        read = tokio::select! {
            biased;
            read = reading => read,
            () = sender.closed() => break "client_left",
        };
        longest_pause = longest_pause.max(last_read.elapsed());
        last_read = Instant::now();
    };
    shared
        .metrics
        .longest_pause
        .observe(longest_pause.as_secs_f64());
    shared
        .metrics
        .requests
        .with_label_values(&["stream_end", "200", outcome])
        .inc();
    let kind = if outcome == "complete" {
        LogKind::Served
    } else {
        LogKind::Failed
    };
    if shared.may_log(kind) {
        info!(
            shared.log, "stream ended";
            "request" => call.id(),
            "outcome" => outcome,
            "replica" => tried.last(),
            "last_event" => cursor.last_id(),
            "longest_pause_ms" => millis(longest_pause),
            "ms" => millis(call.arrived.elapsed()),
        );
    }
}

/// Resumes the stream at another replica after the last forwarded event; returns the new segment and what was read first.
async fn resume(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    tried: &mut Vec<String>,
    cursor: &mut StreamCursor,
) -> Result<(StreamSegment, SegmentRead), RetryDenial> {
    if !call.route.is_retryable() {
        return Err(RetryDenial::NotRepeatable);
    }
    loop {
        if call.time_remaining() < MIN_RESUME_TIME {
            return Err(RetryDenial::Deadline);
        }
        acquire_retry(shared, call, true)?;
        let chosen = choose_replica(shared, call, tried, cursor.last_id())?;
        call.record_send();
        tried.push(chosen.replica.id.clone());
        info!(
            shared.log, "stream resumed";
            "request" => call.id(),
            "replica" => &chosen.replica.id,
            "after_event" => cursor.last_id(),
        );
        cursor.start_segment();
        let Ok(mut segment) = StreamSegment::open(shared, call, &chosen, cursor.last_id()).await
        else {
            continue;
        };
        if !segment.pooled_response.response.status().is_success() {
            continue;
        }
        let wait = chosen
            .first_event_timeout(&call.route)
            .min(call.time_remaining());
        match segment.read_events(cursor, wait).await {
            SegmentRead::Interrupted(interruption) => {
                segment.record_interruption(shared, call, interruption, cursor);
            }
            read => {
                segment.record_resumed();
                return Ok((segment, read));
            }
        }
    }
}

/// Capacity of the channel between reading from a replica and writing to a client.
const BUFFERED_CHUNKS: usize = 4;

/// Maximum size of a forwarded error response in bytes.
const MAX_ERROR_RESPONSE_BYTES: usize = 1024 * 1024;
