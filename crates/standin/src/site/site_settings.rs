//! Settings files in the format of the platform.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::harness::port_probe;

/// Ports, which are the same on all hosts of a site.
#[derive(Clone, Copy, Debug)]
pub struct SitePorts {
    /// Port for client requests.
    pub front: u16,
    /// Port for the platform's readiness checks.
    pub ready: u16,
    /// Port of the directory, where clients look up the entries.
    pub directory: u16,
    /// First and last port of the range for communication between hosts.
    pub internal: (u16, u16),
}

/// A simulated host with its own loopback address.
#[derive(Clone, Debug)]
pub struct SiteHost {
    /// Name of the host.
    pub name: String,
    /// Loopback address of the host.
    pub ip: IpAddr,
    /// Availability zone of the host. Its region has the same name.
    pub zone: String,
    /// Memory in megabytes that the settings name, if any.
    pub ram_mb: Option<u32>,
    /// Maximum number of descriptors that the settings name.
    pub max_descriptors: u32,
}

impl SitePorts {
    /// Returns five free ports below the range of ephemeral ports. The lowest and the highest are the ends of `internal`.
    ///
    /// An ephemeral port could be assigned to a replica on the same host before the entry that listens on it has started.
    /// Sites that start later, and those of other processes, mostly receive other ports.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port is free.
    pub fn free() -> std::io::Result<Self> {
        let site = std::process::id() as usize + SITE_COUNT.fetch_add(1, Ordering::Relaxed);
        let skipped = site * PORT_COUNT % LISTEN_PORTS.len();
        let ports = LISTEN_PORTS.skip(skipped).chain(LISTEN_PORTS);
        let mut ports: Vec<u16> = ports
            .filter(|it| port_probe::is_free((Ipv4Addr::LOCALHOST, *it).into()))
            .take(PORT_COUNT)
            .collect();
        ports.sort_unstable();
        let [first, front, ready, directory, last] = ports[..] else {
            return Err(std::io::ErrorKind::AddrInUse.into());
        };
        Ok(Self {
            front,
            ready,
            directory,
            internal: (first, last),
        })
    }
}

impl SiteHost {
    /// Creates the host with the address 127.0.1.`index` in `zone`.
    pub fn new(name: &str, index: u8, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            ip: Ipv4Addr::new(127, 0, 1, index).into(),
            zone: zone.to_owned(),
            ram_mb: None,
            max_descriptors: DEFAULT_DESCRIPTORS,
        }
    }

    /// Returns the settings file of an entry on this host.
    pub fn entry_settings(&self, ports: SitePorts, store: SocketAddr) -> String {
        let ip = self.ip;
        let listen = format!(
            "front = \"{ip}:{}\"\nready = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"\n",
            ports.front, ports.ready, ports.directory
        );
        self.settings(ports, store, r#"["edge","directory"]"#, "", &listen)
    }

    /// Returns the settings file of an agent for `replica` of `service` on this host.
    pub fn agent_settings(
        &self,
        ports: SitePorts,
        store: SocketAddr,
        replica: SocketAddr,
        service: &str,
    ) -> String {
        let replica_settings = format!("app = \"{replica}\"\nservice = \"{service}\"\n");
        self.settings(ports, store, r#"["side"]"#, &replica_settings, "")
    }

    fn settings(
        &self,
        ports: SitePorts,
        store: SocketAddr,
        serves: &str,
        replica_settings: &str,
        listen: &str,
    ) -> String {
        let Self {
            name,
            ip,
            zone,
            ram_mb,
            max_descriptors,
        } = self;
        let ram = ram_mb.map_or_else(String::new, |it| format!("ramMb = {it}"));
        let (first_port, last_port) = ports.internal;
        format!(
            r#"node = "{name}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{zone}"
portRange = [{first_port},{last_port}]
heartbeatMs = 1200
{replica_settings}
[zones]
a = "a"
b = "b"
[listen]
{listen}
[limits]
linkMbps = 100.0
maxFds = {max_descriptors}
{ram}
[bounds]
graceS = 8
strictRevoke = true
revokeMs = 5000
evacMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 104
version_ms = 8000
ttl_max_s = 5
[provider]
addr = "{store}"
"#
        )
    }
}

/// Number of sites that have received ports in this process.
static SITE_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Descriptors of a host whose limit a test does not set.
const DEFAULT_DESCRIPTORS: u32 = 4100;

/// Number of ports of a host.
const PORT_COUNT: usize = 5;

/// Ports to listen on. The ephemeral ports of Linux start at 32768.
const LISTEN_PORTS: std::ops::Range<u16> = 30_000..32_000;
