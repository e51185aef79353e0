//! Errors of the table service.

use std::{error, fmt};

use crate::call_error::CallError;

/// Why a call to the table failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The table is down, slow or limits the rate; nothing was applied.
    Unavailable(String),
    /// An expectation on the row with this key did not hold; nothing was applied.
    Conflict {
        /// The key of the row.
        key: String,
    },
    /// The reply was lost: the transaction may have been applied.
    OutcomeUnknown(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "the table is not available: {reason}"),
            Self::Conflict { key } => write!(f, "the row {key:?} was changed by another"),
            Self::OutcomeUnknown(reason) => write!(f, "the table's reply was lost: {reason}"),
        }
    }
}

impl error::Error for TableError {}

impl From<CallError> for TableError {
    fn from(err: CallError) -> Self {
        match err {
            CallError::NoEffect(reason) => Self::Unavailable(reason),
            CallError::NotFound => {
                Self::Unavailable("the table does not know the call".to_string())
            }
            CallError::NoResponse(reason) | CallError::Malformed(reason) => {
                Self::OutcomeUnknown(reason)
            }
        }
    }
}
