//! The gate's state, shared by the threads of the agent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use model::{
    AttemptId, GateState, Incarnation, LoadSample, OverloadCause, ResultCode, VersionDigest,
};
use routing::{
    AdmissionGate, AdmissionRefusal, AdmissionRequest, CallKind, ConcurrencyLimit, LatencyTargets,
    LoadMeter, NamedLimit, OverloadTracker, OverloadTransition, RateGate, RequestRate, RevokeReply,
};
use serde_json::json;
use slog::{Logger, info, warn};
use wire::RevokeOutcome;

/// Protects admission control and its load measurements with one lock, so that each decision is atomic.
#[derive(Debug)]
pub(crate) struct SharedGate {
    inner: Mutex<GateInner>,
    bodies_refused: AtomicU64,
    log: Logger,
}

#[derive(Debug)]
struct GateInner {
    admission: AdmissionGate,
    limit: ConcurrencyLimit,
    meter: LoadMeter,
    overload: OverloadTracker,
    /// Limit that the back end names.
    rate: RateGate,
}

impl SharedGate {
    pub(crate) fn new(incarnation: Incarnation, max_in_flight: u32, log: Logger) -> Self {
        let targets = LatencyTargets::default();
        let min = max_in_flight.div_ceil(MIN_LIMIT_DIVISOR);
        let inner = GateInner {
            admission: AdmissionGate::new(incarnation, max_in_flight),
            limit: ConcurrencyLimit::new(targets, max_in_flight, min, max_in_flight),
            meter: LoadMeter::default(),
            overload: OverloadTracker::default(),
            rate: RateGate::default(),
        };
        Self {
            inner: Mutex::new(inner),
            bodies_refused: AtomicU64::new(0),
            log,
        }
    }

    /// Admits a request that may produce `tokens` tokens, and returns the version that serves it.
    pub(crate) fn admit(
        &self,
        request: &AdmissionRequest,
        tokens: u32,
    ) -> Result<Option<VersionDigest>, AdmissionRefusal> {
        let mut inner = self.lock();
        let admitted = inner.admit(request);
        match admitted {
            Ok(()) => {
                inner.meter.on_admitted(tokens);
                Ok(inner.admission.serving())
            }
            Err(refusal) => {
                if refusal.code == ResultCode::Overloaded {
                    self.record_overload_signal(&mut inner, OverloadCause::TargetsFull);
                }
                Err(refusal)
            }
        }
    }

    /// Records that a body was refused because others left too little memory.
    pub(crate) fn on_body_refused(&self) {
        self.bodies_refused.fetch_add(1, Ordering::Relaxed);
        self.record_overload_signal(&mut self.lock(), OverloadCause::TargetsFull);
    }

    /// Returns the number of bodies that were refused because others left too little memory.
    pub(crate) fn bodies_refused(&self) -> u64 {
        self.bodies_refused.load(Ordering::Relaxed)
    }

    /// Records what a response of the back end says about its limit. The request was sent at `sent_at`.
    pub(crate) fn record_limit(&self, named: NamedLimit, sent_at: Instant) {
        let mut inner = self.lock();
        if inner.rate.record_head(Instant::now(), named, sent_at) {
            let limit = inner.rate.limit().map(|it| it.to_string());
            info!(self.log, "limit of the back end changed"; "limit" => limit);
        }
    }

    /// Ends an admitted attempt; `tokens_remaining` of the tokens that it could produce were not produced.
    pub(crate) fn finish(&self, attempt: AttemptId, kind: CallKind, tokens_remaining: u32) {
        let mut inner = self.lock();
        inner.admission.finish(attempt, kind);
        inner.meter.on_tokens_released(tokens_remaining);
    }

    /// Records the response time of a service, for which no latency target exists.
    pub(crate) fn on_response(&self, latency: Duration) {
        self.lock().meter.on_first_token(Instant::now(), latency);
    }

    /// Records the time to the first token and adapts the concurrency limit.
    pub(crate) fn on_first_token(&self, latency: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        let in_flight = inner.admission.in_flight();
        inner.meter.on_first_token(now, latency);
        inner.limit.on_first_token(now, latency, in_flight);
        if latency > inner.limit.targets().first_token {
            self.record_overload_signal(&mut inner, OverloadCause::FirstTokenLate);
        }
        let limit = inner.limit.limit();
        inner.admission.set_limit(limit);
    }

