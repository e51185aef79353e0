//! At-most-once execution of an order with an idempotency key.

use model::ResultCode;

use crate::admission_gate::RevokeReply;
use crate::order_event::{OrderAction, OrderEvent, OrderResponse};
use crate::order_row::{OrderOutcome, OrderRow, OrderState};

/// State machine for one call of an order, from the claim to the recorded outcome.
///
/// The claim is stored before the request is sent and names the only gate that the attempt may be sent to. A later
/// call that finds the claim requests revocation from that gate: a successful revocation proves that the order has not
/// run, even if the claim's owner has crashed. Without that proof the order is never run again. See
/// `docs/decisions/0020-requests.md`.
#[derive(Clone, Debug)]
pub struct OrderStateMachine {
    claim_row: OrderRow,
    state: State,
    claim_writes: u32,
    record_failures: u32,
    responded: bool,
}

#[derive(Clone, Debug)]
enum State {
    /// Writing the claim.
    Claiming,
    /// Reading the row after an unconfirmed claim write or a conflict with another call.
    Reading,
    /// Waiting for the revocation of another call's attempt.
    RevokingOther { row: OrderRow, version: u64 },
    /// The request was sent to the gate.
    Dispatched { version: u64 },
    /// Waiting for the revocation of this call's attempt; with `is_lost`, no response can arrive any more.
    RevokingOwn { version: u64, is_lost: bool },
    /// Reading the row after another call revoked this call's attempt.
    ReadingAfterRevocation,
    /// Deleting the claim because the order has not run.
    Releasing { code: ResultCode },
    /// Writing the outcome.
    Recording { row: OrderRow, version: u64 },
    /// Reading the row because it is unknown whether the outcome was written.
    Rereading { row: OrderRow },
    /// Terminated.
    Stopped,
}

impl OrderStateMachine {
    /// Creates the state machine of a call that claims its key by writing `claim_row`.
    pub fn new(claim_row: OrderRow) -> Self {
        Self {
            claim_row,
            state: State::Claiming,
            claim_writes: 0,
            record_failures: 0,
            responded: false,
        }
    }

    /// Returns the row that this call writes as its claim.
    pub fn claim_row(&self) -> &OrderRow {
        &self.claim_row
    }

    /// Returns the first action.
    pub fn start(&mut self) -> Vec<OrderAction> {
        self.claim(None)
    }

    /// Processes an event at `now_ms` milliseconds since the Unix epoch and returns the actions to execute.
    ///
    /// Events that are not expected in the current state, such as a second response, are ignored.
    pub fn step(&mut self, now_ms: u64, event: OrderEvent) -> Vec<OrderAction> {
        let state = std::mem::replace(&mut self.state, State::Stopped);
        let actions = match state {
            State::Claiming => self.on_claim(event),
            State::Reading => self.on_read(now_ms, event),
            State::RevokingOther { row, version } => self.on_other_revoked(row, version, event),
            State::Dispatched { version } => self.on_dispatched(version, event),
            State::RevokingOwn { version, is_lost } => self.on_own_revoked(version, is_lost, event),
            State::ReadingAfterRevocation => self.on_read_after_revocation(event),
            State::Releasing { code } => self.on_released(code, event),
            State::Recording { row, version } => self.on_recorded(row, version, event),
            State::Rereading { row } => self.on_reread(row, event),
            State::Stopped => Vec::new(),
        };
        self.drop_repeated_responses(actions)
    }

