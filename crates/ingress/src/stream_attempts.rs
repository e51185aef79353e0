//! The attempts to serve one stream: the replica that serves it and, while that one is silent, another that may continue
//! it.
//!
//! A silent replica may be sound and go on, so its attempt ends only when another replica has sent an event. See
//! `docs/incidents/lost-version.md`.

mod silence;

use std::future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::ChosenReplica;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use httpio::Response;

use crate::attempt_start::{AttemptStart, start_attempt};
use crate::client_call::ClientCall;
use crate::crash_guard;
use crate::entry_shared::EntryShared;
use crate::limit_guard;
use crate::refusal::Refusal;
use crate::replica_send::{SendOutcome, return_connection};
use crate::request_handler::{
    MIN_SEND_TIME, acquire_retry, begin_send, choose_replica, log_denial, log_no_replica,
};
use crate::retry_denial::RetryDenial;
use crate::stream_segment::{SegmentRead, StreamSegment};
use crate::switch_wait::{SwitchGap, SwitchWait};

/// The attempts to serve one stream.
pub(crate) struct StreamAttempts {
    shared: Arc<EntryShared>,
    call: Arc<ClientCall>,
    /// Ids of the replicas that the request was sent to.
    tried: Vec<String>,
    /// The replica that the request was sent to last.
    newest: Option<ChosenReplica>,
    /// The attempt whose events are relayed.
    serving: Option<StreamSegment>,
    /// Attempts without an event so far. Dropping one cancels it at its replica.
    starting: FuturesUnordered<BoxFuture<'static, AttemptStart>>,
    /// Time at which another replica is asked to continue the stream, if no event arrives until then.
    ask_at: Option<Instant>,
    /// Whether the newest attempt was reported as silent.
    is_silent: bool,
    /// The last event that the client has.
    last_event_id: Option<u64>,
    /// Whether an event was read.
    has_events: bool,
    /// Whether an attempt that has ended may have run the request.
    may_have_run: bool,
    /// Whether the last attempt that failed had reached its replica.
    has_arrived: bool,
    /// Whether an attempt broke off at its start, so that the request may have crashed the replica.
    broke_at_start: bool,
    switch_wait: SwitchWait,
}

/// Result of reading from the attempts.
pub(crate) enum StreamRead {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete; contains the head of its response, and the blank lines and comments after its last event.
    Complete(Response<()>, Bytes),
    /// A replica responded with an error before the first event.
    Error(Box<StreamSegment>),
    /// No attempt is left and none can be made.
    Ended(Refusal),
}

/// What happens next to the attempts.
enum AttemptEvent {
    Read(SegmentRead),
    Started(AttemptStart),
    Silent,
    HeldBack,
    DeadlinePassed,
}

impl StreamAttempts {
    /// Creates the attempts of `call`; the first one is made by the first read.
    pub(crate) fn new(shared: Arc<EntryShared>, call: Arc<ClientCall>) -> Self {
        Self {
            last_event_id: call.metadata.last_event_id,
            shared,
            call,
            tried: Vec::new(),
            newest: None,
            serving: None,
            starting: FuturesUnordered::new(),
            ask_at: None,
            is_silent: false,
            has_events: false,
            may_have_run: false,
            has_arrived: false,
            broke_at_start: false,
            switch_wait: SwitchWait::default(),
        }
    }

    /// Returns the id of the replica that the request was sent to last.
    pub(crate) fn last_replica(&self) -> Option<&str> {
        let serving = self.serving.as_ref().map(|it| &it.chosen.replica.id);
        serving.or(self.tried.last()).map(String::as_str)
    }

    /// Returns what became of the stream with `outcome`, if it was ended at a switch and no replica has continued it.
    pub(crate) fn end_switch_wait(&mut self, outcome: &'static str) -> Option<SwitchGap> {
        self.switch_wait.end_as(outcome)
    }

    /// Returns the id of the last event that was read.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns the head of the response for the client.
    ///
    /// # Panics
    ///
    /// Panics unless the last read has returned events.
    pub(crate) fn response_head(&self) -> Response<()> {
        let serving = self.serving.as_ref();
        serving
            .expect("events are read from an attempt")
            .response_head()
    }

    /// Reads until events arrive or the stream ends. Asks further replicas after failures and during silences.
    pub(crate) async fn read(&mut self) -> StreamRead {
        if self.serving.is_some() && self.ask_at.is_none() {
            // Counted from the call, because the time that the client took for earlier events is no silence.
            self.ask_at = after(self.call.route.silence_timeout());
        }
        loop {
            if self.serving.is_none()
                && self.starting.is_empty()
                && let Err(denial) = self.ask_replica()
            {
                let deadline = self.deadline();
                let now = Instant::now();
                if self.switch_wait.may_wait(denial, now, deadline) {
                    tokio::time::sleep(WEIGHTS_POLL_INTERVAL).await;
                    continue;
                }
                if !self.tried.is_empty() {
                    log_denial(&self.shared, &self.call, denial, &self.tried);
                }
                return StreamRead::Ended(self.refusal(denial));
            }
            let read = match self.next_event().await {
                AttemptEvent::Read(read) => self.handle_read(read),
                AttemptEvent::Started(start) => self.handle_start(start),
                AttemptEvent::Silent => {
                    self.handle_silence();
                    None
                }
                AttemptEvent::HeldBack => {
                    self.starting.clear();
                    self.may_have_run = true;
                    return StreamRead::Ended(self.refusal(RetryDenial::SuspectedCrash));
                }
                AttemptEvent::DeadlinePassed => {
                    self.may_have_run = true;
                    return StreamRead::Ended(self.refusal(RetryDenial::Deadline));
                }
            };
            if let Some(read) = read {
                return read;
            }
        }
    }

