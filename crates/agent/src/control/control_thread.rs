//! The thread that owns the agent's control state.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use control::{EngineStatus, EngineSwitch, LoadCommand, SwitchInput};
use model::{FleetConfig, GateState, VersionDigest, WeightManifest};
use settings::{AgentSettings, TargetSettings};
use slog::{Logger, debug, error, info, warn};
use upstream::{EngineClient, EnginePhase, LoadError, LoadOrder};

use crate::control::agent_view::AgentView;
use crate::control::control_event::ControlEvent;
use crate::gate::SharedGate;
use crate::transfer::ChunkStore;

/// Handle of the thread that applies the configuration, commands the engine and sets the gate's state.
#[derive(Debug)]
pub(crate) struct ControlThread {
    events: Sender<ControlEvent>,
}

struct ControlState {
    settings: Arc<AgentSettings>,
    gate: Arc<SharedGate>,
    store: Arc<ChunkStore>,
    view: Arc<AgentView>,
    engine: Option<EngineClient>,
    config: FleetConfig,
    /// The version that the configuration specifies for this host's engine. Its digest is computed once per revision.
    wanted: Option<WantedVersion>,
    switch: EngineSwitch,
    stopping: bool,
    engine_error: Option<String>,
    log: Logger,
}

#[derive(Clone)]
struct WantedVersion {
    version: VersionDigest,
    manifest: Arc<WeightManifest>,
}

impl ControlThread {
    pub(crate) fn start(
        settings: &Arc<AgentSettings>,
        gate: Arc<SharedGate>,
        store: Arc<ChunkStore>,
        view: Arc<AgentView>,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let (events, receiver) = mpsc::channel();
        let engine = match &settings.target {
            TargetSettings::Model { engine, .. } => {
                Some(EngineClient::new(*engine, ENGINE_TIMEOUT))
            }
            TargetSettings::Service { .. } => None,
        };
        let loads_beside = matches!(
            &settings.target,
            TargetSettings::Model {
                loads_beside: true,
                ..
            }
        );
        let permit_ttl = MIN_PERMIT_TTL.max(settings.heartbeat * 3);
        let state = ControlState {
            settings: settings.clone(),
            gate,
            store,
            view,
            engine,
            config: FleetConfig::default(),
            wanted: None,
            switch: EngineSwitch::new(loads_beside, permit_ttl),
            stopping: false,
            engine_error: None,
            log,
        };
        std::thread::Builder::new()
            .name("control".to_string())
            .spawn(move || run(state, &receiver))?;
        Ok(Self { events })
    }

    pub(crate) fn sender(&self) -> Sender<ControlEvent> {
        self.events.clone()
    }

    pub(crate) fn request_stop(&self) {
        let _ = self.events.send(ControlEvent::Stop);
    }
}

