//! Summaries that entries exchange.

use std::net::SocketAddr;

use model::{ConfigRevision, EntryRow, HostName, HostRevision, SwitchPermit, TargetRow};
use routing::CrashDigest;
use serde::{Deserialize, Serialize};

/// The part of an entry's view that it sends to another entry in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// The state of the sender.
    pub entry: EntryRow,
    /// Rows of targets whose heartbeats the sender receives itself, if they changed since the last exchange
    /// with the receiver.
    pub targets: Vec<TargetRow>,
    /// Changed revisions in force on hosts whose heartbeats the sender receives itself.
    pub revisions: Vec<HostRevision>,
    /// Hosts from earlier exchanges whose heartbeats the sender no longer receives.
    pub removed: Vec<HostName>,
    /// Whether `targets` contains every target whose heartbeats the sender receives, so that the receiver
    /// removes all others that it knows from this sender.
    pub complete: bool,
    /// Permits that the sender has granted as the driver of a rollout.
    pub permits: Vec<SwitchPermit>,
    /// Control addresses of a few live entries, from which every entry discovers all others.
    pub entry_addresses: Vec<SocketAddr>,
    /// The revision in force at the sender.
    pub revision: ConfigRevision,
    /// What the sender knows about crashes of engines and services.
    pub crashes: CrashDigest,
}