    /// Returns the time at which the stream ends if no event has arrived. The client would leave a stream that has not
    /// begun soon after, without a response.
    fn deadline(&self) -> Instant {
        let deadline = self.call.deadline;
        if self.has_events {
            return deadline;
        }
        let patience = self.call.route.client_patience();
        deadline.min(self.call.arrived + patience.saturating_sub(RESPONSE_RESERVE))
    }

    async fn next_event(&mut self) -> AttemptEvent {
        let deadline = Some(self.deadline());
        tokio::select! {
            biased;
            read = read_serving(self.serving.as_mut()) => AttemptEvent::Read(read),
            Some(start) = self.starting.next() => AttemptEvent::Started(start),
            () = sleep_until(self.ask_at) => AttemptEvent::Silent,
            () = crash_guard::held_back(&self.shared, &self.call), if !self.has_events => {
                AttemptEvent::HeldBack
            }
            () = sleep_until(deadline) => AttemptEvent::DeadlinePassed,
        }
    }

    fn handle_read(&mut self, read: SegmentRead) -> Option<StreamRead> {
        let segment = self.serving.take()?;
        // Other attempts are made only while the serving one is silent.
        let was_silent = self.is_silent || !self.starting.is_empty();
        if was_silent && !matches!(read, SegmentRead::Interrupted(_)) {
            self.record_return(&segment);
        }
        self.continue_with(segment, read)
    }

    fn handle_start(&mut self, start: AttemptStart) -> Option<StreamRead> {
        let failed = match start {
            AttemptStart::Responded(segment, SegmentRead::Interrupted(interruption)) => {
                segment.record_interruption(&self.shared, &self.call, interruption);
                self.may_have_run = true;
                self.has_arrived = true;
                self.broke_at_start |= segment.may_be_crash(interruption);
                self.wait_after_switch(&segment);
                segment.chosen.replica.id
            }
            AttemptStart::Responded(mut segment, read) => {
                if self.has_events {
                    let gap = self.switch_wait.end();
                    segment.record_resumed(&self.shared, &self.call, self.last_event_id, gap);
                } else {
                    segment.record_first_event(&self.shared, &self.call);
                }
                if let Some(silent) = self.serving.take() {
                    silent.record_replacement(&self.shared);
                }
                return self.continue_with(*segment, read);
            }
            AttemptStart::Error(segment) => {
                self.has_arrived = true;
                if !self.has_events && !self.is_replaceable(&segment) {
                    self.starting.clear();
                    return Some(StreamRead::Error(segment));
                }
                self.may_have_run = true;
                segment.chosen.replica.id
            }
            AttemptStart::Withdrawn(id) => {
                self.may_have_run = true;
                self.has_arrived = true;
                id
            }
            AttemptStart::Failed(id, outcome) => {
                match outcome {
                    SendOutcome::NotRun(reason) => self.has_arrived = reason.has_arrived(),
                    SendOutcome::Unknown(reason) => {
                        self.may_have_run = true;
                        self.has_arrived = true;
                        self.broke_at_start |= reason == "connection_lost";
                    }
                    SendOutcome::Response(..) => {
                        self.may_have_run = true;
                        self.has_arrived = true;
                    }
                }
                id
            }
        };
        let is_left = self.serving.is_some() || !self.starting.is_empty();
        // Any older attempts that are left are silent already, while a newer one has its own time to start.
        if is_left && self.tried.last() == Some(&failed) {
            self.newest = None;
            self.is_silent = true;
            self.ask_beside_silent();
        }
        None
    }

    /// Makes `segment` the attempt that is relayed, and cancels all others.
    fn continue_with(
        &mut self,
        mut segment: StreamSegment,
        read: SegmentRead,
    ) -> Option<StreamRead> {
        match read {
            SegmentRead::Events(bytes) => {
                self.starting.clear();
                self.is_silent = false;
                self.has_events = true;
                self.last_event_id = segment.last_event_id();
                self.ask_at = None;
                self.switch_wait = SwitchWait::default();
                segment.record_survival(&self.shared, &self.call);
                self.serving = Some(segment);
                Some(StreamRead::Events(bytes))
            }
            SegmentRead::Complete(rest) => {
                self.starting.clear();
                segment.record_completion(&self.shared, &self.call);
                let head = segment.response_head();
                let (_, connection, address) = segment.pooled_response.into_parts();
                return_connection(&self.shared, connection, address, &segment.metadata);
                Some(StreamRead::Complete(head, rest))
            }
            SegmentRead::Interrupted(interruption) => {
                segment.record_interruption(&self.shared, &self.call, interruption);
                self.may_have_run = true;
                self.has_arrived = true;
                self.broke_at_start |= segment.may_be_crash(interruption) && segment.is_starting();
                self.wait_after_switch(&segment);
                None
            }
        }
    }

