//! An attempt that the gate has admitted.

use std::sync::Arc;
use std::time::Instant;

use model::AttemptId;
use routing::CallKind;

use crate::gate::gate_shared::GateShared;

/// Measures an admitted attempt and ends it at the gate, whichever way it goes.
pub(crate) struct AdmittedAttempt {
    gate: Arc<GateShared>,
    attempt: AttemptId,
    kind: CallKind,
    tokens_left: u32,
    streams: bool,
    last: Instant,
    has_begun: bool,
}

impl AdmittedAttempt {
    pub(crate) fn new(
        gate: Arc<GateShared>,
        attempt: AttemptId,
        kind: CallKind,
        tokens: u32,
        streams: bool,
    ) -> Self {
        Self {
            gate,
            attempt,
            kind,
            tokens_left: tokens,
            streams,
            last: Instant::now(),
            has_begun: false,
        }
    }

    pub(crate) fn kind(&self) -> CallKind {
        self.kind
    }

    /// Notes a piece of the answer; an answer that is not streamed says nothing about its first token.
    pub(crate) fn on_piece(&mut self) {
        if self.kind == CallKind::Completion && !self.streams {
            return;
        }
        let now = Instant::now();
        let elapsed = now.duration_since(self.last);
        self.last = now;
        if !std::mem::replace(&mut self.has_begun, true) {
            match self.kind {
                CallKind::Completion => self.gate.on_first_token(elapsed),
                CallKind::Lookup | CallKind::Order => self.gate.on_answer(elapsed),
            }
        } else if self.tokens_left > 0 {
            self.tokens_left -= 1;
            self.gate.on_token(elapsed);
        }
    }
}

impl Drop for AdmittedAttempt {
    fn drop(&mut self) {
        self.gate.end(self.attempt, self.kind, self.tokens_left);
    }
}
