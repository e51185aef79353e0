//! Decides the state of an agent's gate and when its engine has to load a version.

use std::time::{Duration, Instant};

use model::{FencingNumber, GateState, SwitchPermit, VersionDigest};

/// The status that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStatus {
    /// The engine does not respond.
    Unreachable,
    /// The engine neither serves nor loads a version.
    Idle,
    /// The engine loads a version and serves none.
    Loading,
    /// The engine serves a version and may load another one at the same time.
    Serving {
        /// The version that serves requests.
        version: VersionDigest,
        /// Whether another version is being loaded at the same time.
        loading: bool,
    },
}

/// The inputs of [`EngineSwitch::step`].
#[derive(Clone, Copy, Debug)]
pub struct SwitchInput {
    /// The status that the engine reports.
    pub engine: EngineStatus,
    /// The version that the configuration requires.
    pub wanted: Option<VersionDigest>,
    /// The version whose chunks are all present and verified.
    pub complete: Option<VersionDigest>,
    /// Number of admitted requests that have not finished.
    pub in_flight: u32,
    /// Whether the host is stopping or drained.
    pub leaving: bool,
}

/// The result of [`EngineSwitch::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwitchStep {
    /// The state of the gate, which determines whether it admits new requests.
    pub gate: GateState,
    /// The version that serves requests.
    pub serving: Option<VersionDigest>,
    /// The load to start, if any.
    pub load: Option<LoadCommand>,
}

/// A command to the engine to load a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadCommand {
    /// The version to load.
    pub version: VersionDigest,
    /// The fencing number of the rollout driver that granted the permit.
    pub fencing: FencingNumber,
    /// Whether the old version keeps serving until the new one is loaded.
    pub beside: bool,
}

/// State machine that switches one engine to the wanted version while it holds a valid permit.
///
/// An engine may ignore fencing numbers, so the agent itself must not act on a stale permit. A permit
/// expires unless it is renewed within its time to live, which also covers a process that was paused
/// in between. See `docs/decisions/0011-engine-switch.md`.
#[derive(Clone, Debug)]
pub struct EngineSwitch {
    loads_beside: bool,
    permit_ttl: Duration,
    permit: Option<(SwitchPermit, Instant)>,
    fencing: FencingNumber,
    last_load: Option<(VersionDigest, Instant)>,
}

impl EngineSwitch {
    /// Creates the state machine. `loads_beside` is whether the engine can load a version while it
    /// serves another one; a permit is valid for `permit_ttl` after its last renewal.
    pub fn new(loads_beside: bool, permit_ttl: Duration) -> Self {
        Self {
            loads_beside,
            permit_ttl,
            permit: None,
            fencing: FencingNumber::default(),
            last_load: None,
        }
    }

    /// Returns the highest fencing number seen.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Stores or renews a permit. Returns `false` and ignores it if its fencing number is outdated.
    pub fn accept_permit(&mut self, permit: SwitchPermit, now: Instant) -> bool {
        if !self.observe_fencing(permit.fencing) {
            return false;
        }
        self.permit = Some((permit, now));
        true
    }

    /// Records a fencing number that the engine reports or that a permit carries, and discards the
    /// permit if the number is higher than before. The number that the engine reports survives a
    /// restart of the agent.
    ///
    /// Returns `false` if `fencing` is lower than the highest number seen.
    pub fn observe_fencing(&mut self, fencing: FencingNumber) -> bool {
        if fencing < self.fencing {
            return false;
        }
        if fencing > self.fencing {
            self.fencing = fencing;
            self.permit = None;
        }
        true
    }

    /// Discards the permit after the engine has rejected its fencing number.
    pub fn drop_permit(&mut self) {
        self.permit = None;
    }

    /// Computes the state of the gate and the load to start at `now`.
    pub fn step(&mut self, now: Instant, input: &SwitchInput) -> SwitchStep {
        let (serving, loading) = match input.engine {
            EngineStatus::Serving { version, loading } => (Some(version), loading),
            EngineStatus::Loading => (None, true),
            EngineStatus::Idle | EngineStatus::Unreachable => (None, false),
        };
        let gate = match (input.leaving, serving) {
            (true, _) => GateState::Leaving,
            (false, Some(_)) => GateState::Open,
            (false, None) => GateState::Starting,
        };
        let without_load = SwitchStep {
            gate,
            serving,
            load: None,
        };
        if input.wanted.is_some() && serving == input.wanted {
            self.permit = None;
        }
        let Some(permit) = self.valid_permit(now, input) else {
            return without_load;
        };
        let beside = self.loads_beside && serving.is_some();
        if beside && loading {
            return without_load;
        }
        let retry_pending = self.last_load.is_some_and(|(version, started)| {
            version == permit.version && now.saturating_duration_since(started) < LOAD_RETRY_DELAY
        });
        let command = LoadCommand {
            version: permit.version,
            fencing: permit.fencing,
            beside,
        };
        if beside {
            return SwitchStep {
                load: self.record_load(now, (!retry_pending).then_some(command)),
                ..without_load
            };
        }
        let may_load = input.in_flight == 0 && !loading && !retry_pending;
        SwitchStep {
            gate: GateState::Switching,
            serving,
            load: self.record_load(now, may_load.then_some(command)),
        }
    }

    fn record_load(&mut self, now: Instant, command: Option<LoadCommand>) -> Option<LoadCommand> {
        if let Some(command) = command {
            self.last_load = Some((command.version, now));
        }
        command
    }

    fn valid_permit(&mut self, now: Instant, input: &SwitchInput) -> Option<SwitchPermit> {
        if input.leaving || input.engine == EngineStatus::Unreachable {
            return None;
        }
        let (permit, renewed) = self.permit.as_ref()?;
        if now.saturating_duration_since(*renewed) > self.permit_ttl {
            self.permit = None;
            return None;
        }
        let is_applicable = Some(permit.version) == input.wanted && input.complete == input.wanted;
        is_applicable.then(|| permit.clone())
    }
}

/// Delay before a load is retried that failed or that the engine lost, for example in a restart.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(1);
