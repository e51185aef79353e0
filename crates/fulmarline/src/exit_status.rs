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
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::BadInput => 2,
        })
    }
}
