//! What the gate remembers of an attempt.

/// State of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Admitted and in progress.
    Running,
    /// Admitted and over.
    Ended,
    /// Revoked before it arrived.
    Revoked,
}
