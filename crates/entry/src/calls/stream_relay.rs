//! Relay of streamed responses, with failover between replicas.

use std::future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::BodySender;
use model::{ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, SilenceAction, TokenAction};
use slog::{Logger, info};

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::dispatcher::Dispatcher;
use crate::calls::stream_attempts::{AttemptChunk, StreamAttempt, StreamAttempts};
use crate::calls::stream_events::StreamEvent;
use crate::calls::target_response::TargetResponse;

/// Relays one streamed response to its caller.
pub(crate) struct StreamRelay {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) call: CallContext,
    pub(crate) plan: AttemptPlan,
    pub(crate) version: VersionDigest,
    pub(crate) sender: BodySender,
    pub(crate) log: Logger,
}

/// How relaying a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The caller has all events, including the end-of-stream marker.
    Completed,
    /// The caller has all tokens, but not the end-of-stream marker.
    MarkerMissing,
    CallerDisconnected,
    /// The response is incomplete, and ends with this code.
    Failed(ResultCode),
}

/// What the relay waits for.
#[derive(Debug)]
enum RelayEvent {
    Chunk(AttemptChunk),
    /// The pending attempt has a response, or no target has accepted it.
    Dispatched(Option<TargetResponse>),
    Silence,
    DeadlinePassed,
    CallerDisconnected,
}

/// A further attempt that has no response yet.
type PendingAttempt = Pin<Box<dyn Future<Output = Option<TargetResponse>> + Send>>;

/// The attempts of a stream that may still send its next token.
#[derive(Default)]
struct RelayState {
    stream: ResumableStream,
    attempts: StreamAttempts,
    pending: Option<PendingAttempt>,
}

impl StreamRelay {
    /// Relays the stream token by token, and resumes it on another replica after a failure.
    ///
    /// While a replica is silent, another one may take over, but the silent attempt is kept until another one has sent the
    /// next token. If the response cannot be completed, the stream ends with an error event instead of the end-of-stream
    /// marker.
    pub(crate) async fn run(self, first: TargetResponse, _guard: CallGuard) {
        let last_event = match self.relay(first).await {
            RelayEnd::Completed => None,
            RelayEnd::MarkerMissing => Some(DONE_EVENT.into()),
            RelayEnd::CallerDisconnected => return,
            RelayEnd::Failed(code) => Some(error_event(
                code,
                "no replica of the same version could continue the response",
            )),
        };
        if let Some(event) = last_event {
            let _ = self.send(event).await;
        }
        self.sender.finish();
    }

