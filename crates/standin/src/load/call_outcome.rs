//! The outcome of a call as observed by its caller.

use std::time::{Duration, Instant};

use model::VersionDigest;
use serde::Serialize;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// A streamed model request.
    Stream,
    /// An order at a service, which is not idempotent.
    Order,
    /// A lookup at a service, which is idempotent.
    Lookup,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response is complete and correct.
    Correct,
    /// Refused with this result code, which guarantees that the call did not run; 0 if no attempt could be sent.
    NotRun(u16),
    /// Ended with this result code, which means that the call may have run; 0 if the caller received no result code.
    Unknown(u16),
    /// A stream ended early with an error event that contains this result code.
    EndedWithError(u16),
    /// The response ended early without an error event. Contains the reason.
    Truncated(String),
    /// The response does not belong to this call, or is marked as complete although it is not. Contains the reason.
    Incorrect(String),
    /// The response contains tokens of several versions. Contains the versions.
    MixedVersions(String),
}

/// A call with the measurements of its caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The kind of the call.
    pub kind: CallKind,
    /// The key under which engines and services count this call: prompt, idempotency key, or path. It is unique.
    pub run_key: String,
    /// Index of the organisation in the plan.
    pub organisation: usize,
    /// Scheduled start of the call.
    pub scheduled_at: Instant,
    /// End of the call.
    pub ended_at: Instant,
    /// The outcome of the call.
    pub outcome: CallOutcome,
    /// The version that computed the response.
    pub version: Option<VersionDigest>,
    /// Time from the scheduled start to the first token.
    pub time_to_first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
}
