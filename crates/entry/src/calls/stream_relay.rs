//! Passes a streamed answer on, over several replicas where it has to be.

use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::BodySender;
use hyper::body::Frame;
use model::{AttemptId, ResultCode, VersionDigest};
use routing::{RecoveryAction, ResumableStream, TokenAction};
use slog::{Logger, info};

use crate::calls::attempt_plan::AttemptPlan;
use crate::calls::call_context::CallContext;
use crate::calls::call_counters::CallGuard;
use crate::calls::dispatcher::{Dispatcher, new_attempt};
use crate::calls::stream_events::{EventBuffer, StreamEvent};
use crate::calls::target_reply::TargetReply;

/// One streamed answer on its way to the caller.
pub(crate) struct StreamRelay {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) call: CallContext,
    pub(crate) plan: AttemptPlan,
    pub(crate) version: VersionDigest,
    pub(crate) sender: BodySender,
    pub(crate) log: Logger,
}

/// How the stream of one replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SourceEnd {
    Whole,
    CallerGone,
    Lost,
}

impl StreamRelay {
    /// Relays token by token; an answer that cannot be made whole ends with an error event and without its end mark.
    pub(crate) async fn run(mut self, first: TargetReply, _guard: CallGuard) {
        let mut resume = ResumableStream::default();
        resume.pin_version(self.version);
        let mut reply = first;
        loop {
            let host = reply.slot.row.host.clone();
            let source = new_attempt();
            resume.on_attempt_started(source);
            match self.relay_source(reply, source, &mut resume).await {
                SourceEnd::Whole | SourceEnd::CallerGone => return,
                SourceEnd::Lost => {}
            }
            self.plan.note_tried(&host);
            self.dispatcher.shared.on_failure(&host);
            let in_time = Instant::now() < self.call.deadline;
            let code = match resume.on_replica_lost(|_| true, in_time) {
                RecoveryAction::Resume { from, version } => {
                    info!(self.log, "stream resumes"; "request_id" => %self.call.id,
                        "lost" => %host, "from" => from);
                    self.plan.version = Some(version);
                    self.plan.resume_from = from;
                    match self.resume().await {
                        Some(next) => {
                            reply = next;
                            continue;
                        }
                        None => ResultCode::StreamCut,
                    }
                }
                RecoveryAction::Finish => {
                    let _ = self.send(DONE_EVENT.into()).await;
                    return;
                }
                RecoveryAction::Restart => ResultCode::StreamCut,
                RecoveryAction::Abort(code) => code,
            };
            let event = error_event(code, "no replica of the version could continue the answer");
            let _ = self.send(event).await;
            return;
        }
    }

    async fn resume(&self) -> Option<TargetReply> {
        tokio::select! {
            it = self.dispatcher.dispatch(&self.call, &self.plan) => it.ok(),
            () = self.sender.closed() => None,
        }
    }

    async fn relay_source(
        &self,
        mut reply: TargetReply,
        source: AttemptId,
        resume: &mut ResumableStream,
    ) -> SourceEnd {
        let mut events = EventBuffer::default();
        loop {
            let left = self.call.deadline.saturating_duration_since(Instant::now());
            let bytes = tokio::select! {
                it = tokio::time::timeout(left.min(MAX_SILENCE), reply.next_bytes()) => it,
                () = self.sender.closed() => return SourceEnd::CallerGone,
            };
            let Ok(Some(Ok(bytes))) = bytes else {
                return SourceEnd::Lost;
            };
            events.push(&bytes);
            while let Some(event) = events.next() {
                let raw = match event {
                    StreamEvent::Token {
                        raw,
                        index,
                        version,
                        last,
                    } => match resume.on_token(source, index, version, last) {
                        TokenAction::Deliver => raw,
                        TokenAction::Drop => continue,
                        TokenAction::Reject => return SourceEnd::Lost,
                    },
                    StreamEvent::Done(raw) if resume.is_finished() => {
                        let end = self.send(raw).await;
                        reply.recycle();
                        return end.map_or(SourceEnd::CallerGone, |()| SourceEnd::Whole);
                    }
                    StreamEvent::Done(_) | StreamEvent::Malformed => return SourceEnd::Lost,
                };
                if self.send(raw).await.is_none() {
                    return SourceEnd::CallerGone;
                }
            }
        }
    }

    async fn send(&self, bytes: Bytes) -> Option<()> {
        self.sender.send(Ok(Frame::data(bytes))).await.ok()
    }
}

/// Returns the event that ends an answer which is not whole.
fn error_event(code: ResultCode, message: &str) -> Bytes {
    let data =
        serde_json::json!({ "code": code.number(), "name": code.name(), "message": message });
    format!("event: error\ndata: {data}\n\n").into()
}

/// The end of every whole streamed answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Silence after which a replica counts as lost: far above a token gap, far below a caller's patience.
const MAX_SILENCE: Duration = Duration::from_secs(3);
