//! The gate as the threads of an agent share it.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use model::{
    AttemptId, GateState, Incarnation, LoadSample, OverloadCause, ResultCode, VersionDigest,
};
use routing::{
    AdmissionGate, AdmissionRefusal, AdmissionRequest, CallKind, ConcurrencyLimit, LatencyTargets,
    LoadMeter, OverloadTracker, OverloadTransition, RevokeReply,
};
use serde_json::json;
use slog::{Logger, info, warn};
use wire::RevokeOutcome;

/// Puts one lock around the gate's book and what is measured at it, so that each decision is atomic.
#[derive(Debug)]
pub(crate) struct GateShared {
    inner: Mutex<GateInner>,
    log: Logger,
}

#[derive(Debug)]
struct GateInner {
    book: AdmissionGate,
    limit: ConcurrencyLimit,
    meter: LoadMeter,
    overload: OverloadTracker,
}

impl GateShared {
    pub(crate) fn new(incarnation: Incarnation, max_in_flight: u32, log: Logger) -> Self {
        let targets = LatencyTargets::default();
        let min = max_in_flight.div_ceil(MIN_LIMIT_DIVISOR);
        let inner = GateInner {
            book: AdmissionGate::new(incarnation, max_in_flight),
            limit: ConcurrencyLimit::new(targets, max_in_flight, min, max_in_flight),
            meter: LoadMeter::default(),
            overload: OverloadTracker::default(),
        };
        Self {
            inner: Mutex::new(inner),
            log,
        }
    }

    /// Admits a request that may produce `tokens`, and returns the version that answers are computed from.
    pub(crate) fn admit(
        &self,
        request: &AdmissionRequest,
        tokens: u32,
    ) -> Result<Option<VersionDigest>, AdmissionRefusal> {
        let mut inner = self.lock();
        let admitted = inner.book.admit(since_epoch(), request);
        match admitted {
            Ok(()) => {
                inner.meter.on_admitted(tokens);
                Ok(inner.book.serving())
            }
            Err(refusal) => {
                if refusal.code == ResultCode::Overloaded {
                    self.note_sign(&mut inner, OverloadCause::TargetsFull);
                }
                Err(refusal)
            }
        }
    }

    /// Ends an admitted attempt that leaves `tokens_left` unproduced.
    pub(crate) fn end(&self, attempt: AttemptId, kind: CallKind, tokens_left: u32) {
        let mut inner = self.lock();
        inner.book.finish(attempt, kind);
        inner.meter.on_tokens_released(tokens_left);
    }

    /// Takes in the time to the answer of a service, for which there is no target.
    pub(crate) fn on_answer(&self, latency: Duration) {
        self.lock().meter.on_first_token(Instant::now(), latency);
    }

    /// Takes in the time to a first token.
    pub(crate) fn on_first_token(&self, latency: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        let in_flight = inner.book.in_flight();
        inner.meter.on_first_token(now, latency);
        inner.limit.on_first_token(now, latency, in_flight);
        if latency > inner.limit.targets().first_token {
            self.note_sign(&mut inner, OverloadCause::FirstTokenLate);
        }
        let limit = inner.limit.limit();
        inner.book.set_limit(limit);
    }

    /// Takes in a token and the time since the one before.
    pub(crate) fn on_token(&self, gap: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        let in_flight = inner.book.in_flight();
        inner.meter.on_tokens_released(1);
        inner.meter.on_token_gap(now, gap);
        inner.limit.on_token_gap(now, gap, in_flight);
        let limit = inner.limit.limit();
        inner.book.set_limit(limit);
    }

    pub(crate) fn revoke(&self, attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome {
        let reply = self.lock().book.revoke(since_epoch(), attempt, incarnation);
        match reply {
            RevokeReply::Revoked => RevokeOutcome::NotRun,
            RevokeReply::Running => RevokeOutcome::Running,
            RevokeReply::Finished => RevokeOutcome::Ended,
            RevokeReply::Unproven => RevokeOutcome::Unproven,
        }
    }

    /// Sets what the gate does with new work and the version that answers are computed from.
    pub(crate) fn set_state(&self, state: GateState, version: Option<VersionDigest>) {
        let mut inner = self.lock();
        let before = inner.book.state();
        inner.book.set_state(state, version);
        if before != state {
            // The control thread alone decides on leaving, and may take it back when a drain is undone.
            inner.book.undrain(state);
            info!(self.log, "gate changed"; "from" => ?before, "to" => ?state);
        }
    }

    pub(crate) fn state(&self) -> (GateState, Option<VersionDigest>) {
        let inner = self.lock();
        (inner.book.state(), inner.book.serving())
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().book.in_flight()
    }

    pub(crate) fn load(&self) -> LoadSample {
        let now = Instant::now();
        let mut inner = self.lock();
        if let Some(change) = inner.overload.on_tick(now) {
            self.tell(change);
        }
        let overload = inner.overload.state(now);
        LoadSample {
            in_flight: inner.book.in_flight(),
            limit: inner.book.limit(),
            tokens_owed: inner.meter.tokens_owed(),
            first_token_ms: inner.meter.first_token(now).as_millis() as u32,
            token_gap_us: inner.meter.token_gap(now).as_micros() as u32,
            refused: inner.book.refused(),
            overloaded_ms: overload.map(|it| now.duration_since(it.since).as_millis() as u64),
            overload_cause: overload.map(|it| it.cause),
        }
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let (state, version) = self.state();
        let (remembered, drained) = {
            let inner = self.lock();
            (inner.book.tracked_attempts(), inner.book.is_drained())
        };
        json!({
            "state": state,
            "version": version,
            "load": self.load(),
            "attempts_remembered": remembered,
            "drained": drained,
        })
    }

    fn note_sign(&self, inner: &mut GateInner, cause: OverloadCause) {
        if let Some(change) = inner.overload.on_signal(Instant::now(), cause) {
            self.tell(change);
        }
    }

    fn tell(&self, change: OverloadTransition) {
        match change {
            OverloadTransition::Started(cause) => {
                warn!(self.log, "overloaded"; "cause" => cause.name());
            }
            OverloadTransition::Ended(time) => {
                info!(self.log, "overload ended"; "lasted_ms" => time.as_millis() as u64);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateInner> {
        self.inner
            .lock()
            .expect("no holder of the gate's lock panics")
    }
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The adaptive limit stays above this part of the setting, so that a stall of the host cannot close the target.
const MIN_LIMIT_DIVISOR: u32 = 4;
