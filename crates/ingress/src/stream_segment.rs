//! The part of a stream that one replica sends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ChosenReplica, LogKind, ReplicaOutcome, StreamCursor, StreamError};
use http_body_util::BodyExt;
use httpio::{BodyFraming, Incoming, PooledResponse, Response};
use platform::ResponseMetadata;
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::InFlightGuard;
use crate::replica_send::{SendOutcome, send};
use crate::request_handler::RelayOutcome;

/// The segment of a stream that one replica sends.
pub(crate) struct StreamSegment {
    pub(crate) pooled_response: PooledResponse,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) chosen: ChosenReplica,
    framing: BodyFraming,
    guard: InFlightGuard,
    sent_at: Instant,
}

/// Result of reading from a segment.
pub(crate) enum SegmentRead {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete; contains the blank lines and comments after its last event.
    Complete(Bytes),
    /// The stream broke off.
    Interrupted(Interruption),
}

/// Reason why a segment broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The connection was lost, or the response ended before the end that its length or chunks announce.
    ConnectionLost,
    /// No event arrived in time.
    Stalled,
    /// The first event did not arrive before the weights of the replica became too old.
    Withdrawn,
    /// The response ended although the stream is not complete, or an event is missing, duplicated or too large.
    Stream(StreamError),
}

impl Interruption {
    /// Returns the name of the reason in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::Stalled => "stalled",
            Self::Withdrawn => "withdrawn",
            Self::Stream(StreamError::Order | StreamError::TooLarge) => "bad_event",
            Self::Stream(StreamError::InsideEvent) => "inside_event",
            Self::Stream(StreamError::NoEvent) => "no_event",
        }
    }

    fn replica_outcome(self) -> ReplicaOutcome {
        match self {
            Self::ConnectionLost | Self::Stalled | Self::Withdrawn => ReplicaOutcome::Unreachable,
            Self::Stream(_) => ReplicaOutcome::Failed,
        }
    }
}

impl StreamSegment {
    /// Sends `call` to `chosen` and returns once the head of the response has arrived.
    pub(crate) async fn open(
        shared: &Arc<EntryShared>,
        call: &Arc<ClientCall>,
        chosen: &ChosenReplica,
        last_event_id: Option<u64>,
    ) -> Result<Self, RelayOutcome> {
        let guard =
            InFlightGuard::new(shared, &chosen.replica.id, call.metadata.size.prompt_tokens);
        let sent_at = Instant::now();
        let wait = chosen
            .first_event_timeout(&call.route)
            .min(call.time_remaining());
        match send(shared, call, chosen, last_event_id, wait).await {
            SendOutcome::Response(pooled_response, metadata) => Ok(Self {
                framing: BodyFraming::of(&pooled_response.response),
                pooled_response: *pooled_response,
                metadata,
                chosen: chosen.clone(),
                guard,
                sent_at,
            }),
            failed => Err(RelayOutcome::from_failed_send(&failed)),
        }
    }

    /// Returns the head of the response for the client.
    pub(crate) fn response_head(&self) -> Response<()> {
        let replica_response = &self.pooled_response.response;
        let mut response = Response::new(());
        *response.status_mut() = replica_response.status();
        *response.headers_mut() = platform::forwarded_response_headers(replica_response.headers());
        response
    }

