//! The attempts of a streamed response that run at the same time.

use std::collections::BTreeSet;
use std::future;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use model::{AttemptId, HostName};

use crate::calls::dispatcher;
use crate::calls::stream_events::EventDecoder;
use crate::calls::target_response::TargetResponse;

/// One attempt, whose response is being read. Dropping it cancels the request at its target and releases the slot.
#[derive(Debug)]
pub(crate) struct StreamAttempt {
    pub(crate) id: AttemptId,
    pub(crate) response: TargetResponse,
    pub(crate) decoder: EventDecoder,
    /// When its first token arrived.
    begun_at: Option<Instant>,
    is_survival_taken: bool,
}

/// Attempts in the order in which they last sent data.
#[derive(Debug, Default)]
pub(crate) struct StreamAttempts(Vec<StreamAttempt>);

/// An attempt and its next data frame, which is `None` at the end of the response.
pub(crate) type AttemptChunk = (StreamAttempt, Option<std::io::Result<Bytes>>);

impl StreamAttempt {
    pub(crate) fn new(response: TargetResponse) -> Self {
        Self {
            id: dispatcher::new_attempt_id(),
            response,
            decoder: EventDecoder::default(),
            begun_at: None,
            is_survival_taken: false,
        }
    }

    /// Records that a token of the attempt was delivered.
    pub(crate) fn record_token(&mut self) {
        self.begun_at.get_or_insert_with(Instant::now);
    }

    /// Returns whether the target was about to begin the response or had just begun it.
    pub(crate) fn is_starting(&self) -> bool {
        self.begun_at.is_none_or(|it| it.elapsed() < START_GRACE)
    }

    /// Returns when the response began, once its start counts as survived and not more than once.
    pub(crate) fn take_survival(&mut self) -> Option<Instant> {
        if self.is_survival_taken || self.is_starting() {
            return None;
        }
        self.is_survival_taken = true;
        self.begun_at
    }
}

impl StreamAttempts {
    pub(crate) fn push(&mut self, attempt: StreamAttempt) {
        self.0.push(attempt);
    }

    /// Waits for the next data frame of any attempt, and removes that attempt. Cancelling the wait loses no data.
    pub(crate) async fn next_chunk(&mut self) -> AttemptChunk {
        future::poll_fn(|cx| {
            let mut attempts = self.0.iter_mut().enumerate();
            let ready = attempts.find_map(|(idx, it)| match it.response.poll_chunk(cx) {
                Poll::Ready(chunk) => Some((idx, chunk)),
                Poll::Pending => None,
            });
            match ready {
                Some((idx, chunk)) => Poll::Ready((self.0.remove(idx), chunk)),
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Cancels all attempts.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the hosts at which the attempts run.
    pub(crate) fn hosts(&self) -> BTreeSet<HostName> {
        let hosts = self.0.iter().map(|it| &it.response.slot.row.host);
        hosts.cloned().collect()
    }
}

/// Time after the first token in which a crash of the target may be due to the request.
const START_GRACE: Duration = Duration::from_millis(250);
