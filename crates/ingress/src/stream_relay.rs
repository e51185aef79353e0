//! Streams: whole events are passed on as they arrive, and a broken stream goes on at another replica.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ChosenReplica, LogKind, ReplicaOutcome, StreamCursor};
use http_body_util::BodyExt;
use httpio::{BodySender, HttpReply, Incoming, Response};
use platform::ReplicaAnswer;
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::FlightGuard;
use crate::replica_send::{SendEnd, recycle, send};
use crate::request_handler::{RelayEnd, choose, may_send_again};

/// A replica's part of a stream.
struct StreamPart {
    reply: HttpReply,
    facts: ReplicaAnswer,
    guard: FlightGuard,
    chosen: ChosenReplica,
    sent: Instant,
}

/// What reading a replica's part came to.
enum PartEvent {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete; bytes after the last whole event.
    Complete(Bytes),
    /// The replica broke off, stalled or sent what does not belong there.
    Broken(&'static str),
}

/// Sends `call` to `chosen`; once the first event is there, the answer begins and goes on by itself.
pub(crate) async fn start(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
) -> RelayEnd {
    let mut cursor = StreamCursor::new(call.facts.last_event);
    let mut part = match open(shared, call, chosen, call.facts.last_event).await {
        Ok(part) => part,
        Err(end) => return end,
    };
    if !part.reply.response.status().is_success() {
        return relay_failure(shared, call, part).await;
    }
    let wait = first_event_wait(chosen).saturating_sub(part.sent.elapsed());
    let first = match next(&mut part, &mut cursor, wait.min(call.time_left())).await {
        PartEvent::Events(bytes) => bytes,
        PartEvent::Complete(bytes) => {
            let response = head(&part);
            return RelayEnd::Answer(response.map(|()| httpio::full(bytes)));
        }
        PartEvent::Broken(why) => {
            broke_off(shared, call, &part, why, &cursor);
            return RelayEnd::Unknown;
        }
    };
    note_first_event(shared, call, &mut part);
    let (sender, body) = httpio::stream(BUFFERED_PIECES);
    let response = head(&part).map(|()| body);
    tokio::spawn(relay(
        shared.clone(),
        call.clone(),
        part,
        cursor,
        sender,
        first,
    ));
    RelayEnd::Answer(response)
}

async fn open(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    chosen: &ChosenReplica,
    last_event: Option<u64>,
) -> Result<StreamPart, RelayEnd> {
    let guard = FlightGuard::new(shared, &chosen.replica.id, call.facts.size.prompt_tokens);
    let sent = Instant::now();
    let wait = first_event_wait(chosen).min(call.time_left());
    match send(shared, call, chosen, last_event, wait).await {
        SendEnd::Answered(reply, facts) => Ok(StreamPart {
            reply: *reply,
            facts,
            guard,
            chosen: chosen.clone(),
            sent,
        }),
        failed => Err(RelayEnd::of_failed_send(&failed)),
    }
}

/// Passes a replica's failure on unchanged.
async fn relay_failure(shared: &EntryShared, call: &ClientCall, part: StreamPart) -> RelayEnd {
    let (parts, body) = part.reply.response.into_parts();
    let status = parts.status;
    if status.is_server_error() && call.route.may_repeat() && call.sends() < call.route.max_attempts
    {
        return RelayEnd::Unknown;
    }
    match httpio::read_limited(body, MAX_FAILURE_BYTES, call.time_left()).await {
        Ok(bytes) => {
            let mut response = Response::new(httpio::full(bytes));
            *response.status_mut() = status;
            *response.headers_mut() = platform::returned_headers(&parts.headers);
            RelayEnd::Answer(response)
        }
        Err(err) => {
            info!(shared.log, "answer broke off"; "request" => call.id(), "error" => err.to_string());
            RelayEnd::Unknown
        }
    }
}

fn head(part: &StreamPart) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = part.reply.response.status();
    *response.headers_mut() = platform::returned_headers(part.reply.response.headers());
    response
}

