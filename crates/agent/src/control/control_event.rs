//! What reaches the control thread.

use model::{FleetConfig, SwitchPermit};

/// One event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An entry sent a configuration.
    Config(Box<FleetConfig>),
    /// The rollout driver lets this host switch.
    Permit(SwitchPermit),
    /// A planned stop begins.
    Stop,
}
