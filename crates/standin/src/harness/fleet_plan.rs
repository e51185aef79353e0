//! The configuration of a fleet: its entries, agents and stand-ins.

use std::path::PathBuf;
use std::time::Duration;

use crate::engine::EngineOptions;
use crate::links::SwitchOptions;

/// The configuration of the entries, agents and stand-ins of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Path of the `fulmarline` binary.
    pub binary: PathBuf,
    /// Directory for settings, secrets and logs. It is created, and files of an earlier run are removed.
    pub dir: PathBuf,
    /// The entries.
    pub entries: Vec<EntryPlan>,
    /// The agents.
    pub agents: Vec<AgentPlan>,
    /// Name of the model. The sources provide its versions `v1`, `v2`, ...
    pub model: String,
    /// Number of versions of the model.
    pub versions: u64,
    /// Size of the weights of each version in bytes.
    pub weight_bytes: usize,
    /// Size of a chunk in bytes.
    pub chunk_bytes: u64,
    /// Names of the organisations. The token of an organisation is `token-NAME`.
    pub organisations: Vec<String>,
    /// Rate limit of the origin in bytes per second.
    pub origin_bytes_per_s: Option<f64>,
    /// Bandwidth of each host's link in the agents' settings, in bytes per second. Ignored if `links` is set.
    pub link_bytes_per_s: u64,
    /// Spread profile: `time` or `bytes`.
    pub profile: String,
    /// Time for which callers may cache the list of entries.
    pub directory_ttl: Duration,
    /// Heartbeat interval of the agents.
    pub heartbeat: Duration,
    /// Simulated links for chunk transfers and requests to the agents, or `None` for direct connections.
    pub links: Option<LinkPlan>,
}

/// The configuration of simulated links between agents, and between agents and the origin.
#[derive(Clone, Debug)]
pub struct LinkPlan {
    /// Options of the switch.
    pub options: SwitchOptions,
    /// Bandwidth of the origin's link in bytes per second.
    pub origin_bytes_per_s: f64,
    /// Bandwidth of each host's link in bytes per second, for both directions combined.
    pub host_bytes_per_s: f64,
    /// Fraction of a host's bandwidth that its agent reserves for live requests.
    pub live_share: f64,
    /// Maximum number of concurrent chunk fetches of an agent. It serves up to twice as many.
    pub fetch_parallel: usize,
}

/// The configuration of an entry.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
}

/// The configuration of an agent and its target.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Target of the agent.
    pub target: TargetPlan,
}

/// The configuration of the target of an agent.
#[derive(Clone, Debug)]
pub enum TargetPlan {
    /// An engine for the fleet's model.
    Engine(EngineOptions),
    /// A plain service with this name.
    Service(String),
}

impl FleetPlan {
    /// Creates a plan with `zones` availability zones, each in its own region and with one entry and `engines` engines.
    pub fn uniform(binary: PathBuf, dir: PathBuf, zones: usize, engines: usize) -> Self {
        let location = |idx: usize| (format!("zone-{}", idx + 1), format!("region-{}", idx + 1));
        let entries = (0..zones).map(|idx| {
            let (zone, region) = location(idx);
            let name = format!("entry-{}", idx + 1);
            EntryPlan { name, zone, region }
        });
        let agents = (0..zones * engines).map(|idx| {
            let (zone, region) = location(idx % zones);
            AgentPlan {
                name: format!("model-{}", idx + 1),
                zone,
                region,
                target: TargetPlan::Engine(EngineOptions::default()),
            }
        });
        Self {
            binary,
            dir,
            entries: entries.collect(),
            agents: agents.collect(),
            model: "demo".to_owned(),
            versions: 2,
            weight_bytes: 4 << 20,
            chunk_bytes: 256 << 10,
            organisations: vec!["north".to_owned(), "south".to_owned()],
            origin_bytes_per_s: None,
            link_bytes_per_s: 200_000_000,
            profile: "time".to_owned(),
            directory_ttl: Duration::from_secs(2),
            links: None,
            heartbeat: Duration::from_millis(200),
        }
    }

    /// Adds the agent of a service on `host`, in the availability zone of the entry with index `zone`.
    pub fn add_service(&mut self, host: &str, service: &str, zone: usize) {
        let location = &self.entries[zone % self.entries.len()];
        self.agents.push(AgentPlan {
            name: host.to_owned(),
            zone: location.zone.clone(),
            region: location.region.clone(),
            target: TargetPlan::Service(service.to_owned()),
        });
    }
}
