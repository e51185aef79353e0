//! Errors of calls to external services.

use std::{error, fmt};

/// Why a call to an external service returned no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call had no effect, because it was rejected or no connection could be opened.
    NoEffect(String),
    /// The connection failed or timed out, and the call may have been executed.
    NoResponse(String),
    /// The response does not conform to the contract.
    Malformed(String),
    /// The requested item does not exist.
    NotFound,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoEffect(reason) => write!(f, "the call had no effect: {reason}"),
            Self::NoResponse(reason) => {
                write!(f, "no response, so the outcome is unknown: {reason}")
            }
            Self::Malformed(reason) => write!(f, "the response is malformed: {reason}"),
            Self::NotFound => f.write_str("not found"),
        }
    }
}

impl error::Error for CallError {}
