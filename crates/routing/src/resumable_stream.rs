//! Failover of a token stream between replicas.

use model::{AttemptId, ResultCode, VersionDigest};

/// Tracks a stream across replicas, so that each token is delivered exactly once and all tokens are of one version.
#[derive(Clone, Debug, Default)]
pub struct ResumableStream {
    active: Option<AttemptId>,
    version: Option<VersionDigest>,
    delivered: u64,
    finished: bool,
}

/// How to handle a received token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Deliver the token to the caller.
    Deliver,
    /// Ignore the token: it is a duplicate or from an abandoned attempt.
    Drop,
    /// Abandon the attempt: it skipped a token or serves a different version.
    Reject,
}

/// How to continue after a replica was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
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

impl ResumableStream {
    /// Sets the attempt whose tokens are accepted; tokens of all others are ignored.
    pub fn on_attempt_started(&mut self, attempt: AttemptId) {
        self.active = Some(attempt);
    }

    /// Pins the stream to the version that was announced to the caller before the first token.
    pub fn pin_version(&mut self, version: VersionDigest) {
        self.version.get_or_insert(version);
    }

    /// Determines how to handle token `index` of `version`, received from `attempt`.
    pub fn on_token(
        &mut self,
        attempt: AttemptId,
        index: u64,
        version: VersionDigest,
        last: bool,
    ) -> TokenAction {
        if self.active != Some(attempt) || self.finished {
            return TokenAction::Drop;
        }
        if self.version.is_some_and(|it| it != version) || index > self.delivered {
            self.active = None;
            return TokenAction::Reject;
        }
        if index < self.delivered {
            return TokenAction::Drop;
        }
        self.version = Some(version);
        self.delivered += 1;
        self.finished = last;
        TokenAction::Deliver
    }

    /// Determines how to continue after the current attempt was lost.
    ///
    /// `has_replica` returns whether another replica can serve the pinned version, and `in_time` is `false` after the
    /// deadline.
    pub fn on_replica_lost(
        &mut self,
        has_replica: impl FnOnce(Option<VersionDigest>) -> bool,
        in_time: bool,
    ) -> RecoveryAction {
        self.active = None;
        if self.finished {
            return RecoveryAction::Finish;
        }
        if !in_time {
            let code = match self.delivered {
                0 => ResultCode::DeadlineUnknown,
                _ => ResultCode::DeadlineCut,
            };
            return RecoveryAction::Abort(code);
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
