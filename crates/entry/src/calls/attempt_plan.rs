//! Parameters and outcomes of the attempts of a request.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use model::{HostName, TargetKind, VersionDigest};
use routing::{CallKind, PartId};

use crate::calls::target_response::TargetResponse;

/// Parameters that all attempts of a request share.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    /// Model or service that serves the request.
    pub(crate) target: TargetKind,
    /// Whether the request may be retried, hedged or resumed.
    pub(crate) kind: CallKind,
    /// Model version that must serve the request, or `None` for any.
    pub(crate) version: Option<VersionDigest>,
    /// Index of the first token to generate; greater than 0 when a stream is resumed.
    pub(crate) resume_from: u64,
    /// Estimated work, in tokens.
    pub(crate) cost: u32,
    /// Number of tokens that the target generates before its response begins; 0 if it is streamed.
    pub(crate) tokens_before_response: u32,
    /// Digest of the prompt prefix, for cache affinity.
    pub(crate) prefix_digest: Option<u64>,
    /// Parts that other requests may share, to which evidence about crashes refers.
    pub(crate) parts: Vec<PartId>,
    /// Hosts that further attempts avoid; shared between a lookup and its hedge.
    pub(crate) tried_hosts: Arc<Mutex<BTreeSet<HostName>>>,
    /// Hosts of attempts that are still running; a further attempt beside them must run elsewhere.
    pub(crate) running_hosts: BTreeSet<HostName>,
}

/// Outcome of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The target responded; the body has not been read yet.
    Response(Box<TargetResponse>),
    /// The attempt has not run and never will.
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
            tokens_before_response: 0,
            prefix_digest: None,
            parts: Vec::new(),
            tried_hosts: Arc::default(),
            running_hosts: BTreeSet::new(),
        }
    }

    pub(crate) fn mark_tried(&self, host: &HostName) {
        self.tried_hosts
            .lock()
            .expect("no thread panics while it holds the plan lock")
            .insert(host.clone());
    }

    /// Returns the hosts at which no further attempt may start.
    pub(crate) fn avoided_hosts(&self) -> BTreeSet<HostName> {
        let tried = self
            .tried_hosts
            .lock()
            .expect("no thread panics while it holds the plan lock");
        &*tried | &self.running_hosts
    }
}
