//! Signs of overload.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What showed the overload first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadCause {
    /// Every target was at its limit.
    TargetsFull,
    /// The queue was full.
    QueueFull,
    /// The expected wait was longer than the request allowed.
    WaitTooLong,
    /// A first token came later than its target.
    FirstTokenLate,
}

impl OverloadCause {
    /// Returns the cause as it stands in logs, answers and tables.
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
