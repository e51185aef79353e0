//! How a call ended, as its caller sees it.

use std::time::{Duration, Instant};

use model::VersionDigest;
use serde::Serialize;

/// What was called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A streamed answer of a model.
    Stream,
    /// An order that may not be repeated.
    Order,
    /// A lookup that may be repeated.
    Lookup,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered whole and right.
    Correct,
    /// Refused under this code, which says that the call did not run.
    NotRun(u16),
    /// Ended under this code, which says that nobody knows whether the call ran; 0 when the caller itself gave up.
    Unknown(u16),
    /// A stream that ended early with this code.
    EndedWithError(u16),
    /// The answer broke off without a word.
    Truncated(String),
    /// The answer is not the one to this call, or not whole although it says so.
    Incorrect(String),
    /// The answer mixes versions.
    MixedVersions(String),
}

/// One call with what its caller measured.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// What was called for.
    pub kind: CallKind,
    /// The text that only this call carries: prompt, key, or path.
    pub run_key: String,
    /// Index of the organisation in the plan.
    pub organisation: usize,
    /// When the call was to start.
    pub scheduled_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: CallOutcome,
    /// The version that answered.
    pub version: Option<VersionDigest>,
    /// Time from the planned start to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
}
