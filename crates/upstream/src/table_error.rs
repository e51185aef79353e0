//! Errors of the table service.

use std::{error, fmt};

use crate::call_error::CallError;

/// Why a call to the table failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The table is down or slow, or it rejected the call because of its rate limit. Nothing was applied.
    Unavailable(String),
    /// The precondition on the row with this key failed. Nothing was applied.
    Conflict {
        /// The key of the row.
        key: String,
    },
    /// No valid response was received, so the transaction may have been applied.
    OutcomeUnknown(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "the table is not available: {reason}"),
            Self::Conflict { key } => write!(f, "the row {key:?} was changed concurrently"),
            Self::OutcomeUnknown(reason) => write!(
                f,
                "the outcome of the call to the table is unknown: {reason}"
            ),
        }
    }
}

impl error::Error for TableError {}

impl From<CallError> for TableError {
    fn from(err: CallError) -> Self {
        match err {
            CallError::NoEffect(reason) => Self::Unavailable(reason),
            CallError::NotFound => {
                Self::Unavailable("the table does not support the call".to_string())
            }
            CallError::NoResponse(reason) | CallError::Malformed(reason) => {
                Self::OutcomeUnknown(reason)
            }
        }
    }
}
