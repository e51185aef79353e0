//! An attempt that the gate has admitted.

use std::sync::Arc;
use std::time::Instant;

use model::AttemptId;
use routing::CallKind;

use crate::gate::shared_gate::SharedGate;

/// Guard of an admitted attempt: measures the response and, when dropped, releases the attempt at the gate.
pub(crate) struct AdmittedAttempt {
    gate: Arc<SharedGate>,
    attempt: AttemptId,
    kind: CallKind,
    tokens_remaining: u32,
    is_streaming: bool,
    last_frame_at: Instant,
    has_started: bool,
}

impl AdmittedAttempt {
    pub(crate) fn new(
        gate: Arc<SharedGate>,
        attempt: AttemptId,
        kind: CallKind,
        tokens: u32,
        is_streaming: bool,
    ) -> Self {
        Self {
            gate,
            attempt,
            kind,
            tokens_remaining: tokens,
            is_streaming,
            last_frame_at: Instant::now(),
            has_started: false,
        }
    }

    pub(crate) fn kind(&self) -> CallKind {
        self.kind
    }

    /// Records the arrival of a response frame. Completions that are not streamed are ignored, since their frames do
    /// not show when the first token was produced.
    pub(crate) fn on_frame(&mut self) {
        if self.kind == CallKind::Completion && !self.is_streaming {
            return;
        }
        let now = Instant::now();
        let elapsed = now.duration_since(self.last_frame_at);
        self.last_frame_at = now;
        if !std::mem::replace(&mut self.has_started, true) {
            match self.kind {
                CallKind::Completion => self.gate.on_first_token(elapsed),
                CallKind::Lookup | CallKind::Order => self.gate.on_response(elapsed),
            }
        } else if self.tokens_remaining > 0 {
            self.tokens_remaining -= 1;
            self.gate.on_token(elapsed);
        }
    }
}

impl Drop for AdmittedAttempt {
    fn drop(&mut self) {
        self.gate
            .finish(self.attempt, self.kind, self.tokens_remaining);
    }
}
