//! A fleet of real processes connected to stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use httpio::HttpClient;
use model::{ModelName, VersionLabel, WeightManifest};
use serde_json::{Value, json};

use crate::engine::{EngineOptions, ModelEngine};
use crate::harness::child_process::ChildProcess;
use crate::harness::fleet_plan::{AgentPlan, FleetPlan, TargetPlan};
use crate::harness::fleet_settings::{
    self, AgentAddresses, AgentRoutes, EntryAddresses, PlatformAddresses,
};
use crate::host_list::HostList;
use crate::links::{LinkSwitch, SwitchNode};
use crate::object_store::ObjectStore;
use crate::plain_service::PlainService;
use crate::standin_runtime::StandinRuntime;
use crate::table::TableService;
use crate::weights::{WeightCatalog, WeightFaults, WeightSource, synthetic_weights};

/// Entries and agents as child processes, and the stand-ins that they connect to in this process.
#[derive(Debug)]
pub struct ProcessFleet {
    /// The table service.
    pub table: TableService,
    /// The object store.
    pub objects: ObjectStore,
    /// The origin.
    pub origin: WeightSource,
    /// The weight store.
    pub weight_store: WeightSource,
    /// The host list.
    pub hosts: HostList,
    /// The engines by host name.
    pub engines: BTreeMap<String, ModelEngine>,
    /// The plain services by host name.
    pub services: BTreeMap<String, PlainService>,
    /// The manifests of the versions by label.
    pub manifests: BTreeMap<String, WeightManifest>,
    /// The simulated links between the agents, if the plan has them.
    pub switch: Option<LinkSwitch>,
    plan: FleetPlan,
    pub(crate) processes: BTreeMap<String, FleetProcess>,
    pub(crate) client: HttpClient,
    // Last, so that it is dropped after the stand-ins and processes.
    pub(crate) runtime: StandinRuntime,
}

/// A process of the fleet, which may not be running.
#[derive(Debug)]
pub(crate) struct FleetProcess {
    pub(crate) role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    callers: Option<SocketAddr>,
    pub(crate) operators: SocketAddr,
    child: Option<ChildProcess>,
}

