//! Events for the control thread, which owns the entry's control state.

use control::ConfigSource;
use model::{ConfigRevision, FleetConfig, SwitchPermit, TargetRow};
use wire::EntrySummary;

/// An event that the control thread processes.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An agent sent a heartbeat to this entry.
    Heartbeat(Box<TargetRow>),
    /// Another entry sent a summary of its view.
    Exchange(Box<EntrySummary>),
    /// A configuration was read or committed.
    Config(Box<FleetConfig>, ConfigSource),
    /// The table or a peer reported this revision as the newest that it has.
    RevisionObserved(ConfigRevision, ConfigSource),
    /// The rollout driver of this entry granted these permits. The list is empty while the driver does not
    /// hold the lease.
    Permits(Vec<SwitchPermit>),
    /// A planned stop was requested.
    Stop,
}
