//! Causes of overload.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The condition that first indicated an overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadCause {
    /// Every target was at its limit or, if a gate reports the overload, its own target was.
    TargetsFull,
    /// The queue was full.
    QueueFull,
    /// The expected queueing time exceeded the wait that the request allows.
    WaitTooLong,
    /// The time to first token of a request exceeded its latency target.
    FirstTokenLate,
}

impl OverloadCause {
    /// Returns the name of the cause that is used in logs, responses and tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TargetsFull => "targets-full",
            Self::QueueFull => "queue-full",
            Self::WaitTooLong => "wait-too-long",
            Self::FirstTokenLate => "first-token-late",
        }
    }
}

impl fmt::Display for OverloadCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
