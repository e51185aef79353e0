//! Attempts of a request that has no response yet.

use model::{ResultCode, RunStatus};

use crate::call_kind::CallKind;

/// Decides when a request without a response is attempted again, and when it fails.
///
/// An attempt is given up only if its connection broke, its gate refused it or the deadline has passed. A silent one is
/// kept beside further attempts, and the first response counts (see `docs/decisions/0020-requests.md`, "Silence").
#[derive(Clone, Debug)]
pub struct AttemptRace {
    kind: CallKind,
    running: usize,
    started: usize,
    limit_refusals: usize,
    is_acquiring: bool,
    last_code: Option<ResultCode>,
}

/// How to continue with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceAction {
    /// Wait for the running attempts or for the slot that is being acquired.
    Wait,
    /// Acquire a slot for another attempt.
    Acquire,
    /// Fail the request with this code.
    Fail(ResultCode),
}

impl AttemptRace {
    /// Starts the race of a request, which has to acquire a slot first.
    pub fn new(kind: CallKind) -> Self {
        Self {
            kind,
            running: 0,
            started: 0,
            limit_refusals: 0,
            is_acquiring: true,
            last_code: None,
        }
    }

    /// Records that a slot was acquired and the attempt was sent.
    pub fn on_started(&mut self) {
        self.is_acquiring = false;
        self.running += 1;
        self.started += 1;
    }

    /// Determines how to continue after no slot was available.
    ///
    /// Returns `None` if the request fails for that reason, because no earlier attempt explains more.
    pub fn on_no_slot(&mut self) -> Option<RaceAction> {
        self.is_acquiring = false;
        if self.running > 0 {
            return Some(RaceAction::Wait);
        }
        let last_code = self.last_code.filter(|it| *it != ResultCode::Overloaded);
        last_code.map(RaceAction::Fail)
    }

    /// Determines how to continue after an attempt was refused or could not be sent.
    ///
    /// A refusal at the limit of a gate does not count as an attempt.
    pub fn on_refused(&mut self, code: ResultCode) -> RaceAction {
        self.running -= 1;
        if code == ResultCode::Overloaded {
            self.started -= 1;
            self.limit_refusals += 1;
        }
        self.last_code = Some(code);
        self.acquire_or_fail(code)
    }

    /// Determines how to continue after an attempt was lost that may have run. `in_time` is `false` after the deadline.
    ///
    /// Returns `None` if it has to be determined first whether the attempt has run, with [`AttemptRace::on_resolved`].
    ///
    /// `try_acquire_retry` takes a retry from the budget, and is called only if the request is attempted again when it
    /// returns `true`.
    pub fn on_lost(
        &mut self,
        in_time: bool,
        try_acquire_retry: impl FnOnce() -> bool,
    ) -> Option<RaceAction> {
        self.running -= 1;
        if self.is_acquiring {
            return Some(RaceAction::Wait);
        }
        let is_repeatable = self.kind != CallKind::Order;
        if is_repeatable && in_time && self.may_attempt() && try_acquire_retry() {
            self.last_code = Some(ResultCode::TargetLost);
            return Some(self.acquire());
        }
        (self.running > 0).then_some(RaceAction::Wait)
    }

    /// Determines how to continue after it was determined what `code` to report for the lost attempt.
    pub fn on_resolved(&mut self, code: ResultCode, in_time: bool) -> RaceAction {
        if code.run_status() != RunStatus::NotRun || !in_time {
            return RaceAction::Fail(code);
        }
        self.last_code = Some(code);
        self.acquire_or_fail(code)
    }

    /// Determines how to continue after all running attempts were silent for a while.
    ///
    /// `has_target` returns whether another target can serve the request, and `try_acquire_retry` takes a retry from the
    /// budget. It is called only if the request is attempted again when it returns `true`.
    pub fn on_silence(
        &mut self,
        has_target: impl FnOnce() -> bool,
        try_acquire_retry: impl FnOnce() -> bool,
    ) -> RaceAction {
        let is_permitted = self.kind != CallKind::Order
            && !self.is_acquiring
            && self.running < MAX_CONCURRENT_ATTEMPTS
            && self.may_attempt();
        match is_permitted && has_target() && try_acquire_retry() {
            true => self.acquire(),
            false => RaceAction::Wait,
        }
    }

    fn may_attempt(&self) -> bool {
        self.started < MAX_ATTEMPTS && self.limit_refusals < MAX_LIMIT_REFUSALS
    }

    fn acquire_or_fail(&mut self, code: ResultCode) -> RaceAction {
        match self.running {
            _ if self.is_acquiring => RaceAction::Wait,
            _ if self.may_attempt() => self.acquire(),
            0 => RaceAction::Fail(code),
            _ => RaceAction::Wait,
        }
    }

    fn acquire(&mut self) -> RaceAction {
        self.is_acquiring = true;
        RaceAction::Acquire
    }
}

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 4;

/// Maximum number of attempts of a request that run at the same time.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// Maximum number of refusals by gates at their limits before a request fails.
const MAX_LIMIT_REFUSALS: usize = 64;
