//! What became of one attempt at a request.

use httpio::{Incoming, Response};
use model::ResultCode;

/// Outcome of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The target answers; the body is still to be read.
    Answer(Response<Incoming>),
    /// The attempt did not run and will not.
    NotRun(ResultCode),
    /// The attempt may have run.
    Unknown(ResultCode),
}
