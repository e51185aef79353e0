//! Permits for version switches.

use serde::{Deserialize, Serialize};

use crate::content_digest::VersionDigest;
use crate::fencing_number::FencingNumber;
use crate::names::HostName;

/// Permits a host to take its engine out of service and load a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchPermit {
    /// The host that may switch versions.
    pub host: HostName,
    /// The version that the host may load.
    pub version: VersionDigest,
    /// The fencing number of the rollout driver's lease.
    pub fencing: FencingNumber,
}
