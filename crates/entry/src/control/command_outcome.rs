//! Results of operators' statements.

use control::{CommandError, QueryTable};
use model::{ConfigRevision, ResultCode, RunStatus};
use serde::Serialize;

use crate::control::in_force::InForce;

/// The result of a statement, as returned to the operator.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CommandOutcome {
    /// The number of the result code.
    pub(crate) code: u16,
    /// The name of the result code.
    pub(crate) name: &'static str,
    /// The result as a sentence.
    pub(crate) message: String,
    /// Whether a command was accepted; `None` if that is unknown, and for queries.
    pub(crate) accepted: Option<bool>,
    /// The revision that the command created, if it was accepted.
    pub(crate) revision: Option<ConfigRevision>,
    /// The number of hosts on which that revision is in force.
    pub(crate) in_force: Option<Box<InForce>>,
    /// The position of a syntax or planning error in the text.
    pub(crate) error: Option<ErrorSpan>,
    /// The rows that a query returned.
    #[serde(flatten)]
    pub(crate) table: Option<Box<QueryTable>>,
}

/// The part of the text that caused an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorSpan {
    /// Byte offset in the text.
    pub(crate) offset: usize,
    /// Length in bytes.
    pub(crate) length: usize,
    /// A similar valid name.
    pub(crate) suggestion: Option<String>,
}

impl CommandOutcome {
    /// Creates the result of a command that was not accepted or whose outcome is unknown.
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        let unknown = code.run_status() == RunStatus::Unknown;
        Self {
            code: code.number(),
            name: code.name(),
            message: message.into(),
            accepted: if unknown { None } else { Some(false) },
            revision: None,
            in_force: None,
            error: None,
            table: None,
        }
    }

    /// Creates the result of a statement that is invalid.
    pub(crate) fn invalid(err: &CommandError) -> Self {
        let span = ErrorSpan {
            offset: err.span.offset,
            length: err.span.len,
            suggestion: err.suggestion.clone(),
        };
        Self {
            error: Some(span),
            ..Self::new(ResultCode::BadCommand, err.to_string())
        }
    }

    /// Creates the result of a command that was accepted at `revision`.
    pub(crate) fn accepted(revision: ConfigRevision) -> Self {
        let message = format!("accepted at revision {revision}");
        Self {
            accepted: Some(true),
            revision: Some(revision),
            ..Self::new(ResultCode::Ok, message)
        }
    }

    /// Creates the result of a query.
    pub(crate) fn query_result(table: QueryTable) -> Self {
        let message = format!("{} rows", table.rows.len());
        Self {
            accepted: None,
            table: Some(Box::new(table)),
            ..Self::new(ResultCode::Ok, message)
        }
    }
}
