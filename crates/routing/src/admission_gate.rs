//! The gate before an engine or service: what is admitted, what is revoked and what is remembered.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{AttemptId, GateState, Incarnation, ResultCode, VersionDigest};
use serde::{Deserialize, Serialize};

use crate::call_kind::CallKind;

/// One request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// How often it may run.
    pub kind: CallKind,
    /// The incarnation that it was meant for, where its sender named one.
    pub incarnation: Option<Incarnation>,
    /// The only version that may answer, where there is one.
    pub version: Option<VersionDigest>,
    /// Time left until the caller's deadline.
    pub time_remaining: Duration,
}

/// Why a request was not admitted; it has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// What the sender is told.
    pub code: ResultCode,
    /// The reason in plain words.
    pub reason: &'static str,
}

/// What the gate says of an attempt that was to be revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// It has not started, and a late arrival will be refused.
    Revoked,
    /// It is in progress.
    Running,
    /// It came to an end here.
    Finished,
    /// It is too old, or was meant for another incarnation: nothing can be promised.
    Unproven,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Running,
    Finished,
    Revoked,
}

/// Decides on each attempt once and remembers the decision for as long as the attempt could still arrive.
///
/// Attempts carry their time of creation. One outside of the window around `now` is refused, so forgetting it
/// afterwards is safe; a full memory refuses new work instead of forgetting early.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    incarnation: Incarnation,
    state: GateState,
    serving: Option<VersionDigest>,
    limit: u32,
    attempts: BTreeMap<AttemptId, AttemptState>,
    in_flight: u32,
    refused: u64,
}

impl AdmissionGate {
    /// Creates the closed gate of a process that has just started.
    pub fn new(incarnation: Incarnation, limit: u32) -> Self {
        Self {
            incarnation,
            state: GateState::Starting,
            serving: None,
            limit,
            attempts: BTreeMap::new(),
            in_flight: 0,
            refused: 0,
        }
    }

    /// Admits a request or refuses it; `now` is the time since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns the [`AdmissionRefusal`] to answer with.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
    ) -> Result<(), AdmissionRefusal> {
        self.forget_old(now);
        self.check(now, request)?;
        if self.in_flight >= self.limit {
            self.refused += 1;
            return Err(refusal(
                ResultCode::Overloaded,
                "the target is at its limit",
            ));
        }
        self.attempts.insert(request.attempt, AttemptState::Running);
        self.in_flight += 1;
        Ok(())
    }

    /// Notes the end of an admitted attempt, whatever the end was.
    pub fn finish(&mut self, attempt: AttemptId, kind: CallKind) {
        if self.attempts.get(&attempt) != Some(&AttemptState::Running) {
            return;
        }
        self.in_flight -= 1;
        if kind == CallKind::Lookup {
            // Nobody revokes a lookup: it may run again.
            self.attempts.remove(&attempt);
        } else {
            self.attempts.insert(attempt, AttemptState::Finished);
        }
    }

    /// Promises that `attempt` will not start, or tells why that cannot be promised.
    pub fn revoke(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> RevokeReply {
        self.forget_old(now);
        if incarnation != self.incarnation {
            return RevokeReply::Unproven;
        }
        match self.attempts.get(&attempt) {
            Some(AttemptState::Running) => RevokeReply::Running,
            Some(AttemptState::Finished) => RevokeReply::Finished,
            Some(AttemptState::Revoked) => RevokeReply::Revoked,
            // Older than the window: it is refused on arrival, but it may have run and been forgotten.
            None if is_old(now, attempt) => RevokeReply::Unproven,
            None if self.attempts.len() >= MAX_ATTEMPTS => RevokeReply::Unproven,
            None => {
                self.attempts.insert(attempt, AttemptState::Revoked);
                RevokeReply::Revoked
            }
        }
    }

    /// Opens, closes or switches the gate; a gate that is leaving stays so.
    pub fn set_state(&mut self, state: GateState, serving: Option<VersionDigest>) {
        self.serving = serving;
        if self.state != GateState::Leaving {
            self.state = state;
        }
    }

    /// Takes back a drain: an operator may let a host return.
    pub fn undrain(&mut self, state: GateState) {
        self.state = state;
    }

    /// Sets how many requests may be in progress at once.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Returns what the gate does with new work.
    pub fn state(&self) -> GateState {
        self.state
    }

    /// Returns the version that the gate stands before.
    pub fn serving(&self) -> Option<VersionDigest> {
        self.serving
    }

    /// Returns the requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests may be in progress at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many requests were refused because of the limit.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of attempts that are remembered.
    pub fn tracked_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Tells whether a leaving or switching gate has nothing in progress any more.
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
                return Err(refusal(ResultCode::NotReady, "the version is switched"));
            }
        }
        if request.time_remaining.is_zero() {
            return Err(refusal(
                ResultCode::DeadlineNotRun,
                "the deadline has passed",
            ));
        }
        if is_old(now, request.attempt) || request.attempt.created() > now + MAX_SKEW {
            return Err(refusal(
                ResultCode::DeadlineNotRun,
                "the attempt's time is too far from this host's clock",
            ));
        }
        if request.version.is_some() && request.version != self.serving {
            return Err(refusal(
                ResultCode::VersionMismatch,
                "the target serves another version",
            ));
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            return Err(refusal(ResultCode::Overloaded, "the gate's memory is full"));
        }
        Ok(())
    }

    /// Drops attempts that would be refused by their age, but never one in progress.
    fn forget_old(&mut self, now: Duration) {
        while let Some(entry) = self.attempts.first_entry() {
            if !is_old(now, *entry.key()) || *entry.get() == AttemptState::Running {
                return;
            }
            entry.remove();
        }
    }
}

fn is_old(now: Duration, attempt: AttemptId) -> bool {
    attempt.created() + MAX_AGE < now
}

fn refusal(code: ResultCode, reason: &'static str) -> AdmissionRefusal {
    AdmissionRefusal { code, reason }
}

/// Age at which an attempt is refused on arrival and its record can be dropped.
const MAX_AGE: Duration = Duration::from_secs(300);

/// How far an entry's clock may be ahead of the gate's.
const MAX_SKEW: Duration = Duration::from_secs(60);

/// Attempts that are remembered at once.
const MAX_ATTEMPTS: usize = 65_536;
