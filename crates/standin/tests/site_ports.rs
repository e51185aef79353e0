//! Ports of the hosts of a site.

use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

use standin::{ChildProcess, SitePorts};

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

/// Guards against processes that cannot listen on a port that was free, because another process that was being started held
/// the socket that had found it.
#[test]
fn free_ports_stay_free_while_processes_are_started() {
    let is_done = AtomicBool::new(false);
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join("site-ports.log");
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    ChildProcess::start(Path::new("/bin/true"), "", Path::new(""), &log).unwrap();
                }
            });
        }
        let failures: usize = (0..400)
            .map(|_| {
                let ports = SitePorts::free().unwrap();
                let (first, last) = ports.internal;
                let ports = [first, ports.front, ports.ready, ports.directory, last];
                let bound = ports.map(|it| TcpListener::bind((Ipv4Addr::LOCALHOST, it)));
                bound.iter().filter(|it| it.is_err()).count()
            })
            .sum();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failures, 0, "ports that were not free");
    });
}
