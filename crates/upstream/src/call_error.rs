//! Errors of calls to the outside.

use std::{error, fmt};

/// Why a call to the outside brought no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call had no effect: it was refused, or no connection could be opened.
    NoEffect(String),
    /// The connection ended or timed out after the call may have been carried out.
    NoResponse(String),
    /// The answer does not follow the contract.
    Malformed(String),
    /// The thing that was asked for does not exist.
    NotFound,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEffect(reason) => write!(f, "the call had no effect: {reason}"),
            Self::NoResponse(reason) => write!(f, "the outcome is not known: {reason}"),
            Self::Malformed(reason) => write!(f, "the answer is malformed: {reason}"),
            Self::NotFound => f.write_str("not found"),
        }
    }
}

impl error::Error for CallError {}
