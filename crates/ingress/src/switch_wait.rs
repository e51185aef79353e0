//! The wait of a stream that its replica has ended at a switch of its weights.

use std::time::{Duration, Instant};

use crate::entry_shared::EntryShared;
use crate::retry_denial::RetryDenial;

/// Waits for a replica that can continue a stream: weights are loaded around a switch, so one may be usable soon.
#[derive(Debug, Default)]
pub(crate) struct SwitchWait {
    /// When the stream was ended and until when its client stays, while no replica has continued it.
    ended: Option<(Instant, Instant)>,
    /// Whether no replica could continue it at once.
    has_waited: bool,
}

/// How a stream that was ended at a switch went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SwitchGap {
    /// When the stream was ended.
    pub(crate) since: Instant,
    /// The outcome in logs and metrics.
    pub(crate) outcome: &'static str,
}

impl SwitchWait {
    /// Records at `now` that the stream was ended, and that its client stays for `patience`.
    pub(crate) fn begin(&mut self, now: Instant, patience: Duration) {
        self.ended.get_or_insert((now, now + patience));
    }

    /// Returns whether the stream waits at `now` after `denial`, although its deadline is `deadline`.
    pub(crate) fn may_wait(
        &mut self,
        denial: RetryDenial,
        now: Instant,
        deadline: Instant,
    ) -> bool {
        let is_patient = self.ended.is_some_and(|it| now < it.1);
        let may_wait = is_patient && now < deadline && !denial.is_final();
        self.has_waited |= may_wait;
        may_wait
    }

    /// Returns whether the stream has looked for a replica in vain before.
    pub(crate) fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Ends the wait because a replica has continued the stream.
    pub(crate) fn end(&mut self) -> Option<SwitchGap> {
        let outcome = if self.has_waited {
            "waited"
        } else {
            "continued"
        };
        self.end_as(outcome)
    }

    /// Ends the wait with `outcome`, if the stream was ended at a switch and no replica has continued it.
    pub(crate) fn end_as(&mut self, outcome: &'static str) -> Option<SwitchGap> {
        self.has_waited = false;
        let (since, _) = self.ended.take()?;
        Some(SwitchGap { since, outcome })
    }
}

impl SwitchGap {
    /// Counts what became of the stream.
    pub(crate) fn record(self, shared: &EntryShared) {
        let ended = &shared.metrics.streams_ended_at_switch;
        ended.with_label_values(&[self.outcome]).inc();
    }
}
