//! What a fleet consists of.

use std::path::PathBuf;
use std::time::Duration;

use crate::engine::EngineOptions;
use crate::links::SwitchOptions;

/// The entries, agents and stand-ins of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The program `fulmarline`.
    pub binary: PathBuf,
    /// Folder for settings, secrets and logs; it is created, and what an earlier run left in it is removed.
    pub dir: PathBuf,
    /// The entries.
    pub entries: Vec<EntryPlan>,
    /// The agents.
    pub agents: Vec<AgentPlan>,
    /// The model whose versions `v1`, `v2`, ... the sources hold.
    pub model: String,
    /// Number of versions.
    pub versions: u64,
    /// Size of each version in bytes.
    pub weight_bytes: usize,
    /// Size of a chunk in bytes.
    pub chunk_bytes: u64,
    /// Names of the organisations; the token of one is `token-NAME`.
    pub organisations: Vec<String>,
    /// Speed of the origin in bytes a second.
    pub origin_bytes_per_s: Option<f64>,
    /// Speed of each host's link as the agents are told, in bytes a second.
    pub link_bytes_per_s: u64,
    /// `time` or `bytes`.
    pub profile: String,
    /// How long callers may keep the list of entries.
    pub directory_ttl: Duration,
    /// Time between heartbeats of the agents.
    pub heartbeat: Duration,
    /// Links that chunks and requests of the agents pass, or `None` to connect them directly.
    pub links: Option<LinkPlan>,
}

/// Links between the agents, and between them and the origin.
#[derive(Clone, Debug)]
pub struct LinkPlan {
    /// What holds for all links.
    pub options: SwitchOptions,
    /// Speed of the origin's link in bytes a second.
    pub origin_bytes_per_s: f64,
    /// Speed of each host's link in bytes a second, in and out together.
    pub host_bytes_per_s: f64,
    /// Share of a host's link that its agent leaves for live requests.
    pub live_share: f64,
    /// Chunks that an agent fetches at once, and twice as many that it serves.
    pub fetch_parallel: usize,
}

/// One entry.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
}

/// One agent with its back end.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// What stands behind the agent.
    pub target: TargetPlan,
}

/// The back end of an agent.
#[derive(Clone, Debug)]
pub enum TargetPlan {
    /// An engine for the model of the fleet.
    Engine(EngineOptions),
    /// A plain service of this name.
    Service(String),
}

impl FleetPlan {
    /// Plans a fleet with one entry and `engines` engines in each of `zones` zones, each zone in a region of its own.
    pub fn uniform(binary: PathBuf, dir: PathBuf, zones: usize, engines: usize) -> Self {
        let place = |idx: usize| (format!("zone-{}", idx + 1), format!("region-{}", idx + 1));
        let entries = (0..zones).map(|idx| {
            let (zone, region) = place(idx);
            let name = format!("entry-{}", idx + 1);
            EntryPlan { name, zone, region }
        });
        let agents = (0..zones * engines).map(|idx| {
            let (zone, region) = place(idx % zones);
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

    /// Adds a service with one agent in the zone with number `zone`.
    pub fn add_service(&mut self, host: &str, service: &str, zone: usize) {
        let place = &self.entries[zone % self.entries.len()];
        self.agents.push(AgentPlan {
            name: host.to_owned(),
            zone: place.zone.clone(),
            region: place.region.clone(),
            target: TargetPlan::Service(service.to_owned()),
        });
    }
}
