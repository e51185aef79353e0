//! Overload detection with start time and cause.

use std::time::{Duration, Instant};

use model::OverloadCause;

/// Overload in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverloadState {
    /// Time of the first overload signal.
    pub since: Instant,
    /// Cause of the first overload signal.
    pub cause: OverloadCause,
    /// Number of overload signals so far.
    pub signals: u64,
    last_signal: Instant,
}

/// Transition into or out of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadTransition {
    /// An overload started with this cause.
    Started(OverloadCause),
    /// The overload ended; its first and last signals were this far apart.
    Ended(Duration),
}

/// Derives the overload state from load refusals and late first tokens; the first signal starts an overload.
#[derive(Clone, Debug, Default)]
pub struct OverloadTracker {
    state: Option<OverloadState>,
}

impl OverloadTracker {
    /// Records a load refusal or a late first token, and returns the transition if the state changes.
    pub fn on_signal(&mut self, now: Instant, cause: OverloadCause) -> Option<OverloadTransition> {
        let ended = self.on_tick(now);
        match &mut self.state {
            Some(state) => {
                state.last_signal = now;
                state.signals += 1;
                ended
            }
            None => {
                self.state = Some(OverloadState {
                    since: now,
                    cause,
                    signals: 1,
                    last_signal: now,
                });
                Some(OverloadTransition::Started(cause))
            }
        }
    }

    /// Ends the overload if there were no signals for a quiet period.
    pub fn on_tick(&mut self, now: Instant) -> Option<OverloadTransition> {
        let state = self.state?;
        if now.saturating_duration_since(state.last_signal) < QUIET_PERIOD {
            return None;
        }
        self.state = None;
        Some(OverloadTransition::Ended(
            state.last_signal.saturating_duration_since(state.since),
        ))
    }

    /// Returns the overload in progress at `now`, if any.
    pub fn state(&self, now: Instant) -> Option<OverloadState> {
        self.state
            .filter(|it| now.saturating_duration_since(it.last_signal) < QUIET_PERIOD)
    }
}

/// Time without signals after which an overload ends.
const QUIET_PERIOD: Duration = Duration::from_secs(5);
