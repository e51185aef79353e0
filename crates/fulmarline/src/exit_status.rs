//! Exit codes of the program.

use std::process::ExitCode;

/// How the program ended; `docs/OPERATIONS.md` and `--help` list the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// Everything that was asked for is done.
    Done,
    /// Something failed while the program ran.
    Failed,
    /// The arguments or settings are not valid, and nothing was started.
    BadInput,
    /// The command was refused, and nothing of it was applied.
    Refused,
    /// The outcome of the command is not known.
    Unknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::BadInput => 2,
            ExitStatus::Refused => 3,
            ExitStatus::Unknown => 4,
        })
    }
}
