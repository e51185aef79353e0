//! Admission control in front of an engine or service, with revocation of attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{AttemptId, GateState, Incarnation, ResultCode, VersionDigest};
use serde::{Deserialize, Serialize};

use crate::call_kind::CallKind;

/// Request for admission of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Whether the call may run more than once.
    pub kind: CallKind,
    /// Incarnation of the agent that the request was addressed to, if the sender specified it.
    pub incarnation: Option<Incarnation>,
    /// Model version that must serve the request, if it requires one.
    pub version: Option<VersionDigest>,
    /// Time until the caller's deadline.
    pub time_remaining: Duration,
}

/// Refusal of an attempt, which has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Result code of the response.
    pub code: ResultCode,
    /// Human-readable reason.
    pub reason: &'static str,
}

/// Result of a request to revoke an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// The attempt has not started and will be refused if it arrives later.
    Revoked,
    /// The attempt is in progress.
    Running,
    /// The attempt finished at this gate.
    Finished,
    /// The gate cannot prove that the attempt has not run and never will: it is too old, was addressed to another
    /// incarnation, or the attempt table is full.
    Unproven,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Running,
    Finished,
    Revoked,
}

/// Decides on each attempt once and stores the decision for as long as the attempt may still arrive.
///
/// Attempt ids contain their creation time. Attempts created outside of a window around `now` are refused, so their
/// records can be dropped safely. No attempt as old as a dropped record is admitted later, even if the time of day is
/// set back. When the attempt table is full, new work is refused instead of evicting records early.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    incarnation: Incarnation,
    state: GateState,
    serving: Option<VersionDigest>,
    limit: u32,
    attempts: BTreeMap<AttemptId, AttemptState>,
    /// The newest attempt whose record was dropped.
    newest_dropped: Option<AttemptId>,
    in_flight: u32,
    refused: u64,
}

impl AdmissionGate {
    /// Creates a gate in the state [`GateState::Starting`], which refuses all requests.
    pub fn new(incarnation: Incarnation, limit: u32) -> Self {
        Self {
            incarnation,
            state: GateState::Starting,
            serving: None,
            limit,
            attempts: BTreeMap::new(),
            newest_dropped: None,
            in_flight: 0,
            refused: 0,
        }
    }

    /// Admits or refuses an attempt; `now` is the time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns an [`AdmissionRefusal`] if the attempt must not run.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.remove_expired(now);
        self.check(now, request)?;
        if self.in_flight >= self.limit {
            self.refused += 1;
            return Err(refusal(
                ResultCode::Overloaded,
                "the target is at its concurrency limit",
            ));
        }
        self.attempts.insert(request.attempt, AttemptState::Running);
        self.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted attempt ended, successfully or not.
    pub fn finish(&mut self, attempt: AttemptId, kind: CallKind) {
        if self.attempts.get(&attempt) != Some(&AttemptState::Running) {
            return;
        }
        self.in_flight -= 1;
        if kind == CallKind::Lookup {
            // Lookups are never revoked, because they may run again.
            self.attempts.remove(&attempt);
        } else {
            self.attempts.insert(attempt, AttemptState::Finished);
        }
    }

