//! The part of a stream that one replica sends.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ChosenReplica, LogKind, ReplicaOutcome, StreamCursor, StreamError};
use http_body_util::BodyExt;
use httpio::{BodyFraming, Incoming, PooledResponse, Response, StatusCode};
use platform::ResponseMetadata;
use slog::info;

use crate::client_call::ClientCall;
use crate::crash_guard;
use crate::entry_shared::EntryShared;
use crate::in_flight_guard::InFlightGuard;
use crate::replica_send::{SendOutcome, send};
use crate::switch_guard;
use crate::switch_wait::SwitchGap;

/// The segment of a stream that one replica sends.
pub(crate) struct StreamSegment {
    pub(crate) pooled_response: PooledResponse,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) chosen: ChosenReplica,
    framing: BodyFraming,
    cursor: StreamCursor,
    guard: InFlightGuard,
    sent_at: Instant,
    /// Time that the replica may work on the request.
    time_limit: Duration,
    /// Time at which the replica ends the stream because its weights are replaced, if that is before the deadline.
    ends_at: Option<Instant>,
    first_event_at: Option<Instant>,
    is_survival_recorded: bool,
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
    /// The response ended although the stream is not complete, or an event is missing, duplicated or too large.
    Stream(StreamError),
}

impl Interruption {
    /// Returns the name of the reason in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::Stream(StreamError::Order | StreamError::TooLarge) => "bad_event",
            Self::Stream(StreamError::InsideEvent) => "inside_event",
            Self::Stream(StreamError::NoEvent) => "no_event",
        }
    }

    /// Returns whether a replica that ends may cause it. Without chunks or a length, a lost connection ends a response.
    fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::ConnectionLost | Self::Stream(StreamError::InsideEvent | StreamError::NoEvent)
        )
    }

    /// Returns what the reason says about the replica, if anything.
    fn replica_outcome(self) -> Option<ReplicaOutcome> {
        match self {
            Self::ConnectionLost => Some(ReplicaOutcome::Unreachable),
            Self::Stream(_) => Some(ReplicaOutcome::Failed),
        }
    }
}

impl StreamSegment {
    /// Sends `call` to `chosen` and returns once the head of the response has arrived. Sets `is_sent` when the request is about
    /// to be written.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the send if there is no usable response.
    pub(crate) async fn open(
        shared: &Arc<EntryShared>,
        call: &Arc<ClientCall>,
        chosen: &ChosenReplica,
        last_event_id: Option<u64>,
        is_sent: &AtomicBool,
    ) -> Result<Self, SendOutcome> {
        let guard = InFlightGuard::new(
            shared,
            call,
            &chosen.replica.id,
            call.metadata.size.prompt_tokens,
        );
        let sent_at = Instant::now();
        let time_limit = switch_guard::time_limit(shared, chosen, call.time_remaining());
        let ends_at = switch_guard::ends_at(call, time_limit);
        match send(shared, call, chosen, last_event_id, time_limit, is_sent).await {
            SendOutcome::Response(pooled_response, metadata) => Ok(Self {
                framing: BodyFraming::of(&pooled_response.response),
                pooled_response: *pooled_response,
                metadata,
                chosen: chosen.clone(),
                cursor: StreamCursor::new(last_event_id),
                guard,
                sent_at,
                time_limit,
                ends_at,
                first_event_at: None,
                is_survival_recorded: false,
            }),
            failed => Err(failed),
        }
    }

    /// Returns the status code of the response.
    pub(crate) fn status(&self) -> StatusCode {
        self.pooled_response.response.status()
    }

