//! Views that entries exchange.

use model::{ConfigRevision, EntryRow, SwitchPermit, TargetRow};
use serde::{Deserialize, Serialize};

/// What one entry tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// The sender.
    pub entry: EntryRow,
    /// Targets that the sender hears from directly.
    pub targets: Vec<TargetRow>,
    /// Permits that the sender has granted as the driver of a rollout.
    pub permits: Vec<SwitchPermit>,
    /// The revision in force at the sender.
    pub revision: ConfigRevision,
}
