//! Settings files as the platform writes them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Ports that are the same on all machines of a site.
#[derive(Clone, Copy, Debug)]
pub struct SitePorts {
    /// Clients' requests.
    pub front: u16,
    /// The platform's question whether a machine is ready.
    pub ready: u16,
    /// Clients' question where to connect.
    pub directory: u16,
    /// First and last port for communication between machines.
    pub internal: (u16, u16),
}

/// One machine, which is a loopback address of its own.
#[derive(Clone, Debug)]
pub struct SiteHost {
    /// Name of the machine.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone, which is in the region of the same name.
    pub zone: String,
}

impl SitePorts {
    /// Takes five free ports from the operating system.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when no port is free.
    pub fn free() -> std::io::Result<Self> {
        let listeners = (0..5)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
            .collect::<std::io::Result<Vec<_>>>()?;
        let mut ports = listeners
            .iter()
            .map(|it| it.local_addr().map(|it| it.port()))
            .collect::<std::io::Result<Vec<_>>>()?;
        ports.sort_unstable();
        Ok(Self {
            front: ports[1],
            ready: ports[2],
            directory: ports[3],
            internal: (ports[0], ports[4]),
        })
    }
}

impl SiteHost {
    /// Returns machine number `index` of `zone`.
    pub fn new(name: &str, index: u8, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            ip: Ipv4Addr::new(127, 0, 1, index).into(),
            zone: zone.to_owned(),
        }
    }

    /// Returns the settings of an entry on this machine.
    pub fn entry_settings(&self, ports: SitePorts, store: SocketAddr) -> String {
        let ip = self.ip;
        let listen = format!(
            "front = \"{ip}:{}\"\nready = \"{ip}:{}\"\ndirectory = \"{ip}:{}\"\n",
            ports.front, ports.ready, ports.directory
        );
        self.settings(ports, store, r#"["edge","directory"]"#, "", &listen)
    }

    /// Returns the settings of an agent beside `replica` of `service`.
    pub fn agent_settings(
        &self,
        ports: SitePorts,
        store: SocketAddr,
        replica: SocketAddr,
        service: &str,
    ) -> String {
        let beside = format!("app = \"{replica}\"\nservice = \"{service}\"\n");
        self.settings(ports, store, r#"["side"]"#, &beside, "")
    }

    fn settings(
        &self,
        ports: SitePorts,
        store: SocketAddr,
        serves: &str,
        beside: &str,
        listen: &str,
    ) -> String {
        let Self { name, ip, zone } = self;
        let (first, last) = ports.internal;
        format!(
            r#"node = "{name}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{zone}"
portRange = [{first},{last}]
heartbeatMs = 1200
{beside}
[zones]
a = "a"
b = "b"
[listen]
{listen}
[limits]
linkMbps = 100.0
maxFds = 4100
[bounds]
graceS = 8
strictRevoke = true
revokeMs = 5000
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
