//! Events for the control thread, which owns the agent's control state.

use model::{FleetConfig, SwitchPermit};

/// An event that the control thread processes.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An entry sent a configuration.
    Config(Box<FleetConfig>),
    /// The rollout driver permits this host to switch versions.
    Permit(SwitchPermit),
    /// A planned stop was requested.
    Stop,
}
