//! Configuration revisions used by hosts.

use serde::{Deserialize, Serialize};

use crate::names::HostName;
use crate::revision::ConfigRevision;
use crate::target_row::Incarnation;

/// The configuration revision that a target's agent uses. Much smaller than the target's [`crate::TargetRow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// The target's host.
    pub host: HostName,
    /// The incarnation of the host's agent.
    pub incarnation: Incarnation,
    /// The revision that the agent uses.
    pub revision: ConfigRevision,
}
