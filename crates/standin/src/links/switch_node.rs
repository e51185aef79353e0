//! Configuration of a switch and its hosts.

use std::net::IpAddr;
use std::time::Duration;

/// A host connected to a switch.
#[derive(Clone, Debug, PartialEq)]
pub struct SwitchNode {
    /// Name of the host.
    pub name: String,
    /// Loopback source address of its outgoing connections.
    pub ip: IpAddr,
    /// Region of the host. The traffic of a host without one, such as an external origin, uses no link between regions.
    pub region: Option<String>,
    /// Bandwidth for sending and receiving combined, in bytes per second. `None` is unlimited.
    pub bytes_per_s: Option<f64>,
}

/// Options that apply to all hosts of a switch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SwitchOptions {
    /// Bandwidth between each pair of regions in each direction, in bytes per second. `None` is unlimited.
    pub region_bytes_per_s: Option<f64>,
    /// One-way delay within a region.
    pub local_delay: Duration,
    /// One-way delay between regions, and between a region and a host without one.
    pub region_delay: Duration,
}
