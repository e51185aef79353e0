//! Execution of orders with idempotency keys.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::{AttemptId, ResultCode, RunStatus};
use routing::{
    OrderAction, OrderEvent, OrderOutcome, OrderResponse, OrderRow, OrderStateMachine, RevokeReply,
};
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::RevokeOutcome;

use crate::calls::attempt_plan::{AttemptOutcome, AttemptPlan};
use crate::calls::call_context::CallContext;
use crate::calls::dispatcher::{self, Dispatcher};
use crate::calls::order_table::OrderTable;
use crate::calls::target_response::TargetResponse;
use crate::calls::target_slot::TargetSlot;

/// Executes the actions of an order's state machine; continues after the caller disconnects.
pub(crate) struct OrderDriver {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) table: OrderTable,
    pub(crate) call: CallContext,
    pub(crate) plan: AttemptPlan,
    pub(crate) state_machine: OrderStateMachine,
    /// Slot at the target named in the claim; `None` while an attempt is in flight.
    pub(crate) slot: Option<TargetSlot>,
}

type PendingAttempt = Pin<Box<dyn Future<Output = OrderEvent> + Send>>;

impl OrderDriver {
    /// Runs the state machine until it terminates, and sends the result for the caller to `answer_sender`.
    pub(crate) async fn run(mut self, answer_sender: oneshot::Sender<OrderResponse>) {
        let mut answer_sender = Some(answer_sender);
        let mut actions = VecDeque::from(self.state_machine.start());
        let mut pending: Option<PendingAttempt> = None;
        let mut deadline_passed = false;
        let mut table_failures = 0;
        loop {
            let event = match actions.pop_front() {
                Some(OrderAction::Respond(it)) => {
                    if let Some(sender) = answer_sender.take() {
                        let _ = sender.send(it);
                    }
                    continue;
                }
                Some(OrderAction::Stop) => return,
                Some(OrderAction::Dispatch) => {
                    pending = Some(self.start_attempt());
                    continue;
                }
                Some(action) => self.execute(action).await,
                None => {
                    let Some(attempt) = &mut pending else { return };
                    let event =
                        await_attempt(attempt, self.call.deadline.into(), deadline_passed).await;
                    deadline_passed |= event == OrderEvent::DeadlinePassed;
                    if event != OrderEvent::DeadlinePassed {
                        pending = None;
                    }
                    self.redirect(event).await
                }
            };
            if event == OrderEvent::TableUnavailable {
                // The state machine retries only the recording of the outcome, and responds to the caller before the first
                // retry.
                table_failures += 1;
                let backoff = TABLE_BACKOFF * table_failures.min(MAX_BACKOFF_STEPS);
                if answer_sender.is_none() {
                    tokio::time::sleep(backoff).await;
                }
            }
            actions.extend(self.state_machine.step(now_ms(), event));
        }
    }

    async fn execute(&self, action: OrderAction) -> OrderEvent {
        match action {
            OrderAction::Read => self.table.read().await,
            OrderAction::Write { expect, row } => self.table.write(expect, &row).await,
            OrderAction::Delete { expect } => self.table.delete(expect).await,
            OrderAction::Revoke(row) => {
                let outcome = self.dispatcher.revoke(&row.gate, row.attempt).await;
                outcome.map_or(OrderEvent::RevokeFailed, |it| {
                    OrderEvent::RevokeReplied(match it {
                        RevokeOutcome::NotRun => RevokeReply::Revoked,
                        RevokeOutcome::Running => RevokeReply::Running,
                        RevokeOutcome::Finished => RevokeReply::Finished,
                        RevokeOutcome::Unproven => RevokeReply::Unproven,
                    })
                })
            }
            OrderAction::Dispatch | OrderAction::Respond(_) | OrderAction::Stop => {
                unreachable!("handled by the loop in `run`")
            }
        }
    }

