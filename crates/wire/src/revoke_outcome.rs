//! Outcomes of revoking an attempt at a gate.

use serde::{Deserialize, Serialize};

/// The state of an attempt after a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeOutcome {
    /// The attempt has not started, and the gate will refuse it if it arrives later.
    NotRun,
    /// The attempt was admitted and is still in progress.
    Running,
    /// The attempt was admitted and has finished.
    Finished,
    /// The gate cannot prove that the attempt has not run and will not run, because the process was restarted in the
    /// meantime, the attempt is too old or the gate's attempt table is full.
    Unproven,
}
