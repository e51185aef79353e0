//! What reaches the control thread.

use control::ConfigSource;
use model::{ConfigRevision, FleetConfig, SwitchPermit, TargetRow};
use wire::EntrySummary;

/// One event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An agent sent a heartbeat to this entry.
    Heartbeat(Box<TargetRow>),
    /// Another entry sent its view.
    Exchange(Box<EntrySummary>),
    /// A configuration was read or committed.
    Config(Box<FleetConfig>, ConfigSource),
    /// The table or a peer holds this revision.
    Heard(ConfigRevision, ConfigSource),
    /// The driver on this entry granted permits; an empty list when it does not hold the lease.
    Permits(Vec<SwitchPermit>),
    /// A planned stop begins.
    Stop,
}