fn run(mut state: ControlState, events: &Receiver<ControlEvent>) {
    let mut last_reported = None;
    loop {
        match events.recv_timeout(STEP_INTERVAL) {
            Ok(event) => state.handle_event(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        state.step();
        let reported = Some((state.gate.state(), state.complete_version()));
        if reported != last_reported {
            last_reported = reported;
            state.view.notify_change();
        }
        state.view.publish(
            state.config.revision,
            state.switch.fencing(),
            state.engine_error.clone(),
        );
    }
}

impl ControlState {
    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Config(config) if config.revision > self.config.revision => {
                info!(self.log, "configuration in force"; "revision" => %config.revision);
                self.config = *config;
                self.wanted = self.wanted_version();
            }
            ControlEvent::Config(_) => {}
            ControlEvent::Permit(permit) => {
                let fencing = permit.fencing;
                if !self.switch.accept_permit(permit, Instant::now()) {
                    warn!(self.log, "permit has an outdated fencing number"; "fencing" => %fencing,
                        "seen" => %self.switch.fencing());
                }
            }
            ControlEvent::Stop => self.stopping = true,
        }
    }

    fn step(&mut self) {
        let leaving = self.stopping || self.config.drains.contains(&self.settings.host.name);
        if matches!(self.settings.target, TargetSettings::Service { .. }) {
            let state = if leaving {
                GateState::Leaving
            } else {
                GateState::Open
            };
            self.gate.set_state(state, None);
            return;
        }
        let wanted = self.wanted.clone();
        if let Some(WantedVersion { version, manifest }) = &wanted
            && !self.store.set_version(*version, manifest)
        {
            error!(self.log, "version exceeds the memory limit"; "bytes" => manifest.total_bytes);
        }
        let input = SwitchInput {
            engine: self.engine_status(),
            wanted: wanted.as_ref().map(|it| it.version),
            complete: self.complete_version(),
            in_flight: self.gate.in_flight(),
            leaving,
        };
        let step = self.switch.step(Instant::now(), &input);
        self.gate.set_state(step.gate, step.serving);
        // Requests may have been admitted after `in_flight` was read above. Now that the gate is closed, the count can
        // only decrease.
        let is_idle = self.gate.in_flight() == 0;
        if let (Some(command), Some(wanted)) = (step.load, &wanted)
            && (command.beside || is_idle)
        {
            self.start_load(command, &wanted.manifest);
        }
    }

    fn wanted_version(&self) -> Option<WantedVersion> {
        let TargetSettings::Model { model, .. } = &self.settings.target else {
            return None;
        };
        let manifest = &self.config.models.get(model)?.manifest;
        Some(WantedVersion {
            version: manifest.version(),
            manifest: Arc::new(manifest.clone()),
        })
    }

    fn engine_status(&mut self) -> EngineStatus {
        let Some(engine) = &self.engine else {
            return EngineStatus::Unreachable;
        };
        let state = match engine.state() {
            Ok(state) => state,
            Err(err) => {
                self.engine_error = Some(err.to_string());
                return EngineStatus::Unreachable;
            }
        };
        self.engine_error.clone_from(&state.error);
        // An engine that does not check fencing numbers does not store them either.
        let checks_fencing = matches!(
            self.settings.target,
            TargetSettings::Model {
                checks_fencing: true,
                ..
            }
        );
        if checks_fencing && !self.switch.observe_fencing(state.fencing) {
            debug!(self.log, "engine reports an outdated fencing number"; "engine" => %state.fencing);
        }
        match (state.state, state.version) {
            (EnginePhase::Serving, Some(version)) => EngineStatus::Serving {
                version,
                loading: state.beside,
            },
            (EnginePhase::Loading, Some(version)) if state.beside => EngineStatus::Serving {
                version,
                loading: true,
            },
            (EnginePhase::Loading, _) => EngineStatus::Loading,
            _ => EngineStatus::Idle,
        }
    }

    fn complete_version(&self) -> Option<VersionDigest> {
        let state = self.store.state()?;
        state.is_complete().then_some(state.version)
    }

    /// Commands the engine to load a version. The gate opens only once the engine reports that it serves this version.
    fn start_load(&mut self, command: LoadCommand, manifest: &WeightManifest) {
        let Some(engine) = &self.engine else { return };
        let (version, fencing) = (command.version, command.fencing);
        if !self.store.verify_digest(version) {
            error!(self.log, "version does not match its digest"; "version" => %version);
            return;
        }
        let load = LoadOrder {
            manifest,
            weights_url: format!(
                "http://{}/weights/{version}",
                local_address(self.settings.listen.peers)
            ),
            fencing,
            beside: command.beside,
        };
        match engine.load(&load) {
            Ok(()) => {
                info!(self.log, "load ordered"; "version" => %version, "fencing" => %fencing,
                    "beside" => command.beside);
            }
            Err(LoadError::Fenced) => {
                warn!(self.log, "engine rejected an outdated fencing number"; "fencing" => %fencing);
                self.switch.drop_permit();
            }
            Err(err) => self.engine_error = Some(err.to_string()),
        }
    }
}

/// Returns the address at which processes on this host reach a listener that may be bound to the wildcard address.
fn local_address(listen: SocketAddr) -> SocketAddr {
    let ip = match listen.ip() {
        IpAddr::V4(it) if it.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(it) if it.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        it => it,
    };
    SocketAddr::new(ip, listen.port())
}

/// Time between polls of the engine.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a call to the engine on this host.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time for which a permit is valid without being renewed by another heartbeat.
const MIN_PERMIT_TTL: Duration = Duration::from_secs(3);
