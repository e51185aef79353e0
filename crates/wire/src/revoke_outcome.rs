//! Outcomes of revocations.

use serde::{Deserialize, Serialize};

/// The state of an attempt after a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeOutcome {
    /// The attempt has not started, and the gate will reject it if it arrives later.
    NotRun,
    /// The attempt was admitted and is still in progress.
    Running,
    /// The attempt was admitted and has finished.
    Finished,
    /// The state cannot be determined, because the process was restarted in the meantime or the attempt is too old.
    Unproven,
}
