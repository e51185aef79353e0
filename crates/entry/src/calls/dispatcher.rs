//! Chooses a target for a request and sends one attempt after another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use httpio::{ClientError, HttpClient, Request};
use model::{
    AttemptId, GateState, HostName, ResultCode, RunStatus, TargetKind, TargetRow, VersionDigest,
};
use rand::seq::IndexedRandom;
use settings::EntrySettings;
use slog::{Logger, info};
use wire::{RevokeOutcome, WireCounters, context};

use crate::calls::attempt_outcome::AttemptOutcome;
use crate::calls::call_context::CallContext;
use crate::control::{ControlSnapshot, SnapshotCell};

/// Sends attempts to the gates of targets.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    client: HttpClient,
    counters: WireCounters,
    log: Logger,
}

/// How a request may be attempted.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPlan {
    /// The target's kind.
    pub(crate) kind: TargetKind,
    /// The version that has to answer, where one does.
    pub(crate) version: Option<VersionDigest>,
    /// Id of the first attempt, where it was recorded beforehand.
    pub(crate) first: AttemptId,
    /// Whether an attempt of unknown outcome may be followed by another.
    pub(crate) idempotent: bool,
    /// Headers beside those that every attempt carries.
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Dispatcher {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        log: Logger,
    ) -> Self {
        let client = HttpClient::new(None, CONNECT_TIMEOUT);
        Self {
            settings,
            snapshots,
            client,
            counters: WireCounters::default(),
            log,
        }
    }

    /// Attempts a request until a target answers, no target is left or the outcome is unknown.
    pub(crate) async fn dispatch(&self, call: &CallContext, plan: &AttemptPlan) -> AttemptOutcome {
        let mut tried = BTreeSet::new();
        let mut last = ResultCode::NoTarget;
        let mut attempt = plan.first;
        for _ in 0..MAX_ATTEMPTS {
            if Instant::now() >= call.deadline {
                return AttemptOutcome::NotRun(ResultCode::DeadlineNotRun);
            }
            let Some(target) = choose(&self.snapshots.load(), plan, &tried) else {
                break;
            };
            tried.insert(target.host.clone());
            match self.attempt(call, plan, &target, attempt).await {
                AttemptOutcome::NotRun(code) => last = code,
                AttemptOutcome::Unknown(_) if plan.idempotent => last = ResultCode::TargetLost,
                outcome => return outcome,
            }
            attempt = AttemptId(rand::random());
        }
        match last.run_status() {
            RunStatus::NotRun => AttemptOutcome::NotRun(last),
            _ => AttemptOutcome::Unknown(last),
        }
    }

    async fn attempt(
        &self,
        call: &CallContext,
        plan: &AttemptPlan,
        target: &TargetRow,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let Ok(request) = build_request(call, plan, attempt) else {
            return AttemptOutcome::NotRun(ResultCode::BadRequest);
        };
        let left = call.deadline.saturating_duration_since(Instant::now());
        let reply = match tokio::time::timeout(left, self.client.send(target.gate, request)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(ClientError::NotSent(_))) => {
                return AttemptOutcome::NotRun(ResultCode::TargetRefused);
            }
            Ok(Err(ClientError::Lost(_))) => {
                return self.revoke(target, attempt, ResultCode::TargetLost).await;
            }
            Err(_) => {
                return self
                    .revoke(target, attempt, ResultCode::DeadlineUnknown)
                    .await;
            }
        };
        let (response, _sender, _address) = reply.into_parts();
        let code = response
            .headers()
            .get(model::RESULT_HEADER)
            .and_then(|it| it.to_str().ok());
        match code.and_then(ResultCode::from_header) {
            Some(ResultCode::Ok) => AttemptOutcome::Answer(response),
            Some(code) if code.run_status() == RunStatus::NotRun => AttemptOutcome::NotRun(code),
            Some(code) => AttemptOutcome::Unknown(code),
            None => AttemptOutcome::Unknown(ResultCode::TargetLost),
        }
    }

    /// Asks the gate to forget an attempt that may be on its way; only its word makes "not run" a fact.
    async fn revoke(
        &self,
        target: &TargetRow,
        attempt: AttemptId,
        unknown: ResultCode,
    ) -> AttemptOutcome {
        let secret = self.settings.shared_key.reveal();
        let revoke = async {
            let client = wire::connect_agent(target.control, None, secret, &self.counters)
                .await
                .ok()?;
            client.revoke(context::current(), attempt).await.ok()
        };
        let outcome = tokio::time::timeout(REVOKE_TIMEOUT, revoke)
            .await
            .ok()
            .flatten();
        info!(self.log, "attempt revoked"; "attempt" => %attempt, "target" => %target.host,
            "outcome" => ?outcome);
        match outcome {
            Some(RevokeOutcome::NotRun) => AttemptOutcome::NotRun(ResultCode::Revoked),
            _ => AttemptOutcome::Unknown(unknown),
        }
    }
}

fn build_request(
    call: &CallContext,
    plan: &AttemptPlan,
    attempt: AttemptId,
) -> anyhow::Result<Request<httpio::ReplyBody>> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(model::ATTEMPT_HEADER, attempt.to_string())
        .header(model::REQUEST_ID_HEADER, call.id.to_string())
        .header(model::ORGANISATION_HEADER, call.organisation.as_str())
        .header(model::PRIORITY_HEADER, u16::from(call.priority))
        .header(model::DEADLINE_HEADER, left.as_millis().to_string());
    if let Some(version) = plan.version {
        builder = builder.header(model::REQUIRE_VERSION_HEADER, version.to_string());
    }
    if let Some(content_type) = &call.content_type {
        builder = builder.header(httpio::header::CONTENT_TYPE, content_type);
    }
    for (name, value) in &plan.headers {
        builder = builder.header(*name, value.as_str());
    }
    Ok(builder.body(httpio::full(call.body.clone()))?)
}

/// Picks the less loaded of two random targets that take work.
fn choose(
    snapshot: &ControlSnapshot,
    plan: &AttemptPlan,
    tried: &BTreeSet<HostName>,
) -> Option<TargetRow> {
    let drains = snapshot.config.as_ref().map(|it| &it.drains);
    let open: Vec<_> = snapshot
        .targets
        .values()
        .map(|it| &it.row)
        .filter(|it| it.kind == plan.kind && it.state == GateState::Open)
        .filter(|it| !tried.contains(&it.host))
        .filter(|it| drains.is_none_or(|drains| !drains.contains(&it.host)))
        .filter(|it| plan.version.is_none() || it.serving == plan.version)
        .collect();
    let pair = open.sample(&mut rand::rng(), 2);
    pair.min_by_key(|it| it.load.in_flight)
        .map(|it| (*it).clone())
}

/// Attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// Time to connect to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a gate to answer a revocation.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(2);
