//! Exit codes of the process.

use std::process::ExitCode;

/// Result of the process. `docs/OPERATIONS.md` and `--help` list the exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The operation succeeded.
    Success,
    /// An error occurred at run time.
    Failure,
    /// The arguments or settings are invalid, and nothing was started.
    InvalidInput,
    /// The command was refused, and no part of it was applied; or `explain` found no log entry of the request.
    Refused,
    /// The outcome of the command is unknown.
    OutcomeUnknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failure => 1,
            ExitStatus::InvalidInput => 2,
            ExitStatus::Refused => 3,
            ExitStatus::OutcomeUnknown => 4,
        })
    }
}