    /// Lets a stream that has begun wait for another replica until its client would leave, if `segment` was ended at a switch.
    fn wait_after_switch(&mut self, segment: &StreamSegment) {
        if self.has_events && segment.is_at_switch() {
            let patience = self.call.route.client_patience();
            let patience = patience.saturating_sub(RESPONSE_RESERVE);
            self.switch_wait.begin(Instant::now(), patience);
        }
    }

    /// Returns whether the error response of an attempt is replaced by another attempt, which is made if necessary.
    fn is_replaceable(&mut self, segment: &StreamSegment) -> bool {
        if !segment.status().is_server_error() || !self.call.route.is_retryable() {
            return false;
        }
        if !self.starting.is_empty() {
            return true;
        }
        self.ask_replica()
            .inspect_err(|denial| log_denial(&self.shared, &self.call, *denial, &self.tried))
            .is_ok()
    }

    /// Asks another replica, while the silent one may still go on.
    fn handle_silence(&mut self) {
        self.has_arrived = true;
        self.record_silence();
        self.ask_beside_silent();
    }

    /// Asks another replica in addition to the attempts that are left, or later if that may be possible then.
    fn ask_beside_silent(&mut self) {
        self.ask_at = None;
        if let Err(denial) = self.ask_replica() {
            log_denial(&self.shared, &self.call, denial, &self.tried);
            if !denial.is_final() {
                self.ask_at = after(self.call.route.silence_timeout());
            }
        }
    }

    /// Sends the request to a replica that was not tried yet.
    fn ask_replica(&mut self) -> Result<(), RetryDenial> {
        if self.call.time_remaining() < MIN_SEND_TIME {
            return Err(RetryDenial::Deadline);
        }
        if self.may_have_run && !self.call.route.is_retryable() {
            return Err(RetryDenial::NotRepeatable);
        }
        if self.is_suspected() {
            return Err(RetryDenial::SuspectedCrash);
        }
        let chosen = choose_replica(&self.shared, &self.call, &self.tried, self.last_event_id);
        let chosen = chosen.map_err(|cause| {
            if !self.switch_wait.has_waited() {
                log_no_replica(&self.shared, &self.call, cause, &self.tried);
            }
            RetryDenial::from(cause)
        })?;
        if !self.tried.is_empty() {
            acquire_retry(&self.shared, &self.call, self.has_arrived)?;
        }
        begin_send(&self.shared, &self.call, &chosen);
        self.tried.push(chosen.replica.id.clone());
        self.newest = Some(chosen.clone());
        self.is_silent = false;
        self.ask_at = after(chosen.silence_timeout(&self.call.route));
        self.starting.push(Box::pin(start_attempt(
            self.shared.clone(),
            self.call.clone(),
            chosen,
            self.last_event_id,
            self.has_events,
        )));
        Ok(())
    }

    /// Returns whether a further attempt may crash a further replica.
    fn is_suspected(&self) -> bool {
        let may_retry = || crash_guard::may_retry(&self.shared, &self.call);
        let is_first = self.tried.is_empty();
        let is_held = || crash_guard::is_held_back(&self.shared, &self.call);
        (self.broke_at_start && !may_retry()) || (!is_first && is_held())
    }

    /// Returns the response for the client if no attempt is left.
    fn refusal(&self, denial: RetryDenial) -> Refusal {
        let is_expired = denial == RetryDenial::Deadline;
        match denial {
            _ if self.may_have_run && is_expired => Refusal::TimedOut,
            _ if self.may_have_run => Refusal::Unknown,
            _ if is_expired => Refusal::Expired,
            _ if !self.tried.is_empty() => Refusal::RefusedByReplicas,
            RetryDenial::Overloaded => Refusal::Overloaded,
            RetryDenial::Excluded => Refusal::NoPlacement,
            RetryDenial::Outdated => Refusal::OutdatedWeights,
            RetryDenial::Limited => limit_guard::refuse(&self.shared, &self.call),
            _ => Refusal::NoReplica,
        }
    }
}

async fn read_serving(serving: Option<&mut StreamSegment>) -> SegmentRead {
    match serving {
        Some(segment) => segment.read_events().await,
        None => future::pending().await,
    }
}

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => future::pending().await,
    }
}

fn after(delay: Option<Duration>) -> Option<Instant> {
    delay.map(|it| Instant::now() + it)
}

/// Interval at which a stream that its replica has ended at a switch of weights looks for another one.
const WEIGHTS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a final response reaches a client before it leaves; several round trips.
const RESPONSE_RESERVE: Duration = Duration::from_millis(150);