    async fn relay(&self, first: TargetResponse) -> RelayEnd {
        let mut state = RelayState::default();
        state.stream.pin_version(self.version);
        state.start_attempt(first);
        loop {
            let end = match self.next_event(&mut state).await {
                RelayEvent::Chunk((attempt, Some(Ok(bytes)))) => {
                    self.on_bytes(&mut state, attempt, &bytes).await
                }
                RelayEvent::Chunk((attempt, _)) => self.on_lost(&mut state, attempt),
                RelayEvent::Dispatched(response) => state.on_dispatched(response),
                RelayEvent::Silence => self.on_silence(&mut state),
                RelayEvent::DeadlinePassed => match state.stream.on_deadline() {
                    RecoveryAction::Abort(code) => Some(RelayEnd::Failed(code)),
                    _ => Some(RelayEnd::MarkerMissing),
                },
                RelayEvent::CallerDisconnected => Some(RelayEnd::CallerDisconnected),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn next_event(&self, state: &mut RelayState) -> RelayEvent {
        let is_pending = state.pending.is_some();
        tokio::select! {
            it = state.attempts.next_chunk() => RelayEvent::Chunk(it),
            it = next_response(&mut state.pending) => RelayEvent::Dispatched(it),
            () = self.sender.closed() => RelayEvent::CallerDisconnected,
            () = tokio::time::sleep_until(self.call.deadline.into()) => RelayEvent::DeadlinePassed,
            () = tokio::time::sleep(SILENCE_TIMEOUT), if !is_pending => RelayEvent::Silence,
        }
    }

    /// Delivers the tokens in `bytes`. The first attempt to send the next token is kept, and all others are cancelled.
    async fn on_bytes(
        &self,
        state: &mut RelayState,
        mut attempt: StreamAttempt,
        bytes: &[u8],
    ) -> Option<RelayEnd> {
        attempt.decoder.push(bytes);
        while let Some(event) = attempt.decoder.next_event() {
            let raw = match event {
                StreamEvent::Token {
                    raw,
                    index,
                    version,
                    is_last,
                } => match state.stream.on_token(attempt.id, index, version, is_last) {
                    TokenAction::Deliver => {
                        attempt.record_token();
                        raw
                    }
                    TokenAction::Drop => continue,
                    TokenAction::Reject => return self.on_lost(state, attempt),
                },
                StreamEvent::Done(raw) if state.stream.is_finished() => {
                    let sent = self.send(raw).await;
                    self.dispatcher
                        .guard
                        .record_survival(&self.plan.parts, Instant::now());
                    attempt.response.recycle();
                    return Some(
                        sent.map_or(RelayEnd::CallerDisconnected, |()| RelayEnd::Completed),
                    );
                }
                StreamEvent::Done(_) | StreamEvent::Malformed => {
                    return self.on_lost(state, attempt);
                }
            };
            state.pending = None;
            state.attempts.clear();
            if self.send(raw).await.is_none() {
                return Some(RelayEnd::CallerDisconnected);
            }
        }
        if let Some(begun_at) = attempt.take_survival() {
            self.dispatcher
                .guard
                .record_survival(&self.plan.parts, begun_at);
        }
        state.attempts.push(attempt);
        None
    }

    fn on_lost(&self, state: &mut RelayState, attempt: StreamAttempt) -> Option<RelayEnd> {
        let row = attempt.response.slot.row.clone();
        let host = row.host.clone();
        if attempt.is_starting() {
            self.dispatcher.guard.record_lost(&row, &self.plan.parts);
        }
        self.plan.mark_tried(&host);
        self.dispatcher.scheduler.on_failure(&host);
        let in_time = Instant::now() < self.call.deadline;
        let action = state.stream.on_replica_lost(attempt.id, |_| true, in_time);
        // A further attempt can use the slot.
        drop(attempt);
        match action {
            RecoveryAction::Wait => None,
            RecoveryAction::Resume { from, version } => {
                info!(self.log, "resuming stream"; "request_id" => %self.call.id,
                    "lost" => %host, "from" => from);
                if state.pending.is_none() {
                    state.pending = Some(self.dispatch(self.plan_from(state, from, version)));
                }
                None
            }
            RecoveryAction::Finish => Some(RelayEnd::MarkerMissing),
            RecoveryAction::Restart => Some(RelayEnd::Failed(ResultCode::StreamCut)),
            RecoveryAction::Abort(code) => Some(RelayEnd::Failed(code)),
        }
    }

    /// Starts a further attempt if another target can serve it; the silent ones are kept.
    fn on_silence(&self, state: &mut RelayState) -> Option<RelayEnd> {
        let scheduler = &self.dispatcher.scheduler;
        let hosts = state.attempts.hosts();
        hosts.iter().for_each(|it| scheduler.on_failure(it));
        let has_replica = |version| {
            let plan = self.plan_from(state, state.stream.delivered(), version);
            scheduler.has_target(&self.dispatcher.slot_request(&self.call, &plan))
        };
        let action = state
            .stream
            .on_silence(has_replica, || scheduler.try_acquire_retry());
        match action {
            SilenceAction::Wait => None,
            SilenceAction::TakeOver { from, version } => {
                info!(self.log, "continuing silent stream elsewhere"; "request_id" => %self.call.id,
                    "silent" => ?hosts, "from" => from);
                state.pending = Some(self.dispatch(self.plan_from(state, from, version)));
                None
            }
            SilenceAction::Finish => Some(RelayEnd::MarkerMissing),
        }
    }

    fn plan_from(&self, state: &RelayState, from: u64, version: VersionDigest) -> AttemptPlan {
        AttemptPlan {
            version: Some(version),
            resume_from: from,
            running_hosts: state.attempts.hosts(),
            ..self.plan.clone()
        }
    }

    fn dispatch(&self, plan: AttemptPlan) -> PendingAttempt {
        let (dispatcher, call) = (self.dispatcher.clone(), self.call.clone());
        let log = self.log.clone();
        Box::pin(async move {
            let result = dispatcher.dispatch(&call, &plan).await;
            result
                .inspect_err(|err| {
                    info!(log, "no target continues the stream"; "request_id" => %call.id,
                        "code" => err.code.number(), "message" => &err.message);
                })
                .ok()
        })
    }

    async fn send(&self, bytes: Bytes) -> Option<()> {
        self.sender.send(bytes).await.ok()
    }
}

impl RelayState {
    fn start_attempt(&mut self, response: TargetResponse) {
        let attempt = StreamAttempt::new(response);
        self.stream.on_attempt_started(attempt.id);
        self.attempts.push(attempt);
    }

    fn on_dispatched(&mut self, response: Option<TargetResponse>) -> Option<RelayEnd> {
        self.pending = None;
        match response {
            Some(response) => {
                self.start_attempt(response);
                None
            }
            None if self.attempts.is_empty() => Some(RelayEnd::Failed(ResultCode::StreamCut)),
            None => None,
        }
    }
}

async fn next_response(pending: &mut Option<PendingAttempt>) -> Option<TargetResponse> {
    match pending {
        Some(it) => it.await,
        None => future::pending().await,
    }
}

/// Returns the event that terminates an incomplete stream.
fn error_event(code: ResultCode, message: &str) -> Bytes {
    let data =
        serde_json::json!({ "code": code.number(), "name": code.name(), "message": message });
    format!("event: error\ndata: {data}\n\n").into()
}

/// End-of-stream marker.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Time without data after which another replica may take over: far longer than the interval between tokens, and far
/// shorter than callers are willing to wait. A sound replica may be silent for longer.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
