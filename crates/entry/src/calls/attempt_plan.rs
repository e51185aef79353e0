//! How a request may be attempted.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use model::{HostName, TargetKind, VersionDigest};
use routing::CallKind;

use crate::calls::target_reply::TargetReply;

/// What a request asks of its target.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    /// The target's kind.
    pub(crate) target: TargetKind,
    /// How often the request may run.
    pub(crate) kind: CallKind,
    /// The version that has to answer, where one does.
    pub(crate) version: Option<VersionDigest>,
    /// The first token that is wanted.
    pub(crate) resume_from: u64,
    /// Work that the request stands for, in tokens.
    pub(crate) cost: u32,
    /// Digest of the start of the prompt.
    pub(crate) prefix_digest: Option<u64>,
    /// Hosts that have been tried; hedges share them.
    pub(crate) tried_hosts: Arc<Mutex<BTreeSet<HostName>>>,
}

/// What became of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The target answers; the body is still to be read.
    Response(Box<TargetReply>),
    /// The attempt did not run and will not.
    NotRun(model::ResultCode),
    /// The attempt may have run.
    Unknown,
}

impl AttemptPlan {
    pub(crate) fn new(target: TargetKind, kind: CallKind) -> Self {
        Self {
            target,
            kind,
            version: None,
            resume_from: 0,
            cost: 1,
            prefix_digest: None,
            tried_hosts: Arc::default(),
        }
    }

    pub(crate) fn mark_tried(&self, host: &HostName) {
        self.tried_hosts
            .lock()
            .expect("no holder of the list's lock panics")
            .insert(host.clone());
    }

    pub(crate) fn tried_hosts(&self) -> BTreeSet<HostName> {
        self.tried_hosts
            .lock()
            .expect("no holder of the list's lock panics")
            .clone()
    }
}
