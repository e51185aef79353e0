//! Failover of a token stream between replicas.

use std::collections::BTreeSet;

use model::{AttemptId, ResultCode, VersionDigest};

/// Tracks a stream across replicas, so that each token is delivered exactly once and all tokens are of one version.
///
/// Several attempts may run at the same time: a silent one is not known to have failed, so it is kept beside the one that
/// takes over until either of them sends the next token (see `docs/decisions/0020-requests.md`, "Silence").
#[derive(Clone, Debug, Default)]
pub struct ResumableStream {
    attempts: BTreeSet<AttemptId>,
    version: Option<VersionDigest>,
    delivered: u64,
    finished: bool,
}

/// How to handle a received token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Deliver the token to the caller, and cancel all other attempts.
    Deliver,
    /// Ignore the token: it is a duplicate or from an abandoned attempt.
    Drop,
    /// Abandon the attempt: it skipped a token or serves a different version.
    Reject,
}

/// How to continue after a replica was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Wait for the other attempts.
    Wait,
    /// Restart from the beginning on any replica: no token was delivered and no version is pinned.
    Restart,
    /// Resume at token `from` on a replica that serves `version`.
    Resume {
        /// Index of the next token.
        from: u64,
        /// Version that the replica must serve.
        version: VersionDigest,
    },
    /// Send the end-of-stream marker: all tokens were delivered.
    Finish,
    /// Terminate the stream with this code.
    Abort(ResultCode),
}

/// How to continue while all attempts are silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Wait for the running attempts.
    Wait,
    /// Start another attempt at token `from` on a replica that serves `version`, and keep the running ones.
    TakeOver {
        /// Index of the next token.
        from: u64,
        /// Version that the replica must serve.
        version: VersionDigest,
    },
    /// Send the end-of-stream marker: all tokens were delivered.
    Finish,
}

impl ResumableStream {
    /// Adds an attempt whose tokens are accepted from now on.
    pub fn on_attempt_started(&mut self, attempt: AttemptId) {
        self.attempts.insert(attempt);
    }

    /// Pins the stream to the version that was announced to the caller before the first token.
    pub fn pin_version(&mut self, version: VersionDigest) {
        self.version.get_or_insert(version);
    }

    /// Determines how to handle token `index` of `version`, received from `attempt`.
    ///
    /// The first attempt to send the next token is the only one whose tokens are accepted afterwards.
    pub fn on_token(
        &mut self,
        attempt: AttemptId,
        index: u64,
        version: VersionDigest,
        last: bool,
    ) -> TokenAction {
        if !self.accepts(attempt) || self.finished {
            return TokenAction::Drop;
        }
        if self.version.is_some_and(|it| it != version) || index > self.delivered {
            self.attempts.remove(&attempt);
            return TokenAction::Reject;
        }
        if index < self.delivered {
            return TokenAction::Drop;
        }
        self.attempts.retain(|it| *it == attempt);
        self.version = Some(version);
        self.delivered += 1;
        self.finished = last;
        TokenAction::Deliver
    }

    /// Determines how to continue after all attempts were silent for a while.
    ///
    /// `has_replica` returns whether another replica can serve the version. One attempt beside the first is always
    /// permitted, because the first may be lost without its connection being known to be broken; for further ones,
    /// `try_acquire_retry` takes a retry from the budget. It is called only if the attempt starts when it returns `true`.
    pub fn on_silence(
        &self,
        has_replica: impl FnOnce(VersionDigest) -> bool,
        try_acquire_retry: impl FnOnce() -> bool,
    ) -> SilenceAction {
        if self.finished {
            return SilenceAction::Finish;
        }
        let Some(version) = self.version else {
            return SilenceAction::Wait;
        };
        let may_start = match self.attempts.len() {
            0 | 1 => has_replica(version),
            it if it < MAX_CONCURRENT_ATTEMPTS => has_replica(version) && try_acquire_retry(),
            _ => false,
        };
        match may_start {
            true => SilenceAction::TakeOver {
                from: self.delivered,
                version,
            },
            false => SilenceAction::Wait,
        }
    }

    /// Determines how to continue after the connection of `attempt` broke or the attempt was rejected.
    ///
    /// `has_replica` returns whether another replica can serve the pinned version, and `in_time` is `false` after the
    /// deadline.
    pub fn on_replica_lost(
        &mut self,
        attempt: AttemptId,
        has_replica: impl FnOnce(Option<VersionDigest>) -> bool,
        in_time: bool,
    ) -> RecoveryAction {
        self.attempts.remove(&attempt);
        if self.finished || !in_time {
            return self.on_deadline();
        }
        if !self.attempts.is_empty() {
            return RecoveryAction::Wait;
        }
        match self.version {
            _ if !has_replica(self.version) => RecoveryAction::Abort(match self.delivered {
                0 => ResultCode::TargetLost,
                _ => ResultCode::StreamCut,
            }),
            Some(version) => RecoveryAction::Resume {
                from: self.delivered,
                version,
            },
            None => RecoveryAction::Restart,
        }
    }

    /// Determines how to end the stream at its deadline.
    pub fn on_deadline(&mut self) -> RecoveryAction {
        self.attempts.clear();
        match (self.finished, self.delivered) {
            (true, _) => RecoveryAction::Finish,
            (false, 0) => RecoveryAction::Abort(ResultCode::DeadlineUnknown),
            (false, _) => RecoveryAction::Abort(ResultCode::DeadlineCut),
        }
    }

    /// Returns whether tokens of `attempt` are accepted; if not, it can be cancelled.
    pub fn accepts(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Returns the number of delivered tokens.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the last token was delivered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the version that the stream is pinned to, if any.
    pub fn version(&self) -> Option<VersionDigest> {
        self.version
    }
}

/// Maximum number of attempts of a stream that run at the same time.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;
