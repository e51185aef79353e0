//! Ports of the hosts of a site.

use standin::SitePorts;

/// Guards against entries that cannot start because a replica on the same host has been assigned one of their ports.
#[test]
fn ports_of_a_site_are_not_ephemeral() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first_ephemeral: u16 = range.split_whitespace().next().unwrap().parse().unwrap();
    let ports = SitePorts::free().unwrap();
    let (first, last) = ports.internal;
    for port in [first, ports.front, ports.ready, ports.directory, last] {
        assert!(port < first_ephemeral, "{ports:?}");
    }
}
