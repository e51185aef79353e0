//! Revisions in force on hosts.

use serde::{Deserialize, Serialize};

use crate::names::HostName;
use crate::revision::ConfigRevision;
use crate::target_row::Incarnation;

/// The revision in force on a target's host, far shorter than the target's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// The host.
    pub host: HostName,
    /// Which process under that host name.
    pub incarnation: Incarnation,
    /// The revision in force there.
    pub revision: ConfigRevision,
}
