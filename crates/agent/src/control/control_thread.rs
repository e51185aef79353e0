//! The one thread that owns an agent's control state.

use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use model::{FencingNumber, FleetConfig, GateState, SwitchPermit, WeightManifest};
use platform::{EngineClient, EnginePhase, EngineState, LoadOrder, OrderError};
use settings::{AgentSettings, TargetSettings};
use slog::{Logger, error, info, warn};

use crate::control::agent_view::AgentView;
use crate::control::control_event::ControlEvent;
use crate::gate::GateShared;
use crate::transfer::ChunkStore;

/// Applies configuration, gives the engine its orders and sets the gate.
#[derive(Debug)]
pub(crate) struct ControlThread {
    events: Sender<ControlEvent>,
}

struct ControlState {
    settings: Arc<AgentSettings>,
    gate: Arc<GateShared>,
    store: Arc<ChunkStore>,
    view: Arc<AgentView>,
    engine: Option<EngineClient>,
    config: FleetConfig,
    permit: Option<SwitchPermit>,
    fencing: FencingNumber,
    stopping: bool,
    engine_error: Option<String>,
    log: Logger,
}

impl ControlThread {
    pub(crate) fn start(
        settings: &Arc<AgentSettings>,
        gate: Arc<GateShared>,
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
        let state = ControlState {
            settings: settings.clone(),
            gate,
            store,
            view,
            engine,
            config: FleetConfig::default(),
            permit: None,
            fencing: FencingNumber::default(),
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
    loop {
        match events.recv_timeout(STEP) {
            Ok(event) => state.take(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        state.step();
        state.view.publish(
            state.config.revision,
            state.fencing,
            state.engine_error.clone(),
        );
    }
}

impl ControlState {
    fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Config(config) if config.revision > self.config.revision => {
                info!(self.log, "configuration in force"; "revision" => %config.revision);
                self.config = *config;
            }
            ControlEvent::Config(_) => {}
            ControlEvent::Permit(permit) if permit.fencing >= self.fencing => {
                self.fencing = permit.fencing;
                self.permit = Some(permit);
            }
            ControlEvent::Permit(permit) => {
                warn!(self.log, "permit is fenced"; "fencing" => %permit.fencing, "seen" => %self.fencing);
            }
            ControlEvent::Stop => self.stopping = true,
        }
    }

    fn step(&mut self) {
        let leaving = self.stopping || self.config.drains.contains(&self.settings.host.name);
        if leaving {
            let (_, version) = self.gate.state();
            self.gate.set_state(GateState::Leaving, version);
            return;
        }
        let TargetSettings::Model { model, .. } = &self.settings.target else {
            self.gate.set_state(GateState::Open, None);
            return;
        };
        let wanted = self.config.models.get(model).map(|it| it.manifest.clone());
        if let Some(manifest) = &wanted
            && !self.store.aim(manifest)
        {
            error!(self.log, "version does not fit into memory"; "bytes" => manifest.total_bytes);
        }
        self.serve_version(wanted.as_ref());
    }

    fn serve_version(&mut self, wanted: Option<&WeightManifest>) {
        let Some(engine) = &self.engine else { return };
        let state = match engine.state() {
            Ok(state) => state,
            Err(err) => {
                self.engine_error = Some(err.to_string());
                self.gate.set_state(GateState::Starting, None);
                return;
            }
        };
        self.engine_error.clone_from(&state.error);
        let serving = (state.state == EnginePhase::Serving)
            .then_some(state.version)
            .flatten();
        let wanted_version = wanted.map(WeightManifest::version);
        if serving.is_some() && (serving == wanted_version || wanted.is_none()) {
            self.permit = None;
            self.gate.set_state(GateState::Open, serving);
            return;
        }
        let permitted = self
            .permit
            .as_ref()
            .is_some_and(|it| Some(it.version) == wanted_version);
        let complete = self
            .store
            .state()
            .is_some_and(|it| Some(it.version) == wanted_version && it.is_complete());
        if !permitted || !complete {
            let gate = if serving.is_some() {
                GateState::Open
            } else {
                GateState::Starting
            };
            self.gate.set_state(gate, serving);
            return;
        }
        self.gate.set_state(GateState::Switching, serving);
        if let Some(manifest) = wanted {
            self.switch(manifest, &state);
        }
    }

    /// Orders the load once the replica is drained; the gate opens on the engine's own report only.
    fn switch(&mut self, manifest: &WeightManifest, state: &EngineState) {
        let loading = state.state == EnginePhase::Loading;
        if self.gate.in_flight() > 0 || loading {
            return;
        }
        let version = manifest.version();
        if !self.store.verify_whole(version) {
            error!(self.log, "version does not match its digest"; "version" => %version);
            return;
        }
        let Some(engine) = &self.engine else { return };
        let order = LoadOrder {
            manifest,
            weights_url: format!("http://{}/weights/{version}", self.settings.listen.peers),
            fencing: self.fencing,
            beside: false,
        };
        match engine.load(&order) {
            Ok(()) => {
                info!(self.log, "load ordered"; "version" => %version, "fencing" => %self.fencing);
            }
            Err(OrderError::Fenced) => {
                warn!(self.log, "engine refused an old fencing number"; "fencing" => %self.fencing);
                self.permit = None;
            }
            Err(err) => self.engine_error = Some(err.to_string()),
        }
    }
}

/// Pause between looks at the engine.
const STEP: Duration = Duration::from_millis(100);

/// Time for one call to the engine on this host.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