impl ProcessFleet {
    /// Starts all stand-ins and all processes of `plan`.
    ///
    /// # Errors
    ///
    /// Returns the first error. Processes that were already started are killed.
    pub fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let mut fleet = Self::prepare(plan)?;
        let names: Vec<_> = fleet.processes.keys().cloned().collect();
        for name in names {
            fleet.start_process(&name)?;
        }
        Ok(fleet)
    }

    /// Starts all stand-ins and writes all settings files, but does not start processes.
    ///
    /// # Errors
    ///
    /// Returns the first error.
    pub fn prepare(plan: FleetPlan) -> anyhow::Result<Self> {
        let _ = std::fs::remove_dir_all(&plan.dir);
        std::fs::create_dir_all(&plan.dir)
            .with_context(|| format!("cannot create {}", plan.dir.display()))?;
        fleet_settings::write_secrets(&plan)?;
        let runtime = StandinRuntime::new(STANDIN_THREADS)?;
        let (catalog, manifests) = build_catalog(&plan)?;
        let origin = WeightSource::start(&runtime, any_port(), catalog.clone())?;
        origin.set_faults(WeightFaults {
            bytes_per_s: plan.origin_bytes_per_s,
            ..WeightFaults::default()
        });
        let mut fleet = Self {
            table: TableService::start(&runtime, any_port())?,
            objects: ObjectStore::start(&runtime, any_port())?,
            origin,
            weight_store: WeightSource::start(&runtime, any_port(), catalog)?,
            hosts: HostList::start(&runtime, any_port(), HOST_LIST_LAG)?,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            manifests,
            switch: None,
            plan,
            processes: BTreeMap::new(),
            client: HttpClient::new(None, CONNECT_TIMEOUT),
            runtime,
        };
        fleet.prepare_processes()?;
        Ok(fleet)
    }

    fn prepare_processes(&mut self) -> anyhow::Result<()> {
        let platform = PlatformAddresses {
            table: self.table.address(),
            objects: self.objects.address(),
            hosts: self.hosts.address(),
            origin: self.origin.address(),
            weight_store: self.weight_store.address(),
        };
        let plan = self.plan.clone();
        let mut entries = Vec::new();
        for _ in &plan.entries {
            let ip = fleet_settings::next_ip();
            let [callers, operators, control] = fleet_settings::free_addresses(ip)?;
            entries.push(EntryAddresses {
                ip,
                callers,
                operators,
                control,
            });
        }
        let bootstrap_entries: Vec<_> = entries.iter().map(|it| it.control).collect();
        for (entry, addresses) in plan.entries.iter().zip(&entries) {
            let file = fleet_settings::write_entry(
                &plan,
                entry,
                addresses,
                &bootstrap_entries,
                &platform,
            )?;
            self.add_process(
                &entry.name,
                "entry",
                file,
                Some(addresses.callers),
                addresses.operators,
            );
        }
        let switch = self.start_switch()?;
        for agent in &plan.agents {
            let ip = fleet_settings::next_ip();
            let [gate, peers, control, operators] = fleet_settings::free_addresses(ip)?;
            let routes = match (&switch, &plan.links) {
                (Some((switch, origin)), Some(links)) => {
                    switch.add_node(SwitchNode {
                        name: agent.name.clone(),
                        ip,
                        region: Some(agent.region.clone()),
                        bytes_per_s: Some(links.host_bytes_per_s),
                    });
                    let listen = SocketAddr::new(ip, 0);
                    Some(AgentRoutes {
                        gate: switch.add_route(&agent.name, "gate", listen, gate)?,
                        peers: switch.add_route(&agent.name, "peers", listen, peers)?,
                        origin: *origin,
                    })
                }
                _ => None,
            };
            let addresses = AgentAddresses {
                ip,
                gate,
                peers,
                control,
                operators,
                routes,
            };
            let target = self.start_target(agent)?;
            // The entry of the agent's availability zone is first.
            let mut bootstrap_entries = bootstrap_entries.clone();
            let local_entry = plan.entries.iter().position(|it| it.zone == agent.zone);
            bootstrap_entries.rotate_left(local_entry.unwrap_or(0));
            let file = fleet_settings::write_agent(
                &plan,
                agent,
                &addresses,
                &bootstrap_entries,
                &platform,
                &target,
            )?;
            self.add_process(&agent.name, "agent", file, None, operators);
        }
        Ok(())
    }

    /// Starts the switch if the plan has links, and returns it with the address of its route to the origin.
    fn start_switch(&mut self) -> anyhow::Result<Option<(LinkSwitch, SocketAddr)>> {
        let Some(links) = &self.plan.links else {
            return Ok(None);
        };
        let switch = LinkSwitch::new(&self.runtime, links.options.clone());
        let loopback = any_port().ip();
        // Entries connect from 127.0.0.1, which has an unlimited link, so that only the target's link limits them.
        for (name, ip, rate) in [
            ("entries", loopback, None),
            (
                "origin",
                fleet_settings::next_ip(),
                Some(links.origin_bytes_per_s),
            ),
        ] {
            switch.add_node(SwitchNode {
                name: name.to_owned(),
                ip,
                region: None,
                bytes_per_s: rate,
            });
        }
        let origin = switch.add_route("origin", "origin", any_port(), self.origin.address())?;
        self.switch = Some(switch.clone());
        Ok(Some((switch, origin)))
    }

    fn start_target(&mut self, agent: &AgentPlan) -> anyhow::Result<Value> {
        match &agent.target {
            TargetPlan::Engine(options) => {
                let engine = ModelEngine::start(&self.runtime, any_port(), options.clone())?;
                let target = engine_target(&self.plan.model, engine.address(), options);
                self.engines.insert(agent.name.clone(), engine);
                Ok(target)
            }
            TargetPlan::Service(name) => {
                let service = PlainService::start(&self.runtime, any_port(), name)?;
                let address = service.address();
                self.services.insert(agent.name.clone(), service);
                Ok(json!({ "kind": "service", "service": name, "address": address }))
            }
        }
    }

    fn add_process(
        &mut self,
        name: &str,
        role: &'static str,
        settings: PathBuf,
        callers: Option<SocketAddr>,
        operators: SocketAddr,
    ) {
        let process = FleetProcess {
            role,
            settings,
            log: self.plan.dir.join(format!("{name}.log")),
            callers,
            operators,
            child: None,
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Returns the runtime of the stand-ins.
    pub fn runtime(&self) -> &StandinRuntime {
        &self.runtime
    }

    /// Returns the plan of the fleet.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the addresses at which the entries accept callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.processes
            .values()
            .filter_map(|it| it.callers)
            .collect()
    }

    /// Returns the host names of all processes.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Starts or restarts the process on host `name`.
    ///
    /// # Errors
    ///
    /// Fails if the host is unknown or the process cannot be started.
    pub fn start_process(&mut self, name: &str) -> anyhow::Result<()> {
        let binary = self.plan.binary.clone();
        let process = self.processes.get_mut(name).context("no such process")?;
        let child = ChildProcess::start(&binary, process.role, &process.settings, &process.log)
            .with_context(|| format!("cannot start {}", binary.display()))?;
        process.child = Some(child);
        Ok(())
    }

    /// Returns the process on host `name`.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no such host or its process has not been started.
    pub fn process(&mut self, name: &str) -> &mut ChildProcess {
        self.processes
            .get_mut(name)
            .and_then(|it| it.child.as_mut())
            .unwrap_or_else(|| panic!("{name} has not been started"))
    }
}

fn build_catalog(
    plan: &FleetPlan,
) -> anyhow::Result<(WeightCatalog, BTreeMap<String, WeightManifest>)> {
    let mut catalog = WeightCatalog::default();
    let mut manifests = BTreeMap::new();
    for number in 1..=plan.versions {
        let label = format!("v{number}");
        let manifest = catalog.add(
            ModelName::new(plan.model.as_str())?,
            VersionLabel::new(label.as_str())?,
            plan.chunk_bytes,
            synthetic_weights(number, plan.weight_bytes),
        );
        manifests.insert(label, manifest);
    }
    Ok((catalog, manifests))
}

fn engine_target(model: &str, engine: SocketAddr, options: &EngineOptions) -> Value {
    json!({
        "kind": "model",
        "model": model,
        "engine": engine,
        "checks_fencing": options.checks_fencing,
        "loads_beside": options.loads_beside,
        "max_in_flight": options.max_batch,
    })
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Number of worker threads shared by all stand-ins of a fleet.
const STANDIN_THREADS: usize = 3;

/// Delay until a change of the host list becomes visible.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

/// Timeout for connecting to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
