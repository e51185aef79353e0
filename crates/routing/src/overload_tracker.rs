//! Whether a process is overloaded, since when and why.

use std::time::{Duration, Instant};

use model::OverloadCause;

/// An overload that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadState {
    /// The time of the first sign.
    pub since: Instant,
    /// What the first sign was.
    pub cause: OverloadCause,
    /// Signs so far.
    pub signals: u64,
    last: Instant,
}

/// A change that belongs in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadTransition {
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
    pub fn on_signal(&mut self, now: Instant, cause: OverloadCause) -> Option<OverloadTransition> {
        let ended = self.on_tick(now);
        match &mut self.state {
            Some(state) => {
                state.last = now;
                state.signals += 1;
                ended
            }
            None => {
                self.state = Some(OverloadState {
                    since: now,
                    cause,
                    signals: 1,
                    last: now,
                });
                Some(OverloadTransition::Started(cause))
            }
        }
    }

    /// Ends the overload when there was no sign for a while.
    pub fn on_tick(&mut self, now: Instant) -> Option<OverloadTransition> {
        let state = self.state?;
        if now.saturating_duration_since(state.last) < QUIET {
            return None;
        }
        self.state = None;
        Some(OverloadTransition::Ended(
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