/// Relays a stream to its end; dropping the sender ends it as complete, an error cuts it.
async fn relay(
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    mut part: StreamPart,
    mut cursor: StreamCursor,
    sender: BodySender,
    first: Bytes,
) {
    let mut tried = vec![part.chosen.replica.id.clone()];
    let mut longest_pause = Duration::ZERO;
    let mut last = Instant::now();
    let mut piece = first;
    let outcome = loop {
        if !pass_on(&sender, piece).await {
            break "client_left";
        }
        let wait = EVENT_WAIT.min(call.time_left());
        let event = {
            let reading = pin!(next(&mut part, &mut cursor, wait));
            tokio::select! {
                biased;
                event = reading => event,
                () = sender.closed() => break "client_left",
            }
        };
        longest_pause = longest_pause.max(last.elapsed());
        last = Instant::now();
        piece = match event {
            PartEvent::Events(bytes) => bytes,
            PartEvent::Complete(bytes) => {
                if !bytes.is_empty() {
                    pass_on(&sender, bytes).await;
                }
                let (_, connection, address) = part.reply.into_parts();
                recycle(&shared, connection, address, &part.facts);
                break "complete";
            }
            PartEvent::Broken(why) => {
                broke_off(&shared, &call, &part, why, &cursor);
                match resume(&shared, &call, &mut tried, &mut cursor).await {
                    Some((next_part, bytes)) => {
                        part = next_part;
                        bytes
                    }
                    None => {
                        let cut = std::io::Error::other("the stream broke off");
                        // The client may be gone as well, and then there is nobody to tell.
                        let _ = sender.send(Err(cut)).await;
                        break "cut";
                    }
                }
            }
        };
    };
    shared.metrics.pause.observe(longest_pause.as_secs_f64());
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

/// Goes on at another replica after the last event that was passed on; returns its first events.
async fn resume(
    shared: &Arc<EntryShared>,
    call: &Arc<ClientCall>,
    tried: &mut Vec<String>,
    cursor: &mut StreamCursor,
) -> Option<(StreamPart, Bytes)> {
    cursor.drop_partial();
    if !call.route.may_repeat() {
        return None;
    }
    loop {
        if call.time_left() < MIN_RESUME_TIME || !may_send_again(shared, call, true) {
            return None;
        }
        let chosen = choose(shared, call, tried, cursor.last_id()).ok()?;
        call.note_send();
        tried.push(chosen.replica.id.clone());
        info!(
            shared.log, "stream resumed";
            "request" => call.id(),
            "replica" => &chosen.replica.id,
            "after_event" => cursor.last_id(),
        );
        let Ok(mut part) = open(shared, call, &chosen, cursor.last_id()).await else {
            continue;
        };
        if !part.reply.response.status().is_success() {
            continue;
        }
        match next(
            &mut part,
            cursor,
            first_event_wait(&chosen).min(call.time_left()),
        )
        .await
        {
            PartEvent::Events(bytes) => {
                part.guard.first_event();
                return Some((part, bytes));
            }
            PartEvent::Complete(bytes) => return Some((part, bytes)),
            PartEvent::Broken(why) => {
                broke_off(shared, call, &part, why, cursor);
                cursor.drop_partial();
            }
        }
    }
}

async fn next(part: &mut StreamPart, cursor: &mut StreamCursor, wait: Duration) -> PartEvent {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let body: &mut Incoming = part.reply.response.body_mut();
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Err(_) => return PartEvent::Broken("stalled"),
            Ok(None) => return PartEvent::Complete(Bytes::from(cursor.take_partial())),
            Ok(Some(Err(_))) => return PartEvent::Broken("connection_lost"),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match cursor.push(&data) {
            Ok(Some(piece)) => return PartEvent::Events(Bytes::from(piece.bytes)),
            Ok(None) => {}
            Err(_) => return PartEvent::Broken("bad_event"),
        }
    }
}

async fn pass_on(sender: &BodySender, bytes: Bytes) -> bool {
    sender
        .send(Ok(hyper::body::Frame::data(bytes)))
        .await
        .is_ok()
}

fn note_first_event(shared: &EntryShared, call: &ClientCall, part: &mut StreamPart) {
    part.guard.first_event();
    let observed = part.sent.elapsed().as_secs_f64();
    let predicted = part.chosen.predicted_ms;
    shared
        .metrics
        .first_event
        .observe(call.arrived.elapsed().as_secs_f64());
    shared
        .metrics
        .prediction_ratio
        .observe(observed * 1000.0 / predicted.max(1.0));
    let now = Instant::now();
    let id = &part.chosen.replica.id;
    shared
        .state()
        .health
        .record_first_event(id, observed * 1000.0, predicted, now);
    if shared.may_log(LogKind::Served) {
        info!(
            shared.log, "first event";
            "request" => call.id(),
            "replica" => id,
            "replica_zone" => &part.chosen.replica.zone,
            "sent_ms" => (observed * 1000.0).round(),
            "predicted_ms" => predicted.round(),
            "ms" => millis(call.arrived.elapsed()),
            "version" => part.facts.version,
            "config" => call.table.version(),
        );
    }
}

fn broke_off(
    shared: &EntryShared,
    call: &ClientCall,
    part: &StreamPart,
    why: &str,
    cursor: &StreamCursor,
) {
    let outcome = if call.time_left() < MIN_RESUME_TIME {
        // The route's time is over, which is not the replica's fault.
        None
    } else if why == "bad_event" {
        Some(ReplicaOutcome::Failed)
    } else {
        Some(ReplicaOutcome::Unreachable)
    };
    if let Some(outcome) = outcome {
        let id = &part.chosen.replica.id;
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
        "replica" => &part.chosen.replica.id,
        "why" => why,
        "last_event" => cursor.last_id(),
        "left_ms" => millis(call.time_left()),
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns how long the first event of a replica is waited for before it is taken as lost.
fn first_event_wait(chosen: &ChosenReplica) -> Duration {
    FIRST_EVENT_MIN_WAIT + Duration::from_secs_f64(chosen.predicted_ms.max(0.0) * 3.0 / 1000.0)
}

/// Pieces between the reader of a replica and the writer to a client.
const BUFFERED_PIECES: usize = 4;

/// Bytes of a failure that is passed on.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

/// Time without an event after which a replica is taken as lost: three of the longest pauses that are on time (0.4 s).
const EVENT_WAIT: Duration = Duration::from_millis(1200);

/// Least time that a first event is waited for, beyond three times the prediction.
const FIRST_EVENT_MIN_WAIT: Duration = Duration::from_millis(700);

/// Time that must be left for a stream to be worth resuming.
const MIN_RESUME_TIME: Duration = Duration::from_millis(100);
