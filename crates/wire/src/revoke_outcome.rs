//! Outcomes of revocations.

use serde::{Deserialize, Serialize};

/// What became of an attempt that was revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeOutcome {
    /// The attempt has not started, and the gate will refuse it if it arrives late.
    NotRun,
    /// The attempt was admitted and is still in progress.
    Running,
    /// The attempt was admitted and has ended.
    Finished,
    /// Nothing can be promised: the process was restarted since, or the attempt is too old.
    Unproven,
}
