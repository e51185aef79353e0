//! Views that entries exchange.

use std::net::SocketAddr;

use model::{ConfigRevision, EntryRow, SwitchPermit, TargetRow};
use serde::{Deserialize, Serialize};

/// What one entry tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// The sender.
    pub entry: EntryRow,
    /// Targets that the sender hears from directly.
    pub targets: Vec<TargetRow>,
    /// Whether `targets` lists all of them, so that one that is missing is gone.
    pub complete: bool,
    /// Permits that the sender has granted as the driver of a rollout.
    pub permits: Vec<SwitchPermit>,
    /// Control addresses of a few live entries, by which every entry comes to know every other.
    pub others: Vec<SocketAddr>,
    /// The revision in force at the sender.
    pub revision: ConfigRevision,
}
