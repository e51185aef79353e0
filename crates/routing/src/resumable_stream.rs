//! What becomes of a stream whose replica is lost.

use model::{AttemptId, ResultCode, VersionDigest};

/// Follows one stream over several replicas so that the caller gets each token once, all of one version.
#[derive(Clone, Debug, Default)]
pub struct ResumableStream {
    source: Option<AttemptId>,
    version: Option<VersionDigest>,
    delivered: u64,
    finished: bool,
}

/// What to do with a token that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// Pass it on.
    Deliver,
    /// Drop it: it was delivered before, or comes from a replica that was given up.
    Drop,
    /// Give up the replica: it skipped a token or computes another version.
    Reject,
}

/// What to do after the loss of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Nothing was delivered, so any replica may start afresh.
    Restart,
    /// Continue at token `from` on a replica of `version`.
    Resume {
        /// The index of the next token.
        from: u64,
        /// The only version that may continue.
        version: VersionDigest,
    },
    /// Every token was delivered and only the end mark is missing, so the answer is whole.
    Finish,
    /// End the stream with this code.
    Abort(ResultCode),
}

impl ResumableStream {
    /// Makes `source` the only attempt whose tokens count.
    pub fn on_attempt_started(&mut self, source: AttemptId) {
        self.source = Some(source);
    }

    /// Binds the stream to the version that the caller was told before the first token.
    pub fn pin_version(&mut self, version: VersionDigest) {
        self.version.get_or_insert(version);
    }

    /// Judges token `index` of `version` that `source` sent.
    pub fn on_token(
        &mut self,
        source: AttemptId,
        index: u64,
        version: VersionDigest,
        last: bool,
    ) -> TokenAction {
        if self.source != Some(source) || self.finished {
            return TokenAction::Drop;
        }
        if self.version.is_some_and(|it| it != version) || index > self.delivered {
            self.source = None;
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

    /// Decides how to go on after `source` was lost; `has_replica` tells whether one of the version is left.
    pub fn on_replica_lost(
        &mut self,
        has_replica: impl FnOnce(Option<VersionDigest>) -> bool,
        in_time: bool,
    ) -> RecoveryAction {
        self.source = None;
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

    /// Returns the number of tokens that the caller has.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Tells whether the last token was delivered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the version of the tokens delivered so far.
    pub fn version(&self) -> Option<VersionDigest> {
        self.version
    }
}