    fn on_claim(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Written(version) => self.dispatch(version),
            OrderEvent::Conflict | OrderEvent::WriteUnconfirmed => {
                self.transition(State::Reading, OrderAction::Read)
            }
            OrderEvent::TableUnavailable => refuse(ResultCode::TableUnavailable),
            _ => self.remain(State::Claiming),
        }
    }

    fn on_read(&mut self, now_ms: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Read(None) => self.claim(None),
            OrderEvent::Read(Some((row, version))) => self.on_existing_row(now_ms, row, version),
            OrderEvent::TableUnavailable => refuse(ResultCode::TableUnavailable),
            _ => self.remain(State::Reading),
        }
    }

    /// Handles an existing row before this call has sent its request.
    fn on_existing_row(&mut self, now_ms: u64, row: OrderRow, version: u64) -> Vec<OrderAction> {
        if row.attempt == self.claim_row.attempt {
            // The unconfirmed claim write was applied; a repeated call may have changed its state since.
            return match row.state {
                OrderState::Claimed => self.dispatch(version),
                OrderState::Done(outcome) => replay(outcome),
                OrderState::Unknown => refuse(ResultCode::OrderUnknown),
            };
        }
        let is_expired = row.is_expired(now_ms);
        if row.fingerprint != self.claim_row.fingerprint && !is_expired {
            return refuse(ResultCode::KeyReused);
        }
        match row.state {
            OrderState::Done(_) | OrderState::Unknown if is_expired => self.claim(Some(version)),
            OrderState::Done(outcome) => replay(outcome),
            OrderState::Unknown => refuse(ResultCode::OrderUnknown),
            OrderState::Claimed if now_ms < row.dispatch_until_ms => {
                refuse(ResultCode::OrderInProgress)
            }
            OrderState::Claimed => {
                let action = OrderAction::Revoke(row.clone());
                self.transition(State::RevokingOther { row, version }, action)
            }
        }
    }

    fn on_other_revoked(
        &mut self,
        row: OrderRow,
        version: u64,
        event: OrderEvent,
    ) -> Vec<OrderAction> {
        match event {
            OrderEvent::RevokeReplied(RevokeReply::Revoked) => self.claim(Some(version)),
            OrderEvent::RevokeReplied(RevokeReply::Running) => refuse(ResultCode::OrderInProgress),
            OrderEvent::RevokeReplied(RevokeReply::Finished | RevokeReply::Unproven) => {
                self.record_unknown(row, version)
            }
            // The row stays unchanged: once the gate is reachable again, it may prove that the order has not run.
            OrderEvent::RevokeFailed => refuse(ResultCode::OrderUnknown),
            _ => self.remain(State::RevokingOther { row, version }),
        }
    }

    fn on_dispatched(&mut self, version: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Responded(outcome) => self.record(version, outcome),
            OrderEvent::Refused(ResultCode::Revoked) => {
                self.transition(State::ReadingAfterRevocation, OrderAction::Read)
            }
            OrderEvent::Refused(code) => self.release(version, code),
            OrderEvent::Redirected(row) => {
                self.claim_row = row;
                self.claim(Some(version))
            }
            OrderEvent::ConnectionLost => self.revoke_own(version, true),
            OrderEvent::DeadlinePassed => self.revoke_own(version, false),
            _ => self.remain(State::Dispatched { version }),
        }
    }

    fn on_own_revoked(
        &mut self,
        version: u64,
        is_lost: bool,
        event: OrderEvent,
    ) -> Vec<OrderAction> {
        match event {
            OrderEvent::Responded(outcome) => self.record(version, outcome),
            OrderEvent::RevokeReplied(RevokeReply::Revoked) if is_lost => {
                self.release(version, ResultCode::Revoked)
            }
            OrderEvent::RevokeReplied(RevokeReply::Revoked) => {
                self.release(version, ResultCode::DeadlineNotRun)
            }
            OrderEvent::RevokeReplied(_) | OrderEvent::RevokeFailed if is_lost => {
                let row = self.claim_row.clone();
                self.record_unknown(row, version)
            }
            // The attempt may be running: the caller gets its deadline error now, and a late outcome is still recorded.
            OrderEvent::RevokeReplied(_) | OrderEvent::RevokeFailed => {
                let response = OrderResponse::Refused(ResultCode::DeadlineUnknown);
                self.transition(
                    State::Dispatched { version },
                    OrderAction::Respond(response),
                )
            }
            OrderEvent::ConnectionLost => self.remain(State::RevokingOwn {
                version,
                is_lost: true,
            }),
            _ => self.remain(State::RevokingOwn { version, is_lost }),
        }
    }

    fn on_read_after_revocation(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        let OrderEvent::Read(Some((row, _))) = event else {
            return match event {
                OrderEvent::Read(None) | OrderEvent::TableUnavailable => {
                    refuse(ResultCode::Revoked)
                }
                _ => self.remain(State::ReadingAfterRevocation),
            };
        };
        match row.state {
            OrderState::Done(outcome) => replay(outcome),
            OrderState::Unknown => refuse(ResultCode::OrderUnknown),
            OrderState::Claimed if row.attempt == self.claim_row.attempt => {
                refuse(ResultCode::Revoked)
            }
            OrderState::Claimed => refuse(ResultCode::OrderInProgress),
        }
    }

    fn on_released(&mut self, code: ResultCode, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            // A leftover row is harmless, because its attempt is proven not to have run.
            OrderEvent::Written(_)
            | OrderEvent::Conflict
            | OrderEvent::WriteUnconfirmed
            | OrderEvent::TableUnavailable => refuse(code),
            _ => self.remain(State::Releasing { code }),
        }
    }

    fn on_recorded(&mut self, row: OrderRow, version: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Written(_) => finish(&row),
            OrderEvent::Conflict | OrderEvent::WriteUnconfirmed => {
                self.transition(State::Rereading { row }, OrderAction::Read)
            }
            OrderEvent::TableUnavailable => self.retry_record(row, version),
            _ => self.remain(State::Recording { row, version }),
        }
    }

    fn on_reread(&mut self, row: OrderRow, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Read(Some((stored, version))) if stored.attempt == row.attempt => {
                match stored.state {
                    // Only the owner of the attempt may replace `Unknown` with an outcome.
                    OrderState::Claimed | OrderState::Unknown if stored.state != row.state => {
                        self.retry_record(row, version)
                    }
                    _ => finish(&row),
                }
            }
            OrderEvent::Read(_) => finish(&row),
            OrderEvent::TableUnavailable => {
                self.record_failures += 1;
                if self.record_failures >= MAX_RECORD_FAILURES {
                    return finish(&row);
                }
                let mut actions = vec![OrderAction::Respond(response_of(&row))];
                actions.extend(self.transition(State::Rereading { row }, OrderAction::Read));
                actions
            }
            _ => self.remain(State::Rereading { row }),
        }
    }

    fn claim(&mut self, expect: Option<u64>) -> Vec<OrderAction> {
        self.claim_writes += 1;
        if self.claim_writes > MAX_CLAIM_WRITES {
            return refuse(ResultCode::TableUnavailable);
        }
        let row = self.claim_row.clone();
        self.transition(State::Claiming, OrderAction::Write { expect, row })
    }

    fn dispatch(&mut self, version: u64) -> Vec<OrderAction> {
        self.transition(State::Dispatched { version }, OrderAction::Dispatch)
    }

    fn revoke_own(&mut self, version: u64, is_lost: bool) -> Vec<OrderAction> {
        let action = OrderAction::Revoke(self.claim_row.clone());
        self.transition(State::RevokingOwn { version, is_lost }, action)
    }

    fn release(&mut self, version: u64, code: ResultCode) -> Vec<OrderAction> {
        let action = OrderAction::Delete { expect: version };
        self.transition(State::Releasing { code }, action)
    }

    fn record(&mut self, version: u64, outcome: OrderOutcome) -> Vec<OrderAction> {
        let row = OrderRow {
            state: OrderState::Done(outcome),
            ..self.claim_row.clone()
        };
        self.write_outcome(row, version)
    }

    /// Records that the outcome is unknown, and then responds: a repeat that comes after the response finds the record.
    fn record_unknown(&mut self, row: OrderRow, version: u64) -> Vec<OrderAction> {
        let row = OrderRow {
            state: OrderState::Unknown,
            ..row
        };
        self.write_outcome(row, version)
    }

    /// Responds to the caller without waiting for an unavailable table, and retries the write.
    fn retry_record(&mut self, row: OrderRow, version: u64) -> Vec<OrderAction> {
        self.record_failures += 1;
        if self.record_failures >= MAX_RECORD_FAILURES {
            return finish(&row);
        }
        let mut actions = vec![OrderAction::Respond(response_of(&row))];
        actions.extend(self.write_outcome(row, version));
        actions
    }

    fn write_outcome(&mut self, row: OrderRow, version: u64) -> Vec<OrderAction> {
        let action = OrderAction::Write {
            expect: Some(version),
            row: row.clone(),
        };
        self.transition(State::Recording { row, version }, action)
    }

    fn transition(&mut self, state: State, action: OrderAction) -> Vec<OrderAction> {
        self.state = state;
        vec![action]
    }

    fn remain(&mut self, state: State) -> Vec<OrderAction> {
        self.state = state;
        Vec::new()
    }

    fn drop_repeated_responses(&mut self, mut actions: Vec<OrderAction>) -> Vec<OrderAction> {
        let mut responded = self.responded;
        actions.retain(|it| {
            let is_response = matches!(it, OrderAction::Respond(_));
            let is_repeated = is_response && responded;
            responded |= is_response;
            !is_repeated
        });
        self.responded = responded;
        actions
    }
}

fn refuse(code: ResultCode) -> Vec<OrderAction> {
    vec![
        OrderAction::Respond(OrderResponse::Refused(code)),
        OrderAction::Stop,
    ]
}

fn replay(outcome: OrderOutcome) -> Vec<OrderAction> {
    vec![
        OrderAction::Respond(OrderResponse::Replayed(outcome)),
        OrderAction::Stop,
    ]
}

fn finish(row: &OrderRow) -> Vec<OrderAction> {
    vec![OrderAction::Respond(response_of(row)), OrderAction::Stop]
}

fn response_of(row: &OrderRow) -> OrderResponse {
    match &row.state {
        OrderState::Done(outcome) => OrderResponse::Ran(outcome.clone()),
        OrderState::Claimed | OrderState::Unknown => {
            OrderResponse::Refused(ResultCode::OrderUnknown)
        }
    }
}

/// Claim writes per call before it fails with [`ResultCode::TableUnavailable`].
const MAX_CLAIM_WRITES: u32 = 8;

/// Failed attempts to record an outcome before giving up; the caller of the state machine pauses between them.
const MAX_RECORD_FAILURES: u32 = 60;
