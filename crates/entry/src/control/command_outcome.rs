//! Answers to operators' statements.

use control::{CommandError, QueryTable};
use model::{ConfigRevision, ResultCode, RunStatus};
use serde::Serialize;

use crate::control::in_force::InForce;

/// What became of a statement.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CommandOutcome {
    /// Number of the result code.
    pub(crate) code: u16,
    /// Name of the result code.
    pub(crate) name: &'static str,
    /// The result in a sentence.
    pub(crate) message: String,
    /// Whether a command was accepted; `None` while nobody knows, and for queries.
    pub(crate) accepted: Option<bool>,
    /// The revision that the command made, where it was accepted.
    pub(crate) revision: Option<ConfigRevision>,
    /// Where that revision is in force.
    pub(crate) in_force: Option<Box<InForce>>,
    /// Where in the text an error is.
    pub(crate) error: Option<ErrorPlace>,
    /// The answer to a query.
    #[serde(flatten)]
    pub(crate) table: Option<Box<QueryTable>>,
}

/// The token that an error is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct ErrorPlace {
    /// First byte in the text.
    pub(crate) offset: usize,
    /// Number of bytes.
    pub(crate) length: usize,
    /// The name that was probably meant.
    pub(crate) suggestion: Option<String>,
}

impl CommandOutcome {
    /// Makes the answer to a command that was not accepted, or whose fate is unknown.
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

    /// Makes the answer to a text that is no valid statement.
    pub(crate) fn invalid(err: &CommandError) -> Self {
        let place = ErrorPlace {
            offset: err.span.offset,
            length: err.span.len,
            suggestion: err.suggestion.clone(),
        };
        Self {
            error: Some(place),
            ..Self::new(ResultCode::BadCommand, err.to_string())
        }
    }

    /// Makes the answer to a command that was accepted at `revision`.
    pub(crate) fn accepted(revision: ConfigRevision) -> Self {
        let message = format!("accepted at revision {revision}");
        Self {
            accepted: Some(true),
            revision: Some(revision),
            ..Self::new(ResultCode::Ok, message)
        }
    }

    /// Makes the answer to a query.
    pub(crate) fn answered(table: QueryTable) -> Self {
        let message = format!("{} rows", table.rows.len());
        Self {
            accepted: None,
            table: Some(Box::new(table)),
            ..Self::new(ResultCode::Ok, message)
        }
    }
}
