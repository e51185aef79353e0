//! Settings files of a fleet.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use serde_json::{Value, json};

use crate::harness::fleet_plan::{AgentPlan, EntryPlan, FleetPlan};

/// Token of the operator in a fleet.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-of-the-fleet";

/// Key of the handshake in a fleet.
const SHARED_KEY: &str = "shared-key-of-the-fleet-0123456789";

/// Memory for chunks beside the weights themselves, in bytes.
const SPARE_CHUNK_MEMORY: u64 = 16 << 20;

/// Addresses of one entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryAddresses {
    pub(crate) ip: IpAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) control: SocketAddr,
}

/// Addresses of one agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentAddresses {
    pub(crate) ip: IpAddr,
    pub(crate) gate: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) operators: SocketAddr,
    /// Ways through the switch, where there is one.
    pub(crate) routes: Option<AgentRoutes>,
}

/// Ways through the switch to one agent, and from it to the origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentRoutes {
    pub(crate) gate: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) origin: SocketAddr,
}

/// Addresses of the platform's stand-ins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformAddresses {
    pub(crate) table: SocketAddr,
    pub(crate) objects: SocketAddr,
    pub(crate) hosts: SocketAddr,
    pub(crate) origin: SocketAddr,
    pub(crate) weight_store: SocketAddr,
}

/// Returns a loopback address that no other fleet of this machine uses at the same time.
pub(crate) fn next_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let second = 64 + (process >> 6) % 128;
    // Six bits of the process id and ten of the counter fill the last two parts.
    let last = ((process & 0x3f) << 10) | u32::from(host & 0x3ff);
    IpAddr::V4(Ipv4Addr::new(
        127,
        second as u8,
        (last >> 8) as u8,
        last as u8,
    ))
}

/// Returns `N` different free ports of `ip`, below those that the operating system gives to connections.
///
/// A port that was free when it was looked for could otherwise be taken by a connection of any process before the one
/// that is to listen on it has started.
pub(crate) fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::new(ip, 0); N];
    let mut ports = LISTEN_PORTS;
    for address in &mut addresses {
        let free = ports.find(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok());
        let port = free.ok_or(io::ErrorKind::AddrInUse)?;
        *address = SocketAddr::new(ip, port);
    }
    Ok(addresses)
}

/// Ports to listen on; Linux gives connections ports from 32768 on.
const LISTEN_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Writes the secrets that all settings files name.
pub(crate) fn write_secrets(plan: &FleetPlan) -> io::Result<()> {
    std::fs::write(plan.dir.join("shared-key"), SHARED_KEY)?;
    std::fs::write(plan.dir.join("operator"), OPERATOR_TOKEN)?;
    for organisation in &plan.organisations {
        let token = caller_token(organisation);
        std::fs::write(plan.dir.join(format!("caller-{organisation}")), token)?;
    }
    Ok(())
}

/// Returns the token of an organisation.
pub(crate) fn caller_token(organisation: &str) -> String {
    format!("token-{organisation}")
}

/// Writes the settings of an entry and returns the file.
pub(crate) fn write_entry(
    plan: &FleetPlan,
    entry: &EntryPlan,
    own: &EntryAddresses,
    seeds: &[SocketAddr],
    platform: &PlatformAddresses,
) -> io::Result<PathBuf> {
    let callers: Vec<_> = plan
        .organisations
        .iter()
        .map(|it| json!({ "organisation": it, "token_file": format!("caller-{it}") }))
        .collect();
    let settings = json!({
        "role": "entry",
        "host": host(&entry.name, &entry.zone, &entry.region, own.ip),
        "listen": { "callers": own.callers, "operators": own.operators, "control": own.control },
        "entries": seeds,
        "platform": {
            "table": platform.table,
            "objects": platform.objects,
            "hosts": platform.hosts,
        },
        "sources": { "origin": platform.origin, "weight_store": platform.weight_store },
        "shared_key_file": "shared-key",
        "operators": [{ "name": "operator", "token_file": "operator" }],
        "callers": callers,
        "limits": { "directory_ttl_ms": plan.directory_ttl.as_millis() as u64 },
        "spread": { "profile": plan.profile },
    });
    write(&plan.dir, &entry.name, &settings)
}

/// Writes the settings of an agent before the back end at `target` and returns the file.
pub(crate) fn write_agent(
    plan: &FleetPlan,
    agent: &AgentPlan,
    own: &AgentAddresses,
    seeds: &[SocketAddr],
    platform: &PlatformAddresses,
    target: &Value,
) -> io::Result<PathBuf> {
    let mut settings = json!({
        "role": "agent",
        "host": host(&agent.name, &agent.zone, &agent.region, own.ip),
        "listen": {
            "gate": own.gate,
            "peers": own.peers,
            "control": own.control,
            "operators": own.operators,
        },
        "bind_ip": own.ip,
        "entries": seeds,
        "target": target,
        "sources": { "origin": platform.origin, "weight_store": platform.weight_store },
        "spread": {
            // Two versions may be present at once while one replaces the other.
            "memory_bytes": 2 * plan.weight_bytes as u64 + SPARE_CHUNK_MEMORY,
            "link_bytes_per_s": plan.link_bytes_per_s,
        },
        "shared_key_file": "shared-key",
        "operators": [{ "name": "operator", "token_file": "operator" }],
        "heartbeat_ms": plan.heartbeat.as_millis() as u64,
    });
    if let (Some(links), Some(routes)) = (&plan.links, &own.routes) {
        settings["advertise"] = json!({ "gate": routes.gate, "peers": routes.peers });
        settings["sources"]["origin"] = json!(routes.origin);
        settings["spread"]["link_bytes_per_s"] = json!(links.host_bytes_per_s as u64);
        settings["spread"]["live_share"] = json!(links.live_share);
        settings["spread"]["fetch_parallel"] = json!(links.fetch_parallel);
        settings["spread"]["serve_parallel"] = json!(2 * links.fetch_parallel);
    }
    write(&plan.dir, &agent.name, &settings)
}

fn host(name: &str, zone: &str, region: &str, ip: IpAddr) -> Value {
    json!({ "name": name, "zone": zone, "region": region, "ip": ip })
}

fn write(dir: &Path, name: &str, settings: &Value) -> io::Result<PathBuf> {
    let file = dir.join(format!("{name}.jsonc"));
    std::fs::write(&file, format!("{settings:#}\n"))?;
    Ok(file)
}
