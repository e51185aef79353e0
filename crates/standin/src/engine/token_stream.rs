//! Generation of the tokens of one response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use httpio::BodySender;
use model::VersionDigest;
use tokio::sync::watch;

use crate::engine::batch_queue::{BatchQueue, BatchSlot};
use crate::engine::deterministic_response::DeterministicResponse;
use crate::engine::engine_inner::{KvSnapshot, StopReason};
use crate::engine::engine_request::CompletionRequest;
use crate::engine::engine_responses;
use crate::engine::engine_shared::EngineShared;

/// A request that the engine has admitted. If it is dropped after it started and before it finished, it counts as
/// cancelled.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) shared: Arc<EngineShared>,
    pub(crate) request: CompletionRequest,
    pub(crate) version: VersionDigest,
    pub(crate) stop_signal: watch::Receiver<Option<StopReason>>,
    running_id: u64,
    started: bool,
    finished: bool,
}

/// How token generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionEnd {
    Complete,
    ClientDisconnected,
    Stopped(StopReason),
    Truncated,
}

/// Interval at which a request to a hanging or paused engine checks whether the fault has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of tokens that the `cut_next` fault lets through before it ends a response.
const TOKENS_BEFORE_TRUNCATION: usize = 3;

impl AdmittedRequest {
    pub(crate) fn new(
        shared: Arc<EngineShared>,
        request: CompletionRequest,
        version: VersionDigest,
        running_id: u64,
        stop_signal: watch::Receiver<Option<StopReason>>,
    ) -> Self {
        Self {
            shared,
            request,
            version,
            stop_signal,
            running_id,
            started: false,
            finished: false,
        }
    }

    /// Waits for a slot in the batch of `queue`.
    pub(crate) async fn wait_for_slot(
        &mut self,
        queue: &BatchQueue,
    ) -> Result<BatchSlot, StopReason> {
        let mut ticket = queue.join(self.request.priority);
        let slot = tokio::select! {
            slot = ticket.wait() => slot,
            reason = wait_for_stop(&mut self.stop_signal) => return Err(reason),
        };
        self.started = true;
        let now = Instant::now();
        let mut inner = self.shared.inner();
        inner.runs_by_request.start(&self.request.request_id, now);
        inner.runs_by_prompt.start(&self.request.prompt, now);
        slot.ok_or(StopReason::Crashed)
    }

    /// Generates the tokens and passes each one to `emit`, which returns whether the client is still connected.
    pub(crate) async fn generate<E, R>(&mut self, mut emit: E) -> CompletionEnd
    where
        E: FnMut(usize, String, bool) -> R,
        R: Future<Output = bool>,
    {
        let response = DeterministicResponse::new(self.version, &self.request.prompt);
        let (prefill, truncated) = self.begin_prefill();
        let mut next_at = tokio::time::Instant::now() + prefill;
        let last = self.request.max_tokens.max(self.request.resume_from + 1) - 1;
        for index in self.request.resume_from..=last {
            next_at += self.current_token_interval();
            tokio::select! {
                () = tokio::time::sleep_until(next_at) => {}
                reason = wait_for_stop(&mut self.stop_signal) => return CompletionEnd::Stopped(reason),
            }
            while self.shared.inner().faults.holds_tokens() {
                tokio::select! {
                    () = tokio::time::sleep(HANG_POLL_INTERVAL) => {}
                    reason = wait_for_stop(&mut self.stop_signal) => return CompletionEnd::Stopped(reason),
                }
                next_at = tokio::time::Instant::now();
            }
            if truncated && index >= self.request.resume_from + TOKENS_BEFORE_TRUNCATION {
                return CompletionEnd::Truncated;
            }
            let text = match index < self.request.max_tokens {
                true => response.token(index),
                false => String::new(),
            };
            if !emit(index, text, index == last).await {
                return CompletionEnd::ClientDisconnected;
            }
            next_at = next_at.max(tokio::time::Instant::now() - self.current_token_interval());
            self.record_token(index);
        }
        CompletionEnd::Complete
    }

    /// Marks the request as finished.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
        let mut inner = self.shared.inner();
        inner.runs_by_request.finish(&self.request.request_id);
        inner.runs_by_prompt.finish(&self.request.prompt);
    }

    /// Sends the tokens as events until the response is complete or generation ends early.
    pub(crate) async fn stream(mut self, slot: BatchSlot, sender: BodySender) {
        let request = self.request.clone();
        let version = self.version;
        let padding = self.shared.options().event_padding;
        let generate = self.generate(|index, text, last| {
            let event =
                engine_responses::token_event(&request, version, index, &text, last, padding);
            let sender = &sender;
            async move { sender.send(event).await.is_ok() }
        });
        // A client may leave while the engine sends nothing.
        let end = tokio::select! {
            it = generate => it,
            () = sender.closed() => CompletionEnd::ClientDisconnected,
        };
        drop(slot);
        if end == CompletionEnd::Complete {
            self.finish();
            let _ = sender.send(engine_responses::DONE_EVENT.into()).await;
            sender.finish();
        } else if end == CompletionEnd::Truncated && self.shared.inner().faults.unframed {
            sender.finish();
        }
    }

    /// Updates the prefix cache and consumes one `cut_next` fault, if there is one. Returns the time to prefill and
    /// whether the response is to be truncated.
    fn begin_prefill(&self) -> (Duration, bool) {
        let mut inner = self.shared.inner();
        let tokens = inner.prefill_tokens(&self.request, Instant::now());
        let truncated = inner.faults.cut_next > 0;
        inner.faults.cut_next = inner.faults.cut_next.saturating_sub(1);
        let prefill = self.shared.options().prefill_per_token * tokens as u32;
        (prefill.mul_f64(inner.faults.slow_factor), truncated)
    }

    /// Returns the time per token at the current batch occupancy.
    fn current_token_interval(&self) -> Duration {
        let options = self.shared.options();
        let (occupied, _) = self.shared.queue().occupancy();
        let occupied_share = occupied as f64 / options.max_batch.max(1) as f64;
        let slow_factor = self.shared.inner().faults.slow_factor;
        options
            .token_interval
            .mul_f64(slow_factor * (1.0 + options.batch_slowdown * occupied_share))
    }

    /// Counts a generated token and updates the KV cache of the request for export.
    fn record_token(&self, index: usize) {
        let mut inner = self.shared.inner();
        inner.tokens += 1;
        if !self.shared.options().supports_kv_transfer {
            return;
        }
        match inner.kv_snapshots.get_mut(&self.request.request_id) {
            Some(snapshot) => snapshot.tokens = index + 1,
            None => inner.store_kv(KvSnapshot {
                request_id: self.request.request_id.clone(),
                version: self.version,
                prompt: self.request.prompt.clone(),
                tokens: index + 1,
            }),
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let mut inner = self.shared.inner();
        inner.unregister(self.running_id);
        if self.started && !self.finished {
            inner.runs_by_request.cancel(&self.request.request_id);
            inner.runs_by_prompt.cancel(&self.request.prompt);
        }
    }
}

/// Waits until the request is aborted.
pub(crate) async fn wait_for_stop(
    stop_signal: &mut watch::Receiver<Option<StopReason>>,
) -> StopReason {
    let reason = stop_signal
        .wait_for(Option::is_some)
        .await
        .ok()
        .and_then(|it| *it);
    match reason {
        Some(reason) => reason,
        // The request is no longer registered, so it cannot be aborted.
        None => std::future::pending().await,
    }
}
