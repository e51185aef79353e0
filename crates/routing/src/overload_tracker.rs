//! Whether a process is overloaded, since when and why.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// What showed the overload first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadCause {
    /// Every target was at its limit.
    TargetsFull,
    /// The queue was full.
    QueueFull,
    /// The expected wait was longer than the request allowed.
    WaitTooLong,
    /// A first token came later than its target.
    FirstTokenLate,
}

impl OverloadCause {
    /// Returns the cause as it stands in logs, answers and tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TargetsFull => "targets-full",
            Self::QueueFull => "queue-full",
            Self::WaitTooLong => "wait-too-long",
            Self::FirstTokenLate => "first-token-late",
        }
    }
}

impl fmt::Display for OverloadCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// An overload that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadState {
    /// The time of the first sign.
    pub since: Instant,
    /// What the first sign was.
    pub cause: OverloadCause,
    /// Signs so far.
    pub signs: u64,
    last: Instant,
}

/// A change that belongs in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// An overload began.
    Started(OverloadCause),
    /// The overload ended after this time.
    Ended(Duration),
}

/// Turns refusals and late first tokens into one state that is true from the first sign on.
#[derive(Clone, Debug, Default)]
pub struct OverloadTracker {
    state: Option<OverloadState>,
}

impl OverloadTracker {
    /// Notes a refusal for load or a late first token; returns a change when it is the first of an overload.
    pub fn on_sign(&mut self, now: Instant, cause: OverloadCause) -> Option<OverloadChange> {
        let ended = self.on_tick(now);
        match &mut self.state {
            Some(state) => {
                state.last = now;
                state.signs += 1;
                ended
            }
            None => {
                self.state = Some(OverloadState {
                    since: now,
                    cause,
                    signs: 1,
                    last: now,
                });
                Some(OverloadChange::Started(cause))
            }
        }
    }

    /// Ends the overload when there was no sign for a while.
    pub fn on_tick(&mut self, now: Instant) -> Option<OverloadChange> {
        let state = self.state?;
        if now.saturating_duration_since(state.last) < QUIET {
            return None;
        }
        self.state = None;
        Some(OverloadChange::Ended(
            state.last.saturating_duration_since(state.since),
        ))
    }

    /// Returns the overload as of `now`.
    pub fn state(&self, now: Instant) -> Option<OverloadState> {
        self.state
            .filter(|it| now.saturating_duration_since(it.last) < QUIET)
    }
}

/// Time without a sign after which an overload has ended.
const QUIET: Duration = Duration::from_secs(5);