    /// Records a token and the time since the previous one, and adapts the concurrency limit.
    pub(crate) fn on_token(&self, gap: Duration) {
        let now = Instant::now();
        let mut inner = self.lock();
        let in_flight = inner.admission.in_flight();
        inner.meter.on_tokens_released(1);
        inner.meter.on_token_gap(now, gap);
        inner.limit.on_token_gap(now, gap, in_flight);
        let limit = inner.limit.limit();
        inner.admission.set_limit(limit);
    }

    pub(crate) fn revoke(&self, attempt: AttemptId, incarnation: Incarnation) -> RevokeOutcome {
        let reply = self
            .lock()
            .admission
            .revoke(unix_time(), attempt, incarnation);
        match reply {
            RevokeReply::Revoked => RevokeOutcome::NotRun,
            RevokeReply::Running => RevokeOutcome::Running,
            RevokeReply::Finished => RevokeOutcome::Finished,
            RevokeReply::Unproven => RevokeOutcome::Unproven,
        }
    }

    /// Sets the state, which determines how new requests are handled, and the version that serves requests.
    pub(crate) fn set_state(&self, state: GateState, version: Option<VersionDigest>) {
        let mut inner = self.lock();
        let before = inner.admission.state();
        inner.admission.set_state(state, version);
        if before != state {
            // The control thread, which is the only caller, also ends the leaving state when a drain is cancelled.
            inner.admission.undrain(state);
            info!(self.log, "gate state changed"; "from" => ?before, "to" => ?state);
        }
    }

    pub(crate) fn state(&self) -> (GateState, Option<VersionDigest>) {
        let inner = self.lock();
        (inner.admission.state(), inner.admission.serving())
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().admission.in_flight()
    }

    pub(crate) fn load(&self) -> LoadSample {
        let now = Instant::now();
        let mut inner = self.lock();
        if let Some(transition) = inner.overload.on_tick(now) {
            self.log_transition(transition);
        }
        let overload = inner.overload.state(now);
        LoadSample {
            in_flight: inner.admission.in_flight(),
            limit: inner.admission.limit(),
            tokens_owed: inner.meter.tokens_owed(),
            first_token_ms: inner.meter.first_token(now).as_millis() as u32,
            token_gap_us: inner.meter.token_gap(now).as_micros() as u32,
            named_limit: inner.rate.limit().map(RequestRate::in_kilosecond),
            refused: inner.admission.refused() + inner.rate.refused(),
            overloaded_ms: overload.map(|it| now.duration_since(it.since).as_millis() as u64),
            overload_cause: overload.map(|it| it.cause),
        }
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let (state, version) = self.state();
        let (tracked_attempts, drained, limit) = {
            let inner = self.lock();
            (
                inner.admission.tracked_attempts(),
                inner.admission.is_drained(),
                inner.rate.limit().map(|it| it.to_string()),
            )
        };
        json!({
            "state": state,
            "version": version,
            "load": self.load(),
            "attempts_remembered": tracked_attempts,
            "drained": drained,
            "named_limit": limit,
        })
    }

    fn record_overload_signal(&self, inner: &mut GateInner, cause: OverloadCause) {
        if let Some(transition) = inner.overload.on_signal(Instant::now(), cause) {
            self.log_transition(transition);
        }
    }

    fn log_transition(&self, transition: OverloadTransition) {
        match transition {
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
            .expect("no thread panics while it holds the gate lock")
    }
}

impl GateInner {
    /// Admits a request if the limit that the back end names leaves room and the gate admits it otherwise.
    fn admit(&mut self, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        // The schedule is advanced only if the request is admitted.
        let mut rate = self.rate.clone();
        if !rate.try_admit(Instant::now()) {
            self.rate = rate;
            return Err(AdmissionRefusal {
                code: ResultCode::Overloaded,
                reason: "the target is at the limit that it names",
            });
        }
        self.admission.admit(unix_time(), request)?;
        self.rate = rate;
        Ok(())
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Divisor of the configured limit that gives the lower bound of the adaptive limit, so that a stall of the host cannot
/// reduce the target's capacity to nothing.
const MIN_LIMIT_DIVISOR: u32 = 4;
