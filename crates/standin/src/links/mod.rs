//! Simulated network links: a proxy to one address, and a switch that connects many hosts.

mod delay_line;
mod fault_proxy;
mod link_counters;
mod link_pump;
mod link_switch;
mod proxy_faults;
mod switch_faults;
mod switch_node;

pub use fault_proxy::FaultProxy;
pub use link_counters::{HostBytes, SwitchCounters};
pub use link_switch::LinkSwitch;
pub use proxy_faults::ProxyFaults;
pub use switch_faults::NodeFaults;
pub use switch_node::{SwitchNode, SwitchOptions};
