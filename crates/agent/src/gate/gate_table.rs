//! The gate's decisions, without IO.

use std::collections::{BTreeMap, VecDeque};

use model::{AttemptId, GateState, ResultCode, VersionDigest};
use wire::RevokeOutcome;

use crate::gate::attempt_state::AttemptState;

/// Admits, refuses and revokes attempts; one lock around it makes each decision atomic.
#[derive(Debug)]
pub(crate) struct GateTable {
    pub(crate) state: GateState,
    pub(crate) version: Option<VersionDigest>,
    pub(crate) in_flight: u32,
    pub(crate) limit: u32,
    pub(crate) refused: u64,
    attempts: BTreeMap<AttemptId, AttemptState>,
    order: VecDeque<AttemptId>,
}

impl GateTable {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            state: GateState::Starting,
            version: None,
            in_flight: 0,
            limit,
            refused: 0,
            attempts: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Admits `attempt`, or says why it will not run.
    pub(crate) fn admit(
        &mut self,
        attempt: AttemptId,
        required: Option<VersionDigest>,
    ) -> Result<Option<VersionDigest>, ResultCode> {
        let verdict = self.verdict(attempt, required);
        if let Err(code) = verdict {
            self.refused += 1;
            return Err(code);
        }
        self.remember(attempt, AttemptState::Running);
        self.in_flight += 1;
        Ok(self.version)
    }

    /// Ends an admitted attempt.
    pub(crate) fn end(&mut self, attempt: AttemptId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(state) = self.attempts.get_mut(&attempt) {
            *state = AttemptState::Ended;
        }
    }

    /// Makes sure that `attempt` never starts, or tells how far it has come.
    pub(crate) fn revoke(&mut self, attempt: AttemptId) -> RevokeOutcome {
        match self.attempts.get(&attempt) {
            Some(AttemptState::Running) => RevokeOutcome::Running,
            Some(AttemptState::Ended) => RevokeOutcome::Ended,
            Some(AttemptState::Revoked) => RevokeOutcome::NotRun,
            None => {
                self.remember(attempt, AttemptState::Revoked);
                RevokeOutcome::NotRun
            }
        }
    }

    fn verdict(
        &self,
        attempt: AttemptId,
        required: Option<VersionDigest>,
    ) -> Result<(), ResultCode> {
        match self.attempts.get(&attempt) {
            Some(AttemptState::Revoked) => return Err(ResultCode::Revoked),
            // The entry never sends an attempt twice, so a second arrival is a delayed copy of the first.
            Some(AttemptState::Running | AttemptState::Ended) => {
                return Err(ResultCode::OrderUnknown);
            }
            None => {}
        }
        match self.state {
            GateState::Starting => return Err(ResultCode::NotReady),
            GateState::Switching | GateState::Leaving => return Err(ResultCode::Leaving),
            GateState::Open => {}
        }
        if required.is_some() && required != self.version {
            return Err(ResultCode::VersionMismatch);
        }
        if self.in_flight >= self.limit {
            return Err(ResultCode::Overloaded);
        }
        Ok(())
    }

    fn remember(&mut self, attempt: AttemptId, state: AttemptState) {
        self.attempts.insert(attempt, state);
        self.order.push_back(attempt);
        while self.order.len() > MAX_ATTEMPTS {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if self.attempts.get(&oldest) == Some(&AttemptState::Running) {
                self.order.push_back(oldest);
                return;
            }
            self.attempts.remove(&oldest);
        }
    }
}

/// Attempts that are remembered; far more than can arrive while a revoked one is still on its way.
const MAX_ATTEMPTS: usize = 20_000;