    /// Reads until a complete event has arrived, the segment has ended, or `wait` has passed.
    pub(crate) async fn read_events(
        &mut self,
        cursor: &mut StreamCursor,
        wait: Duration,
    ) -> SegmentRead {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let body: &mut Incoming = self.pooled_response.response.body_mut();
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
                Err(_) => return SegmentRead::Interrupted(self.silence(cursor)),
                Ok(None) => return self.finish(cursor),
                Ok(Some(Err(_))) => return SegmentRead::Interrupted(Interruption::ConnectionLost),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match cursor.push(&data) {
                Ok(Some(events)) => return SegmentRead::Events(Bytes::from(events.bytes)),
                Ok(None) => {}
                Err(err) => return SegmentRead::Interrupted(Interruption::Stream(err)),
            }
        }
    }

    /// Returns why the segment ends after no event has arrived in time.
    fn silence(&self, cursor: &StreamCursor) -> Interruption {
        let is_withdrawn = !cursor.segment_has_events()
            && self
                .chosen
                .must_start_within
                .is_some_and(|it| self.elapsed() >= it);
        if is_withdrawn {
            Interruption::Withdrawn
        } else {
            Interruption::Stalled
        }
    }

    fn finish(&self, cursor: &mut StreamCursor) -> SegmentRead {
        match cursor.finish(self.framing != BodyFraming::Connection) {
            Ok(rest) => SegmentRead::Complete(Bytes::from(rest)),
            Err(err) => SegmentRead::Interrupted(Interruption::Stream(err)),
        }
    }

    /// Returns the time since the request was sent to the replica.
    pub(crate) fn elapsed(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Records the first event of a resumed stream, which says nothing about the time to the client's first event.
    pub(crate) fn record_resumed(&mut self) {
        self.guard.record_first_event();
    }

    /// Records the first event of a stream.
    pub(crate) fn record_first_event(&mut self, shared: &EntryShared, call: &ClientCall) {
        self.guard.record_first_event();
        let observed = self.sent_at.elapsed().as_secs_f64();
        let predicted = self.chosen.predicted_ms;
        shared
            .metrics
            .first_event
            .observe(call.arrived.elapsed().as_secs_f64());
        shared
            .metrics
            .prediction_ratio
            .observe(observed * 1000.0 / predicted.max(1.0));
        let now = Instant::now();
        let id = &self.chosen.replica.id;
        shared
            .state()
            .health
            .record_first_event(id, observed * 1000.0, predicted, now);
        if shared.may_log(LogKind::Served) {
            info!(
                shared.log, "first event";
                "request" => call.id(),
                "replica" => id,
                "replica_zone" => &self.chosen.replica.zone,
                "sent_ms" => (observed * 1000.0).round(),
                "predicted_ms" => predicted.round(),
                "ms" => millis(call.arrived.elapsed()),
                "version" => self.metadata.version,
                "framing" => self.framing.label(),
                "config" => call.table.version(),
            );
        }
    }

    /// Records that the segment has completed the stream.
    pub(crate) fn record_completion(&self, shared: &EntryShared) {
        self.count_end(shared, "complete");
    }

    /// Records that the segment broke off.
    pub(crate) fn record_interruption(
        &self,
        shared: &EntryShared,
        call: &ClientCall,
        interruption: Interruption,
        cursor: &StreamCursor,
    ) {
        // If the request's deadline has passed or is about to, that is not a fault of the replica.
        if call.time_remaining() >= MIN_RESUME_TIME {
            shared.state().health.record_outcome(
                &self.chosen.replica.id,
                interruption.replica_outcome(),
                Instant::now(),
            );
        }
        self.count_end(shared, interruption.label());
        if !shared.may_log(LogKind::Failed) {
            return;
        }
        info!(
            shared.log, "stream broke off";
            "request" => call.id(),
            "replica" => &self.chosen.replica.id,
            "why" => interruption.label(),
            "framing" => self.framing.label(),
            "last_event" => cursor.last_id(),
            "partial_bytes" => cursor.partial_len(),
            "left_ms" => millis(call.time_remaining()),
        );
    }

    fn count_end(&self, shared: &EntryShared, end: &str) {
        let labels = [self.framing.label(), end];
        shared
            .metrics
            .stream_segments
            .with_label_values(&labels)
            .inc();
    }
}

/// Returns `duration` in milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Minimum remaining time for which a stream is still resumed.
pub(crate) const MIN_RESUME_TIME: Duration = Duration::from_millis(100);
