//! Relays streams: complete events are forwarded as they arrive, and an interrupted stream is resumed at another
//! replica.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::LogKind;
use httpio::{BodySender, HttpBody, Response};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::refusal::Refusal;
use crate::stream_attempts::{StreamAttempts, StreamRead};
use crate::stream_segment::{StreamSegment, millis};

/// Waits for the first event of a stream. Then returns the response, whose body is relayed by a separate task.
///
/// # Errors
///
/// Returns the refusal for the client if no replica responds.
pub(crate) async fn respond(
    shared: &Arc<EntryShared>,
    call: Arc<ClientCall>,
) -> Result<Response<HttpBody>, Refusal> {
    let mut attempts = StreamAttempts::new(shared.clone(), call.clone());
    match attempts.read().await {
        StreamRead::Events(bytes) => {
            let (sender, body) = httpio::stream(BUFFERED_CHUNKS);
            let response = attempts.response_head().map(|()| body);
            tokio::spawn(relay(shared.clone(), call, attempts, sender, bytes));
            Ok(response)
        }
        StreamRead::Complete(head, bytes) => Ok(head.map(|()| httpio::full(bytes))),
        StreamRead::Error(segment) => read_error_response(shared, &call, *segment).await,
        StreamRead::Ended(refusal) => Err(refusal),
    }
}

/// Reads an error response of a replica and returns it unchanged.
async fn read_error_response(
    shared: &EntryShared,
    call: &ClientCall,
    segment: StreamSegment,
) -> Result<Response<HttpBody>, Refusal> {
    let head = segment.response_head();
    let body = segment.pooled_response.response.into_body();
    match httpio::read_limited(body, MAX_ERROR_RESPONSE_BYTES, call.time_remaining()).await {
        Ok(bytes) => Ok(head.map(|()| httpio::full(bytes))),
        Err(err) => {
            info!(shared.log, "reading the response failed"; "request" => call.id(), "error" => err.to_string());
            Err(Refusal::Unknown)
        }
    }
}

/// Relays a stream to its end. Returning without finishing the sender breaks off the response to the client.
async fn relay(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    mut attempts: StreamAttempts,
    sender: BodySender,
    first_events: Bytes,
) {
    let mut longest_pause = Duration::ZERO;
    let mut last_read = Instant::now();
    let mut read = StreamRead::Events(first_events);
    let outcome = loop {
        match read {
            StreamRead::Events(bytes) => {
                if sender.send(bytes).await.is_err() {
                    break "client_left";
                }
            }
            StreamRead::Complete(_, rest) => {
                if !rest.is_empty() && sender.send(rest).await.is_err() {
                    break "client_left";
                }
                sender.finish();
                break "complete";
            }
            StreamRead::Error(_) | StreamRead::Ended(_) => break "cut",
        }
        read = tokio::select! {
            biased;
            read = attempts.read() => read,
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
    let gap = attempts.end_switch_wait(match outcome {
        "client_left" => "client_left",
        _ => "lost",
    });
    if let Some(gap) = gap {
        gap.record(&shared);
    }
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
            "after_switch" => gap.map(|it| it.outcome),
            "replica" => attempts.last_replica(),
            "last_event" => attempts.last_event_id(),
            "longest_pause_ms" => millis(longest_pause),
            "ms" => millis(call.arrived.elapsed()),
            "tenant" => call.tenant_name(),
            "config" => call.table.version(),
            "config_age_ms" => call.config_age.map(millis),
        );
    }
}

/// Capacity of the channel between reading from a replica and writing to a client.
const BUFFERED_CHUNKS: usize = 4;

/// Maximum size of a forwarded error response in bytes.
const MAX_ERROR_RESPONSE_BYTES: usize = 1024 * 1024;
