//! Decides what an agent's gate shows and when its engine is told to load a version.

use std::time::{Duration, Instant};

use model::{FencingNumber, GateState, SwitchPermit, VersionDigest};

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStatus {
    /// It does not answer.
    Unreachable,
    /// It serves nothing and loads nothing.
    Idle,
    /// It loads a version and serves nothing.
    Loading,
    /// It serves a version, and may load another beside it.
    Serving {
        /// The version that answers are computed from.
        version: VersionDigest,
        /// Whether another version is being loaded beside it.
        loading: bool,
    },
}

/// What is known at one step.
#[derive(Clone, Copy, Debug)]
pub struct SwitchInput {
    /// The engine's own report.
    pub engine: EngineStatus,
    /// The version that the configuration asks for.
    pub wanted: Option<VersionDigest>,
    /// The version whose chunks are all present and verified.
    pub complete: Option<VersionDigest>,
    /// Requests admitted and not finished.
    pub in_flight: u32,
    /// Whether the host is stopping or drained.
    pub leaving: bool,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwitchStep {
    /// What the gate does with new work.
    pub gate: GateState,
    /// The version that answers are computed from.
    pub serving: Option<VersionDigest>,
    /// The load to order.
    pub load: Option<LoadCommand>,
}

/// A load to order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadCommand {
    /// The version to load.
    pub version: VersionDigest,
    /// The number of the rollout driver that permitted it.
    pub fencing: FencingNumber,
    /// Whether the old version serves until the new one is ready.
    pub beside: bool,
}

/// Holds the permit of a host and takes it for lost when nobody confirmed it lately.
///
/// An engine may ignore fencing numbers, so the agent itself must not act on an old permit: one that was not confirmed
/// within the permit time is dropped, also when the process was paused in between. See
/// `docs/decisions/0011-engine-switch.md`.
#[derive(Clone, Debug)]
pub struct EngineSwitch {
    loads_beside: bool,
    permit_time: Duration,
    permit: Option<(SwitchPermit, Instant)>,
    fencing: FencingNumber,
    ordered: Option<(VersionDigest, Instant)>,
}

impl EngineSwitch {
    /// Creates the switch of an engine that can or cannot load beside; permits hold for `permit_time`.
    pub fn new(loads_beside: bool, permit_time: Duration) -> Self {
        Self {
            loads_beside,
            permit_time,
            permit: None,
            fencing: FencingNumber::default(),
            ordered: None,
        }
    }

    /// Returns the highest fencing number seen.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Takes a permit and returns whether it is from the newest driver.
    pub fn accept_permit(&mut self, permit: SwitchPermit, now: Instant) -> bool {
        if !self.observe_fencing(permit.fencing) {
            return false;
        }
        self.permit = Some((permit, now));
        true
    }

    /// Takes a fencing number that the engine has seen, which survives a restart of the agent.
    ///
    /// Returns whether `fencing` is not lower than one seen before.
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

    /// Forgets the permit, because the engine refused its number.
    pub fn drop_permit(&mut self) {
        self.permit = None;
    }

    /// Decides what to do at `now`.
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
        let stay = SwitchStep {
            gate,
            serving,
            load: None,
        };
        if input.wanted.is_some() && serving == input.wanted {
            self.permit = None;
        }
        let Some(permit) = self.valid_permit(now, input) else {
            return stay;
        };
        let beside = self.loads_beside && serving.is_some();
        if beside && loading {
            return stay;
        }
        let waits = self.ordered.is_some_and(|(version, at)| {
            version == permit.version && now.saturating_duration_since(at) < ORDER_RETRY
        });
        let order = LoadCommand {
            version: permit.version,
            fencing: permit.fencing,
            beside,
        };
        if beside {
            return SwitchStep {
                load: self.note_order(now, (!waits).then_some(order)),
                ..stay
            };
        }
        let may_load = input.in_flight == 0 && !loading && !waits;
        SwitchStep {
            gate: GateState::Switching,
            serving,
            load: self.note_order(now, may_load.then_some(order)),
        }
    }

    fn note_order(&mut self, now: Instant, order: Option<LoadCommand>) -> Option<LoadCommand> {
        if let Some(order) = order {
            self.ordered = Some((order.version, now));
        }
        order
    }

    fn valid_permit(&mut self, now: Instant, input: &SwitchInput) -> Option<SwitchPermit> {
        if input.leaving || input.engine == EngineStatus::Unreachable {
            return None;
        }
        let (permit, confirmed) = self.permit.as_ref()?;
        if now.saturating_duration_since(*confirmed) > self.permit_time {
            self.permit = None;
            return None;
        }
        let fits = Some(permit.version) == input.wanted && input.complete == input.wanted;
        fits.then(|| permit.clone())
    }
}

/// Pause before a load that failed, or that the engine forgot, is ordered again.
const ORDER_RETRY: Duration = Duration::from_secs(1);
