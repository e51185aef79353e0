//! The computation of one answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use httpio::BodySender;
use hyper::body::Frame;
use model::VersionDigest;
use tokio::sync::watch;

use crate::engine::batch_queue::{BatchPlace, BatchQueue};
use crate::engine::deterministic_answer::DeterministicAnswer;
use crate::engine::engine_inner::{KvSnapshot, StopReason};
use crate::engine::engine_request::TokenRequest;
use crate::engine::engine_responses;
use crate::engine::engine_shared::EngineShared;

/// A request that the engine has admitted; it counts as cancelled unless it is finished.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) shared: Arc<EngineShared>,
    pub(crate) request: TokenRequest,
    pub(crate) version: VersionDigest,
    pub(crate) stop: watch::Receiver<Option<StopReason>>,
    number: u64,
    started: bool,
    finished: bool,
}

/// How a computation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    Whole,
    CallerGone,
    Stopped(StopReason),
    Cut,
}

/// Time after which a hanging engine looks whether it may go on.
const HANG_POLL: Duration = Duration::from_millis(20);

/// Tokens after which a stream is cut that is to be cut.
const TOKENS_BEFORE_CUT: usize = 3;

impl AdmittedRequest {
    pub(crate) fn new(
        shared: Arc<EngineShared>,
        request: TokenRequest,
        version: VersionDigest,
        number: u64,
        stop: watch::Receiver<Option<StopReason>>,
    ) -> Self {
        Self {
            shared,
            request,
            version,
            stop,
            number,
            started: false,
            finished: false,
        }
    }

    /// Waits for a place in the batch of `queue`.
    pub(crate) async fn wait_for_place(
        &mut self,
        queue: &BatchQueue,
    ) -> Result<BatchPlace, StopReason> {
        let mut ticket = queue.join(self.request.priority);
        let place = tokio::select! {
            place = ticket.wait() => place,
            reason = stopped(&mut self.stop) => return Err(reason),
        };
        self.started = true;
        let now = Instant::now();
        let mut inner = self.shared.inner();
        inner.by_request.start(&self.request.request_id, now);
        inner.by_prompt.start(&self.request.prompt, now);
        place.ok_or(StopReason::Crashed)
    }

    /// Computes the tokens and hands each one to `emit`, which tells whether the caller is still there.
    pub(crate) async fn compute<E, R>(&mut self, mut emit: E) -> AnswerEnd
    where
        E: FnMut(usize, String, bool) -> R,
        R: Future<Output = bool>,
    {
        let script = DeterministicAnswer::new(self.version, &self.request.prompt);
        let (prefill, cut) = self.begin();
        let mut next = tokio::time::Instant::now() + prefill;
        let last = self.request.max_tokens.max(self.request.resume_from + 1) - 1;
        for index in self.request.resume_from..=last {
            next += self.interval();
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                reason = stopped(&mut self.stop) => return AnswerEnd::Stopped(reason),
            }
            while self.shared.inner().faults.hang {
                tokio::select! {
                    () = tokio::time::sleep(HANG_POLL) => {}
                    reason = stopped(&mut self.stop) => return AnswerEnd::Stopped(reason),
                }
                next = tokio::time::Instant::now();
            }
            if cut && index >= self.request.resume_from + TOKENS_BEFORE_CUT {
                return AnswerEnd::Cut;
            }
            let text = match index < self.request.max_tokens {
                true => script.token(index),
                false => String::new(),
            };
            if !emit(index, text, index == last).await {
                return AnswerEnd::CallerGone;
            }
            next = next.max(tokio::time::Instant::now() - self.interval());
            self.note_token(index);
        }
        AnswerEnd::Whole
    }

    /// Counts the request as finished.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
        let mut inner = self.shared.inner();
        inner.by_request.finish(&self.request.request_id);
        inner.by_prompt.finish(&self.request.prompt);
    }

    /// Sends the tokens as events until the answer is whole or the caller goes away.
    pub(crate) async fn stream(mut self, place: BatchPlace, sender: BodySender) {
        let request = self.request.clone();
        let version = self.version;
        let end = self
            .compute(|index, text, last| {
                let event = engine_responses::token_event(&request, version, index, &text, last);
                let sender = &sender;
                async move { sender.send(Ok(Frame::data(event))).await.is_ok() }
            })
            .await;
        drop(place);
        if end == AnswerEnd::Whole {
            let done = Frame::data(engine_responses::DONE_EVENT.into());
            self.finish();
            let _ = sender.send(Ok(done)).await;
            return;
        }
        let error = std::io::Error::other("the stream ends early");
        let _ = sender.try_send(Err(error));
    }

    fn begin(&self) -> (Duration, bool) {
        let mut inner = self.shared.inner();
        let tokens = inner.prefill_tokens(&self.request, Instant::now());
        let cut = inner.faults.cut_next > 0;
        inner.faults.cut_next = inner.faults.cut_next.saturating_sub(1);
        let prefill = self.shared.options().prefill_per_token * tokens as u32;
        (prefill.mul_f64(inner.faults.slow_factor), cut)
    }

    fn interval(&self) -> Duration {
        let options = self.shared.options();
        let (used, _) = self.shared.queue().lengths();
        let fullness = used as f64 / options.max_batch.max(1) as f64;
        let slow_factor = self.shared.inner().faults.slow_factor;
        options
            .token_interval
            .mul_f64(slow_factor * (1.0 + options.batch_slowdown * fullness))
    }

    fn note_token(&self, index: usize) {
        let mut inner = self.shared.inner();
        inner.tokens += 1;
        if !self.shared.options().supports_kv_transfer {
            return;
        }
        match inner.kv.get_mut(&self.request.request_id) {
            Some(snapshot) => snapshot.tokens = index + 1,
            None => inner.keep_kv(KvSnapshot {
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
        inner.unregister(self.number);
        if self.started && !self.finished {
            inner.by_request.cancel(&self.request.request_id);
            inner.by_prompt.cancel(&self.request.prompt);
        }
    }
}

/// Waits until the request is given up.
pub(crate) async fn stopped(stop: &mut watch::Receiver<Option<StopReason>>) -> StopReason {
    let reason = stop.wait_for(Option::is_some).await.ok().and_then(|it| *it);
    match reason {
        Some(reason) => reason,
        // The request is not registered any more, so nobody can stop it.
        None => std::future::pending().await,
    }
}
