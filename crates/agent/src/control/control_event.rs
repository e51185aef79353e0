//! Events for the control thread.

use model::{FleetConfig, SwitchPermit};

/// An event that the control thread handles.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An entry sent a configuration.
    Config(Box<FleetConfig>),
    /// The rollout driver permits this host to switch versions.
    Permit(SwitchPermit),
    /// A planned stop was requested.
    Stop,
}
