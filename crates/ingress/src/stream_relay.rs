//! Relays streams: complete events are forwarded as they arrive, and an interrupted stream is resumed at another
//! replica.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ChosenReplica, LogKind, ReplicaOutcome, StreamCursor};
use http_body_util::BodyExt;
use httpio::{BodySender, Incoming, PooledResponse, Response};
use platform::ResponseMetadata;
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::InFlightGuard;
use crate::replica_send::{SendOutcome, return_connection, send};
use crate::request_handler::{RelayOutcome, choose_replica, may_retry};

/// The segment of a stream that one replica sends.
struct StreamSegment {
    pooled_response: PooledResponse,
    metadata: ResponseMetadata,
    guard: InFlightGuard,
    chosen: ChosenReplica,
    sent_at: Instant,
}

/// Result of reading from a segment.
enum SegmentRead {
    /// Complete events.
    Events(Bytes),
    /// The stream has ended; contains any bytes after the last complete event.
    Complete(Bytes),
    /// The connection was lost, the replica stalled, or it sent an invalid event. Contains the reason for logs.
    Interrupted(&'static str),
}

/// Sends `call` to `chosen` and waits for the first event. Then returns the response, whose body is relayed by a
/// separate task.
pub(crate) async fn start(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
) -> RelayOutcome {
    let mut cursor = StreamCursor::new(call.metadata.last_event_id);
    let mut segment = match open_segment(shared, call, chosen, call.metadata.last_event_id).await {
        Ok(segment) => segment,
        Err(outcome) => return outcome,
    };
    if !segment.pooled_response.response.status().is_success() {
        return relay_error_response(shared, call, segment).await;
    }
    let wait = first_event_timeout(chosen).saturating_sub(segment.sent_at.elapsed());
    let first_events =
        match read_events(&mut segment, &mut cursor, wait.min(call.time_remaining())).await {
            SegmentRead::Events(bytes) => bytes,
            SegmentRead::Complete(bytes) => {
                let response = response_head(&segment);
                return RelayOutcome::Response(response.map(|()| httpio::full(bytes)));
            }
            SegmentRead::Interrupted(reason) => {
                record_interruption(shared, call, &segment, reason, &cursor);
                return RelayOutcome::Unknown;
            }
        };
    record_first_event(shared, call, &mut segment);
    let (sender, body) = httpio::stream(BUFFERED_CHUNKS);
    let response = response_head(&segment).map(|()| body);
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

async fn open_segment(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
    last_event_id: Option<u64>,
) -> Result<StreamSegment, RelayOutcome> {
    let guard = InFlightGuard::new(shared, &chosen.replica.id, call.metadata.size.prompt_tokens);
    let sent_at = Instant::now();
    let wait = first_event_timeout(chosen).min(call.time_remaining());
    match send(shared, call, chosen, last_event_id, wait).await {
        SendOutcome::Response(pooled_response, metadata) => Ok(StreamSegment {
            pooled_response: *pooled_response,
            metadata,
            guard,
            chosen: chosen.clone(),
            sent_at,
        }),
        failed => Err(RelayOutcome::from_failed_send(&failed)),
    }
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

fn response_head(segment: &StreamSegment) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = segment.pooled_response.response.status();
    *response.headers_mut() =
        platform::forwarded_response_headers(segment.pooled_response.response.headers());
    response
}

/// Relays a stream to its end. Dropping the sender completes the response body; sending an error aborts it.
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
    let mut events = first_events;
    let outcome = loop {
        if !forward(&sender, events).await {
            break "client_left";
        }
        let wait = EVENT_TIMEOUT.min(call.time_remaining());
        let event = {
            let reading = pin!(read_events(&mut segment, &mut cursor, wait));
            tokio::select! {
                biased;
                event = reading => event,
                () = sender.closed() => break "client_left",
            }
        };
        longest_pause = longest_pause.max(last_read.elapsed());
        last_read = Instant::now();
        events = match event {
            SegmentRead::Events(bytes) => bytes,
            SegmentRead::Complete(bytes) => {
                if !bytes.is_empty() {
                    forward(&sender, bytes).await;
                }
                let (_, connection, address) = segment.pooled_response.into_parts();
                return_connection(&shared, connection, address, &segment.metadata);
                break "complete";
            }
            SegmentRead::Interrupted(reason) => {
                record_interruption(&shared, &call, &segment, reason, &cursor);
                match resume(&shared, &call, &mut tried, &mut cursor).await {
                    Some((next_segment, bytes)) => {
                        segment = next_segment;
                        bytes
                    }
                    None => {
                        let interruption = std::io::Error::other("the stream was interrupted");
                        // A send error means that the client has disconnected as well.
                        let _ = sender.send(Err(interruption)).await;
                        break "cut";
                    }
                }
            }
        };
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

/// Resumes the stream at another replica after the last forwarded event; returns the new segment and its first events.
async fn resume(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    tried: &mut Vec<String>,
    cursor: &mut StreamCursor,
) -> Option<(StreamSegment, Bytes)> {
    cursor.drop_partial();
    if !call.route.is_retryable() {
        return None;
    }
    loop {
        if call.time_remaining() < MIN_RESUME_TIME || !may_retry(shared, call, true) {
            return None;
        }
        let chosen = choose_replica(shared, call, tried, cursor.last_id()).ok()?;
        call.record_send();
        tried.push(chosen.replica.id.clone());
        info!(
            shared.log, "stream resumed";
            "request" => call.id(),
            "replica" => &chosen.replica.id,
            "after_event" => cursor.last_id(),
        );
        let Ok(mut segment) = open_segment(shared, call, &chosen, cursor.last_id()).await else {
            continue;
        };
        if !segment.pooled_response.response.status().is_success() {
            continue;
        }
        match read_events(
            &mut segment,
            cursor,
            first_event_timeout(&chosen).min(call.time_remaining()),
        )
        .await
        {
            SegmentRead::Events(bytes) => {
                segment.guard.record_first_event();
                return Some((segment, bytes));
            }
            SegmentRead::Complete(bytes) => return Some((segment, bytes)),
            SegmentRead::Interrupted(reason) => {
                record_interruption(shared, call, &segment, reason, cursor);
                cursor.drop_partial();
            }
        }
    }
}

async fn read_events(
    segment: &mut StreamSegment,
    cursor: &mut StreamCursor,
    wait: Duration,
) -> SegmentRead {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let body: &mut Incoming = segment.pooled_response.response.body_mut();
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Err(_) => return SegmentRead::Interrupted("stalled"),
            Ok(None) => return SegmentRead::Complete(Bytes::from(cursor.take_partial())),
            Ok(Some(Err(_))) => return SegmentRead::Interrupted("connection_lost"),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match cursor.push(&data) {
            Ok(Some(events)) => return SegmentRead::Events(Bytes::from(events.bytes)),
            Ok(None) => {}
            Err(_) => return SegmentRead::Interrupted("bad_event"),
        }
    }
}

async fn forward(sender: &BodySender, bytes: Bytes) -> bool {
    sender
        .send(Ok(hyper::body::Frame::data(bytes)))
        .await
        .is_ok()
}

fn record_first_event(shared: &EntryShared, call: &ClientCall, segment: &mut StreamSegment) {
    segment.guard.record_first_event();
    let observed = segment.sent_at.elapsed().as_secs_f64();
    let predicted = segment.chosen.predicted_ms;
    shared
        .metrics
        .first_event
        .observe(call.arrived.elapsed().as_secs_f64());
    shared
        .metrics
        .prediction_ratio
        .observe(observed * 1000.0 / predicted.max(1.0));
    let now = Instant::now();
    let id = &segment.chosen.replica.id;
    shared
        .state()
        .health
        .record_first_event(id, observed * 1000.0, predicted, now);
    if shared.may_log(LogKind::Served) {
        info!(
            shared.log, "first event";
            "request" => call.id(),
            "replica" => id,
            "replica_zone" => &segment.chosen.replica.zone,
            "sent_ms" => (observed * 1000.0).round(),
            "predicted_ms" => predicted.round(),
            "ms" => millis(call.arrived.elapsed()),
            "version" => segment.metadata.version,
            "config" => call.table.version(),
        );
    }
}

fn record_interruption(
    shared: &EntryShared,
    call: &ClientCall,
    segment: &StreamSegment,
    reason: &str,
    cursor: &StreamCursor,
) {
    let outcome = if call.time_remaining() < MIN_RESUME_TIME {
        // The request's deadline has passed or is about to, which is not a fault of the replica.
        None
    } else if reason == "bad_event" {
        Some(ReplicaOutcome::Failed)
    } else {
        Some(ReplicaOutcome::Unreachable)
    };
    if let Some(outcome) = outcome {
        let id = &segment.chosen.replica.id;
        shared
            .state()
            .health
            .record_outcome(id, outcome, Instant::now());
    }
    if !shared.may_log(LogKind::Failed) {
        return;
    }
    info!(
        shared.log, "stream broke off";
        "request" => call.id(),
        "replica" => &segment.chosen.replica.id,
        "why" => reason,
        "last_event" => cursor.last_id(),
        "left_ms" => millis(call.time_remaining()),
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time without a first event after which a replica is considered failed.
fn first_event_timeout(chosen: &ChosenReplica) -> Duration {
    FIRST_EVENT_MIN_TIMEOUT + Duration::from_secs_f64(chosen.predicted_ms.max(0.0) * 3.0 / 1000.0)
}

/// Capacity of the channel between reading from a replica and writing to a client.
const BUFFERED_CHUNKS: usize = 4;

/// Maximum size of a forwarded error response in bytes.
const MAX_ERROR_RESPONSE_BYTES: usize = 1024 * 1024;

/// Time without an event after which a replica is considered failed: three times the longest pause that is still on
/// time (0.4 s).
const EVENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time that is added to three times the prediction in the timeout for a first event.
const FIRST_EVENT_MIN_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum remaining time for which a stream is still resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(100);
