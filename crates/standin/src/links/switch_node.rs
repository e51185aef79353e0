//! The hosts of a switch.

use std::net::IpAddr;
use std::time::Duration;

/// A host whose connections go through a switch.
#[derive(Clone, Debug, PartialEq)]
pub struct SwitchNode {
    /// Name of the host.
    pub name: String,
    /// Loopback address that its outgoing connections are bound to.
    pub ip: IpAddr,
    /// Region of the host; one without a region, such as an origin elsewhere, crosses no link between regions.
    pub region: Option<String>,
    /// Bytes a second that the host sends and receives together.
    pub bytes_per_s: Option<f64>,
}

/// What holds for all hosts of a switch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SwitchOptions {
    /// Bytes a second from one region to another, each way and for each pair.
    pub region_bytes_per_s: Option<f64>,
    /// Time that bytes take within a region.
    pub local_delay: Duration,
    /// Time that bytes take between regions.
    pub region_delay: Duration,
}
