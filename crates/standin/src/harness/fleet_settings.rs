//! Addresses, settings files and secrets of a fleet.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use serde_json::{Value, json};

use crate::harness::fleet_plan::{AgentPlan, EntryPlan, FleetPlan};
use crate::harness::port_probe;

/// Bearer token of the operator.
pub(crate) const OPERATOR_TOKEN: &str = "operator-token-of-the-fleet";

/// Shared key for the handshake between processes.
const SHARED_KEY: &str = "shared-key-of-the-fleet-0123456789";

/// Memory for chunks in addition to the size of the weights, in bytes.
const SPARE_CHUNK_MEMORY: u64 = 16 << 20;

/// Listen addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryAddresses {
    pub(crate) ip: IpAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) control: SocketAddr,
}

/// Listen addresses of an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentAddresses {
    pub(crate) ip: IpAddr,
    pub(crate) gate: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) operators: SocketAddr,
    /// Addresses of the routes through the switch, if there is one.
    pub(crate) routes: Option<AgentRoutes>,
}

/// Addresses of the switch that forward to an agent, and to the origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentRoutes {
    pub(crate) gate: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) origin: SocketAddr,
}

/// Addresses of the stand-ins of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlatformAddresses {
    pub(crate) table: SocketAddr,
    pub(crate) objects: SocketAddr,
    pub(crate) hosts: SocketAddr,
    pub(crate) origin: SocketAddr,
    pub(crate) weight_store: SocketAddr,
}

/// Returns a loopback address for one host. Fleets that run concurrently on this machine get different addresses.
pub(crate) fn next_ip() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let process_id = std::process::id();
    let second_octet = 64 + (process_id >> 6) % 128;
    // The last two octets contain six bits of the process ID and ten bits of the counter.
    let low_bits = ((process_id & 0x3f) << 10) | u32::from(index & 0x3ff);
    IpAddr::V4(Ipv4Addr::new(
        127,
        second_octet as u8,
        (low_bits >> 8) as u8,
        low_bits as u8,
    ))
}

/// Returns `N` addresses with distinct free ports of `ip`, below the range of ephemeral ports.
///
/// An ephemeral port that is free now could be taken by an outgoing connection of any process before the process that
/// listens on it has started.
pub(crate) fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::new(ip, 0); N];
    let mut ports = LISTEN_PORTS;
    for address in &mut addresses {
        let free = ports.find(|port| port_probe::is_free(SocketAddr::new(ip, *port)));
        let port = free.ok_or(io::ErrorKind::AddrInUse)?;
        *address = SocketAddr::new(ip, port);
    }
    Ok(addresses)
}

/// Ports to listen on. The ephemeral ports of Linux start at 32768.
const LISTEN_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Writes the secret files that the settings files refer to.
pub(crate) fn write_secrets(plan: &FleetPlan) -> io::Result<()> {
    std::fs::write(plan.dir.join("shared-key"), SHARED_KEY)?;
    std::fs::write(plan.dir.join("operator"), OPERATOR_TOKEN)?;
    for organisation in &plan.organisations {
        let token = caller_token(organisation);
        std::fs::write(plan.dir.join(format!("caller-{organisation}")), token)?;
    }
    Ok(())
}

/// Returns the bearer token of an organisation.
pub(crate) fn caller_token(organisation: &str) -> String {
    format!("token-{organisation}")
}

/// Writes the settings file of an entry and returns its path.
pub(crate) fn write_entry(
    plan: &FleetPlan,
    entry: &EntryPlan,
    addresses: &EntryAddresses,
    bootstrap_entries: &[SocketAddr],
    platform: &PlatformAddresses,
) -> io::Result<PathBuf> {
    let callers: Vec<_> = plan
        .organisations
        .iter()
        .map(|it| json!({ "organisation": it, "token_file": format!("caller-{it}") }))
        .collect();
    let settings = json!({
        "role": "entry",
        "host": host_settings(&entry.name, &entry.zone, &entry.region, addresses.ip),
        "listen": { "callers": addresses.callers, "operators": addresses.operators, "control": addresses.control },
        "entries": bootstrap_entries,
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
    write_settings(&plan.dir, &entry.name, &settings)
}

/// Writes the settings file of an agent with the target settings `target` and returns its path.
pub(crate) fn write_agent(
    plan: &FleetPlan,
    agent: &AgentPlan,
    addresses: &AgentAddresses,
    bootstrap_entries: &[SocketAddr],
    platform: &PlatformAddresses,
    target: &Value,
) -> io::Result<PathBuf> {
    let mut settings = json!({
        "role": "agent",
        "host": host_settings(&agent.name, &agent.zone, &agent.region, addresses.ip),
        "listen": {
            "gate": addresses.gate,
            "peers": addresses.peers,
            "control": addresses.control,
            "operators": addresses.operators,
        },
        "bind_ip": addresses.ip,
        "entries": bootstrap_entries,
        "target": target,
        "sources": { "origin": platform.origin, "weight_store": platform.weight_store },
        "spread": {
            // Two versions are present while one replaces the other.
            "memory_bytes": 2 * plan.weight_bytes as u64 + SPARE_CHUNK_MEMORY,
            "link_bytes_per_s": plan.link_bytes_per_s,
        },
        "shared_key_file": "shared-key",
        "operators": [{ "name": "operator", "token_file": "operator" }],
        "heartbeat_ms": plan.heartbeat.as_millis() as u64,
    });
    if let (Some(links), Some(routes)) = (&plan.links, &addresses.routes) {
        settings["advertise"] = json!({ "gate": routes.gate, "peers": routes.peers });
        settings["sources"]["origin"] = json!(routes.origin);
        settings["spread"]["link_bytes_per_s"] = json!(links.host_bytes_per_s as u64);
        settings["spread"]["live_share"] = json!(links.live_share);
        settings["spread"]["fetch_parallel"] = json!(links.fetch_parallel);
        settings["spread"]["serve_parallel"] = json!(2 * links.fetch_parallel);
    }
    write_settings(&plan.dir, &agent.name, &settings)
}

fn host_settings(name: &str, zone: &str, region: &str, ip: IpAddr) -> Value {
    json!({ "name": name, "zone": zone, "region": region, "ip": ip })
}

fn write_settings(dir: &Path, name: &str, settings: &Value) -> io::Result<PathBuf> {
    let file = dir.join(format!("{name}.jsonc"));
    std::fs::write(&file, format!("{settings:#}\n"))?;
    Ok(file)
}
