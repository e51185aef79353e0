//! Attempts of one request, until one of them has a response.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use model::{AttemptId, ResultCode, TargetRow};
use routing::{AttemptRace, CallKind, RaceAction};
use slog::info;

use crate::calls::attempt_plan::{AttemptOutcome, AttemptPlan};
use crate::calls::call_context::CallContext;
use crate::calls::call_error::CallError;
use crate::calls::dispatcher::{self, Dispatcher};
use crate::calls::slot_scheduler::Arrival;
use crate::calls::target_response::TargetResponse;
use crate::calls::target_slot::TargetSlot;

/// Executes the decisions of an [`AttemptRace`]. Dropping it cancels all attempts and releases their slots.
pub(crate) struct DispatchRace<'a> {
    dispatcher: &'a Dispatcher,
    call: &'a CallContext,
    plan: &'a AttemptPlan,
    race: AttemptRace,
    running: BTreeMap<AttemptId, TargetRow>,
    steps: FuturesUnordered<BoxFuture<'a, RaceEvent>>,
}

/// Result of a step, or silence while all steps are in progress.
#[derive(Debug)]
enum RaceEvent {
    Slot(Result<Box<TargetSlot>, CallError>),
    Outcome(AttemptId, AttemptOutcome),
    Silence,
}

impl<'a> DispatchRace<'a> {
    pub(crate) fn new(
        dispatcher: &'a Dispatcher,
        call: &'a CallContext,
        plan: &'a AttemptPlan,
    ) -> Self {
        Self {
            dispatcher,
            call,
            plan,
            race: AttemptRace::new(plan.kind),
            running: BTreeMap::new(),
            steps: FuturesUnordered::new(),
        }
    }

    /// Runs attempts until one has a response or the request fails.
    pub(crate) async fn run(mut self) -> Result<TargetResponse, CallError> {
        self.acquire_slot(Arrival::New);
        loop {
            let action = match self.next_event().await {
                RaceEvent::Slot(Ok(slot)) => self.start_attempt(*slot),
                RaceEvent::Slot(Err(error)) => self.race.on_no_slot().ok_or(error)?,
                RaceEvent::Outcome(_, AttemptOutcome::Response(response)) => return Ok(*response),
                RaceEvent::Outcome(attempt, AttemptOutcome::NotRun(code)) => {
                    self.running.remove(&attempt);
                    self.race.on_refused(code)
                }
                RaceEvent::Outcome(attempt, AttemptOutcome::Unknown) => self.on_lost(attempt).await,
                RaceEvent::Silence => self.on_silence(),
            };
            match action {
                RaceAction::Wait => {}
                RaceAction::Acquire => self.acquire_slot(Arrival::Retry),
                RaceAction::Fail(code) => {
                    if code == ResultCode::Overloaded {
                        self.dispatcher.scheduler.on_overload();
                    }
                    return Err(dispatcher::error_from_code(code));
                }
            }
        }
    }

    async fn next_event(&mut self) -> RaceEvent {
        let silence_timeout = self.silence_timeout();
        tokio::select! {
            Some(it) = self.steps.next() => it,
            () = tokio::time::sleep(silence_timeout) => RaceEvent::Silence,
        }
    }

    fn acquire_slot(&mut self, arrival: Arrival) {
        let slot_request = self
            .dispatcher
            .slot_request(self.call, &self.plan_beside_running());
        let scheduler = &self.dispatcher.scheduler;
        self.steps.push(Box::pin(async move {
            let slot = scheduler.acquire(slot_request, arrival).await;
            RaceEvent::Slot(slot.map(Box::new))
        }));
    }

    fn start_attempt(&mut self, slot: TargetSlot) -> RaceAction {
        let attempt = dispatcher::new_attempt_id();
        self.running.insert(attempt, slot.row.clone());
        self.race.on_started();
        let (dispatcher, call, plan) = (self.dispatcher, self.call, self.plan);
        self.steps.push(Box::pin(async move {
            let outcome = dispatcher.send_attempt(call, plan, slot, attempt).await;
            RaceEvent::Outcome(attempt, outcome)
        }));
        RaceAction::Wait
    }

    async fn on_lost(&mut self, attempt: AttemptId) -> RaceAction {
        let row = self.running.remove(&attempt);
        let (scheduler, guard) = (&self.dispatcher.scheduler, &self.dispatcher.guard);
        let may_retry = match &row {
            Some(row) => guard.may_retry_lost(row, &self.plan.parts).await,
            None => true,
        };
        let in_time = Instant::now() < self.call.deadline;
        let action = self
            .race
            .on_lost(in_time, || may_retry && scheduler.try_acquire_retry());
        if let Some(action) = action {
            return action;
        }
        if self.plan.kind != CallKind::Order {
            info!(self.dispatcher.log, "lost attempt not repeated"; "request_id" => %self.call.id,
                "attempt" => %attempt, "in_time" => in_time, "suspected_crash" => !may_retry,
                "available_retries" => scheduler.available_retries());
        }
        let code = match row {
            Some(row) => {
                let gate = dispatcher::order_gate(&row);
                self.dispatcher
                    .resolve_lost_attempt(self.call, &gate, attempt)
                    .await
            }
            None => ResultCode::TargetLost,
        };
        self.race.on_resolved(code, in_time)
    }

    fn on_silence(&mut self) -> RaceAction {
        if self.plan.kind == CallKind::Order {
            return RaceAction::Wait;
        }
        let scheduler = &self.dispatcher.scheduler;
        let hosts = self.running.values().map(|it| &it.host);
        hosts.for_each(|it| scheduler.on_failure(it));
        let slot_request = self
            .dispatcher
            .slot_request(self.call, &self.plan_beside_running());
        self.race.on_silence(
            || scheduler.has_target(&slot_request),
            || scheduler.try_acquire_retry(),
        )
    }

    /// Returns the plan of an attempt that avoids the targets of the running ones.
    fn plan_beside_running(&self) -> AttemptPlan {
        let hosts = self.running.values().map(|it| it.host.clone());
        let mut plan = self.plan.clone();
        plan.running_hosts.extend(hosts);
        plan
    }

    /// Returns the time without an event after which another attempt may start. Tokens that are generated before the
    /// response begins take their time without being a sign of trouble.
    fn silence_timeout(&self) -> Duration {
        let gaps = self.running.values().map(|it| it.load.token_gap_us);
        let gap = Duration::from_micros(gaps.max().unwrap_or_default().into());
        let timeout = match self.plan.kind {
            CallKind::Completion => COMPLETION_SILENCE_TIMEOUT,
            CallKind::Lookup | CallKind::Order => LOOKUP_SILENCE_TIMEOUT,
        };
        timeout + gap.saturating_mul(self.plan.tokens_before_response)
    }
}

/// Time without response headers of a completion after which another attempt may start.
const COMPLETION_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without response headers of a lookup after which another attempt may start.
const LOOKUP_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
