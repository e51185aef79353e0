//! Views that entries exchange.

use std::net::SocketAddr;

use model::{ConfigRevision, EntryRow, HostName, HostRevision, SwitchPermit, TargetRow};
use serde::{Deserialize, Serialize};

/// What one entry tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// The sender.
    pub entry: EntryRow,
    /// Rows of targets that the sender hears itself and that changed since the receiver was last told.
    pub targets: Vec<TargetRow>,
    /// Revisions in force on hosts that the sender hears itself, where they changed.
    pub revisions: Vec<HostRevision>,
    /// Hosts told before that the sender does not hear any more.
    pub removed: Vec<HostName>,
    /// Whether `targets` lists all that the sender hears, so that any other is gone.
    pub complete: bool,
    /// Permits that the sender has granted as the driver of a rollout.
    pub permits: Vec<SwitchPermit>,
    /// Control addresses of a few live entries, by which every entry comes to know every other.
    pub entry_addresses: Vec<SocketAddr>,
    /// The revision in force at the sender.
    pub revision: ConfigRevision,
}