    /// Prevents `attempt` from starting, or returns why this cannot be guaranteed.
    pub fn revoke(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeReply {
        self.remove_expired(now);
        if incarnation != self.incarnation {
            return RevokeReply::Unproven;
        }
        match self.attempts.get(&attempt) {
            Some(AttemptState::Running) => RevokeReply::Running,
            Some(AttemptState::Finished) => RevokeReply::Finished,
            Some(AttemptState::Revoked) => RevokeReply::Revoked,
            // Expired attempts are refused on arrival, but this one may have run before its record was dropped.
            None if self.may_be_dropped(now, attempt) => RevokeReply::Unproven,
            None if self.attempts.len() >= MAX_ATTEMPTS => RevokeReply::Unproven,
            None => {
                self.attempts.insert(attempt, AttemptState::Revoked);
                RevokeReply::Revoked
            }
        }
    }

    /// Sets the state and the served version; a gate in [`GateState::Leaving`] keeps that state.
    pub fn set_state(&mut self, state: GateState, serving: Option<VersionDigest>) {
        self.serving = serving;
        if self.state != GateState::Leaving {
            self.state = state;
        }
    }

    /// Sets the state even if the gate is leaving, so that an operator can return a drained host to service.
    pub fn undrain(&mut self, state: GateState) {
        self.state = state;
    }

    /// Sets the maximum number of requests in flight, which is at least 1.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Returns the state, which determines how new requests are handled.
    pub fn state(&self) -> GateState {
        self.state
    }

    /// Returns the version that the target serves.
    pub fn serving(&self) -> Option<VersionDigest> {
        self.serving
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the maximum number of requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests refused because of the limit.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of attempts in the attempt table.
    pub fn tracked_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether the gate is leaving or switching and has no requests in flight.
    pub fn is_drained(&self) -> bool {
        self.in_flight == 0 && matches!(self.state, GateState::Leaving | GateState::Switching)
    }

    fn check(&self, now: Duration, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        match self.attempts.get(&request.attempt) {
            Some(AttemptState::Revoked) => {
                return Err(refusal(ResultCode::Revoked, "the attempt was revoked"));
            }
            Some(_) => {
                return Err(refusal(
                    ResultCode::OrderInProgress,
                    "the attempt has been admitted before",
                ));
            }
            None => {}
        }
        if request.incarnation.is_some_and(|it| it != self.incarnation) {
            return Err(refusal(ResultCode::NotReady, "the agent was restarted"));
        }
        match self.state {
            GateState::Open => {}
            GateState::Leaving => {
                return Err(refusal(ResultCode::Leaving, "the target is leaving"));
            }
            GateState::Starting => {
                return Err(refusal(ResultCode::NotReady, "the target is not ready"));
            }
            GateState::Switching => {
                return Err(refusal(
                    ResultCode::NotReady,
                    "the target is switching versions",
                ));
            }
        }
        if request.time_remaining.is_zero() {
            return Err(refusal(
                ResultCode::DeadlineNotRun,
                "the deadline has passed",
            ));
        }
        if self.may_be_dropped(now, request.attempt)
            || request.attempt.created() > now + MAX_CLOCK_SKEW
        {
            return Err(refusal(
                ResultCode::DeadlineNotRun,
                "the attempt's creation time is too far from this host's clock",
            ));
        }
        if request.version.is_some() && request.version != self.serving {
            return Err(refusal(
                ResultCode::VersionMismatch,
                "the target serves another version",
            ));
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            return Err(refusal(
                ResultCode::Overloaded,
                "the gate's attempt table is full",
            ));
        }
        Ok(())
    }

    /// Removes the oldest records, whose attempts would be refused because of their age. It stops at the first attempt
    /// that is in progress, because that record is needed until the attempt ends.
    fn remove_expired(&mut self, now: Duration) {
        while let Some(entry) = self.attempts.first_entry() {
            if !is_expired(now, *entry.key()) || *entry.get() == AttemptState::Running {
                return;
            }
            let (attempt, _) = entry.remove_entry();
            self.newest_dropped = self.newest_dropped.max(Some(attempt));
        }
    }

    /// Returns whether the record of `attempt` may have been dropped, now or before the time of day was set back.
    fn may_be_dropped(&self, now: Duration, attempt: AttemptId) -> bool {
        is_expired(now, attempt) || Some(attempt) <= self.newest_dropped
    }
}

fn is_expired(now: Duration, attempt: AttemptId) -> bool {
    attempt.created() + MAX_AGE < now
}

fn refusal(code: ResultCode, reason: &'static str) -> AdmissionRefusal {
    AdmissionRefusal { code, reason }
}

/// Age above which an attempt is refused on arrival and its record can be dropped.
const MAX_AGE: Duration = Duration::from_secs(300);

/// Maximum time by which an entry's clock may be ahead of the gate's clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Capacity of the attempt table.
const MAX_ATTEMPTS: usize = 65_536;