    /// Returns the id of the last event that was read, or of the one that the client had before.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.cursor.last_id()
    }

    /// Returns the head of the response for the client.
    pub(crate) fn response_head(&self) -> Response<()> {
        let replica_response = &self.pooled_response.response;
        let mut response = Response::new(());
        *response.status_mut() = replica_response.status();
        *response.headers_mut() = platform::forwarded_response_headers(replica_response.headers());
        response
    }

    /// Reads until a complete event has arrived or the segment has ended.
    pub(crate) async fn read_events(&mut self) -> SegmentRead {
        loop {
            let body: &mut Incoming = self.pooled_response.response.body_mut();
            let frame = body.frame().await;
            let frame = match frame {
                None => return self.finish(),
                Some(Err(_)) => return SegmentRead::Interrupted(Interruption::ConnectionLost),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.cursor.push(&data) {
                Ok(Some(events)) => {
                    self.first_event_at.get_or_insert_with(Instant::now);
                    return SegmentRead::Events(Bytes::from(events.bytes));
                }
                Ok(None) => {}
                Err(err) => return SegmentRead::Interrupted(Interruption::Stream(err)),
            }
        }
    }

    fn finish(&mut self) -> SegmentRead {
        if self.framing == BodyFraming::Connection && self.is_at_switch() {
            // The replica closes the connection at its time limit as it does at the end of the response.
            return SegmentRead::Interrupted(Interruption::ConnectionLost);
        }
        match self.cursor.finish(self.framing != BodyFraming::Connection) {
            Ok(rest) => SegmentRead::Complete(Bytes::from(rest)),
            Err(err) => SegmentRead::Interrupted(Interruption::Stream(err)),
        }
    }

    /// Returns whether the replica may have ended `interruption` in a crash.
    pub(crate) fn may_be_crash(&self, interruption: Interruption) -> bool {
        interruption.may_be_crash() && !self.is_at_switch()
    }

    /// Returns whether the replica was allowed to work on the request until about now.
    pub(crate) fn is_at_switch(&self) -> bool {
        switch_guard::is_at_switch(self.ends_at)
    }

    /// Returns whether the replica was about to begin the response or had just begun it.
    pub(crate) fn is_starting(&self) -> bool {
        self.first_event_at
            .is_none_or(|it| it.elapsed() < START_GRACE)
    }

    /// Records that the replica survived the start of the response, once it has.
    pub(crate) fn record_survival(&mut self, shared: &EntryShared, call: &ClientCall) {
        if self.is_survival_recorded || self.is_starting() {
            return;
        }
        self.is_survival_recorded = true;
        if let Some(begun_at) = self.first_event_at {
            crash_guard::record_survival(shared, call, begun_at);
        }
    }

    /// Records that the replica continues a stream after the event `after`, which says nothing about the time to the
    /// client's first event. `gap` is set if the one before it was ended at a switch.
    pub(crate) fn record_resumed(
        &mut self,
        shared: &EntryShared,
        call: &ClientCall,
        after: Option<u64>,
        gap: Option<SwitchGap>,
    ) {
        self.guard.record_first_event();
        let switch_slack = self.observe_switch_slack(shared);
        if let Some(gap) = gap {
            gap.record(shared);
        }
        if shared.may_log(LogKind::Failed) {
            info!(
                shared.log, "stream resumed";
                "request" => call.id(),
                "replica" => &self.chosen.replica.id,
                "version" => self.metadata.version,
                "expect_version" => self.chosen.expect_version,
                "switch_ms" => self.chosen.must_start_within.map(millis),
                "switch_slack_ms" => switch_slack.map(millis),
                "limit_ms" => millis(self.time_limit),
                "after_event" => after,
                "after_switch" => gap.map(|it| it.outcome),
                "gap_ms" => gap.map(|it| millis(it.since.elapsed())),
            );
        }
    }

    /// Records that another replica has continued the stream while this one was silent.
    pub(crate) fn record_replacement(&self, shared: &EntryShared) {
        self.count_end(shared, "replaced");
    }

    /// Returns the time left until the weights of the replica become too old, if they do.
    fn observe_switch_slack(&self, shared: &EntryShared) -> Option<Duration> {
        let switch = self.sent_at + self.chosen.must_start_within?;
        let slack = switch.saturating_duration_since(Instant::now());
        shared.metrics.switch_slack.observe(slack.as_secs_f64());
        Some(slack)
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
        let switch_slack = self.observe_switch_slack(shared);
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
                "parts" => call.shared_parts(),
                "sent_ms" => (observed * 1000.0).round(),
                "predicted_ms" => predicted.round(),
                "ms" => millis(call.arrived.elapsed()),
                "limited" => self.chosen.limited,
                "version" => self.metadata.version,
                "expect_version" => self.chosen.expect_version,
                "switch_ms" => self.chosen.must_start_within.map(millis),
                "switch_slack_ms" => switch_slack.map(millis),
                "limit_ms" => millis(self.time_limit),
                "framing" => self.framing.label(),
                "config" => call.table.version(),
            );
        }
    }

    /// Records that the segment has completed the stream.
    pub(crate) fn record_completion(&self, shared: &EntryShared, call: &ClientCall) {
        if !self.is_survival_recorded {
            crash_guard::record_survival(shared, call, Instant::now());
        }
        self.count_end(shared, "complete");
    }

    /// Records that the segment broke off.
    pub(crate) fn record_interruption(
        &self,
        shared: &Arc<EntryShared>,
        call: &ClientCall,
        interruption: Interruption,
    ) {
        if self.may_be_crash(interruption) {
            crash_guard::record_break(shared, call, &self.chosen.replica, self.is_starting());
        }
        // If the request's deadline has passed or is about to, that is not a fault of the replica.
        if call.time_remaining() >= MIN_JUDGED_TIME
            && !self.is_at_switch()
            && let Some(outcome) = interruption.replica_outcome()
        {
            shared
                .state()
                .health
                .record_outcome(&self.chosen.replica.id, outcome, Instant::now());
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
            "last_event" => self.cursor.last_id(),
            "partial_bytes" => self.cursor.partial_len(),
            "parts" => call.shared_parts(),
            "left_ms" => millis(call.time_remaining()),
            "at_switch" => self.is_at_switch(),
            "switch_ms" => self.chosen.must_start_within.map(millis),
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

/// Time after the first event in which a crash of the replica may be due to the request.
const START_GRACE: Duration = Duration::from_millis(250);

/// Minimum remaining time in which a broken stream still counts as a failure of its replica.
const MIN_JUDGED_TIME: Duration = Duration::from_millis(100);