    fn start_attempt(&mut self) -> PendingAttempt {
        let Some(slot) = self.slot.take() else {
            return Box::pin(async { OrderEvent::Refused(ResultCode::NoTarget) });
        };
        let (dispatcher, plan) = (self.dispatcher.clone(), self.plan.clone());
        // The attempt may continue after the deadline, so that its outcome can be recorded; the state machine handles
        // the deadline itself.
        let call = CallContext {
            deadline: self.call.deadline + OUTCOME_GRACE,
            ..self.call.clone()
        };
        let attempt = self.state_machine.claim_row().attempt;
        Box::pin(async move { run_attempt(&dispatcher, &call, &plan, slot, attempt).await })
    }

    /// Redirects a refused order to another target if one has capacity.
    async fn redirect(&mut self, event: OrderEvent) -> OrderEvent {
        let OrderEvent::Refused(code) = event else {
            return event;
        };
        if code == ResultCode::Revoked || code.run_status() != RunStatus::NotRun {
            return event;
        }
        let slot_request = self.dispatcher.slot_request(&self.call, &self.plan);
        let Some(slot) = self.dispatcher.scheduler.try_acquire(&slot_request) else {
            return event;
        };
        let row = OrderRow {
            attempt: dispatcher::new_attempt_id(),
            gate: dispatcher::order_gate(&slot.row),
            ..self.state_machine.claim_row().clone()
        };
        self.slot = Some(slot);
        OrderEvent::Redirected(row)
    }
}

async fn await_attempt(
    attempt: &mut PendingAttempt,
    deadline: Instant,
    deadline_passed: bool,
) -> OrderEvent {
    let until = match deadline_passed {
        false => deadline,
        true => deadline + OUTCOME_GRACE,
    };
    match tokio::time::timeout_at(until, attempt).await {
        Ok(event) => event,
        Err(_) if deadline_passed => OrderEvent::ConnectionLost,
        Err(_) => OrderEvent::DeadlinePassed,
    }
}

async fn run_attempt(
    dispatcher: &Dispatcher,
    call: &CallContext,
    plan: &AttemptPlan,
    slot: TargetSlot,
    attempt: AttemptId,
) -> OrderEvent {
    let row = slot.row.clone();
    let outcome = match dispatcher.send_attempt(call, plan, slot, attempt).await {
        AttemptOutcome::Response(response) => read_outcome(*response, call).await.ok(),
        AttemptOutcome::NotRun(code) => return OrderEvent::Refused(code),
        AttemptOutcome::Unknown => None,
    };
    match outcome {
        Some(outcome) => {
            let guard = &dispatcher.guard;
            guard.record_survival(&plan.parts, Instant::now().into_std());
            OrderEvent::Responded(outcome)
        }
        None => {
            dispatcher.guard.record_lost(&row, &plan.parts);
            OrderEvent::ConnectionLost
        }
    }
}

async fn read_outcome(
    response: TargetResponse,
    call: &CallContext,
) -> std::io::Result<OrderOutcome> {
    let response = response
        .read(MAX_OUTCOME_BYTES, call.deadline.into())
        .await?;
    let content_type = response.headers().get(httpio::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|it| it.to_str().ok())
        .map(str::to_string);
    let (body, is_hex) = match std::str::from_utf8(response.body()) {
        Ok(text) => (text.to_string(), false),
        Err(_) => (to_hex(response.body()), true),
    };
    Ok(OrderOutcome {
        status: response.status().as_u16(),
        content_type,
        body,
        is_hex,
    })
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Time after the deadline during which the driver still waits for the outcome, in order to record it.
const OUTCOME_GRACE: Duration = Duration::from_secs(60);

/// Backoff step after a failure to record the outcome; the backoff grows linearly with the number of failures.
const TABLE_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff, in steps of [`TABLE_BACKOFF`].
const MAX_BACKOFF_STEPS: u32 = 25;

/// Maximum size of an order's response, which is stored in the table.
const MAX_OUTCOME_BYTES: usize = 64 << 10;
