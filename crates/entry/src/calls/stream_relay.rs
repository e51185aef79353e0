//! Relay of streamed responses, with failover between replicas.

use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::BodySender;
use model::{AttemptId, ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, TokenAction};
use slog::{Logger, info};

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::dispatcher::{Dispatcher, new_attempt_id};
use crate::calls::stream_events::{EventDecoder, StreamEvent};
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

/// Reason why relaying from one replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    Completed,
    CallerDisconnected,
    ReplicaLost,
}

impl StreamRelay {
    /// Relays the stream token by token, and resumes it on another replica after a failure.
    ///
    /// If the response cannot be completed, the stream ends with an error event instead of the end-of-stream marker.
    pub(crate) async fn run(mut self, first: TargetResponse, _guard: CallGuard) {
        let mut stream = ResumableStream::default();
        stream.pin_version(self.version);
        let mut response = first;
        loop {
            let host = response.slot.row.host.clone();
            let attempt = new_attempt_id();
            stream.on_attempt_started(attempt);
            match self.relay_attempt(response, attempt, &mut stream).await {
                RelayEnd::Completed => {
                    self.sender.finish();
                    return;
                }
                RelayEnd::CallerDisconnected => return,
                RelayEnd::ReplicaLost => {}
            }
            self.plan.mark_tried(&host);
            self.dispatcher.scheduler.on_failure(&host);
            let in_time = Instant::now() < self.call.deadline;
            let code = match stream.on_replica_lost(|_| true, in_time) {
                RecoveryAction::Resume { from, version } => {
                    info!(self.log, "resuming stream"; "request_id" => %self.call.id,
                        "lost" => %host, "from" => from);
                    self.plan.version = Some(version);
                    self.plan.resume_from = from;
                    match self.dispatch_remainder().await {
                        Some(continuation) => {
                            response = continuation;
                            continue;
                        }
                        None => ResultCode::StreamCut,
                    }
                }
                RecoveryAction::Finish => {
                    let _ = self.send(DONE_EVENT.into()).await;
                    self.sender.finish();
                    return;
                }
                RecoveryAction::Restart => ResultCode::StreamCut,
                RecoveryAction::Abort(code) => code,
            };
            let event = error_event(
                code,
                "no replica of the same version could continue the response",
            );
            let _ = self.send(event).await;
            self.sender.finish();
            return;
        }
    }

    async fn dispatch_remainder(&self) -> Option<TargetResponse> {
        tokio::select! {
            it = self.dispatcher.dispatch(&self.call, &self.plan) => it.ok(),
            () = self.sender.closed() => None,
        }
    }

    async fn relay_attempt(
        &self,
        mut response: TargetResponse,
        attempt: AttemptId,
        stream: &mut ResumableStream,
    ) -> RelayEnd {
        let mut decoder = EventDecoder::default();
        loop {
            let time_remaining = self.call.deadline.saturating_duration_since(Instant::now());
            let bytes = tokio::select! {
                it = tokio::time::timeout(time_remaining.min(BODY_IDLE_TIMEOUT), response.next_chunk()) => it,
                () = self.sender.closed() => return RelayEnd::CallerDisconnected,
            };
            let Ok(Some(Ok(bytes))) = bytes else {
                return RelayEnd::ReplicaLost;
            };
            decoder.push(&bytes);
            while let Some(event) = decoder.next_event() {
                let raw = match event {
                    StreamEvent::Token {
                        raw,
                        index,
                        version,
                        is_last,
                    } => match stream.on_token(attempt, index, version, is_last) {
                        TokenAction::Deliver => raw,
                        TokenAction::Drop => continue,
                        TokenAction::Reject => return RelayEnd::ReplicaLost,
                    },
                    StreamEvent::Done(raw) if stream.is_finished() => {
                        let sent = self.send(raw).await;
                        response.recycle();
                        return sent.map_or(RelayEnd::CallerDisconnected, |()| RelayEnd::Completed);
                    }
                    StreamEvent::Done(_) | StreamEvent::Malformed => return RelayEnd::ReplicaLost,
                };
                if self.send(raw).await.is_none() {
                    return RelayEnd::CallerDisconnected;
                }
            }
        }
    }

    async fn send(&self, bytes: Bytes) -> Option<()> {
        self.sender.send(bytes).await.ok()
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

/// Time without data after which a replica counts as lost: far longer than the interval between tokens, and far shorter
/// than callers are willing to wait.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
