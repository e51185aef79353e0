//! Steps of one order with an idempotency key, so that it runs at most once.

use model::ResultCode;

use crate::admission_gate::RevokeReply;
use crate::order_event::{OrderAction, OrderAnswer, OrderEvent};
use crate::order_row::{OrderOutcome, OrderRow, OrderState};

/// Drives one call of an order from its claim to its recorded outcome.
///
/// The claim is written before anything is sent and names the only gate that the attempt may go to. So whoever meets
/// the claim later can ask that gate: a revoked attempt proves that the order has not run, whatever became of the
/// claim's owner; without the proof nobody runs the order again. See `docs/decisions/0020-requests.md`.
#[derive(Clone, Debug)]
pub struct OrderStateMachine {
    own: OrderRow,
    step: Step,
    claims: u32,
    records: u32,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Step {
    /// The claim is being written, over the row of this version where there is one.
    Claiming,
    /// The row is read: after a lost claim, or because someone else's is there.
    Reading,
    /// Another attempt's gate is asked.
    RevokingOther { row: OrderRow, version: u64 },
    /// The request is at the gate.
    Dispatched { version: u64 },
    /// The own gate is asked; `is_lost` when no answer can come any more.
    RevokingOwn { version: u64, is_lost: bool },
    /// The own attempt was revoked by someone else, whose row is read.
    Overtaken,
    /// The claim is deleted because the order has not run.
    Releasing { code: ResultCode },
    /// The outcome is being written.
    Recording { row: OrderRow, version: u64 },
    /// The row is read because the fate of the record is open.
    Rereading { row: OrderRow },
    /// Nothing is left to do.
    Stopped,
}

impl OrderStateMachine {
    /// Creates the machine of a call that would claim the key with `own`.
    pub fn new(own: OrderRow) -> Self {
        Self {
            own,
            step: Step::Claiming,
            claims: 0,
            records: 0,
            answered: false,
        }
    }

    /// Returns the row that this call claims with.
    pub fn claim_row(&self) -> &OrderRow {
        &self.own
    }

    /// Returns the first action.
    pub fn start(&mut self) -> Vec<OrderAction> {
        self.claim(None)
    }

    /// Takes in an event at `now_ms` since the epoch and returns what is to be done.
    ///
    /// Events that do not fit the step, such as a second answer, change nothing.
    pub fn step(&mut self, now_ms: u64, event: OrderEvent) -> Vec<OrderAction> {
        let step = std::mem::replace(&mut self.step, Step::Stopped);
        let actions = match step {
            Step::Claiming => self.on_claim(event),
            Step::Reading => self.on_read(now_ms, event),
            Step::RevokingOther { row, version } => self.on_other_revoked(row, version, event),
            Step::Dispatched { version } => self.on_dispatched(version, event),
            Step::RevokingOwn { version, is_lost } => self.on_own_revoked(version, is_lost, event),
            Step::Overtaken => self.on_overtaken(event),
            Step::Releasing { code } => self.on_released(code, event),
            Step::Recording { row, version } => self.on_recorded(row, version, event),
            Step::Rereading { row } => self.on_reread(row, event),
            Step::Stopped => Vec::new(),
        };
        self.answer_once(actions)
    }

    fn on_claim(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Written(version) => self.dispatch(version),
            OrderEvent::Conflict | OrderEvent::WriteUnconfirmed => {
                self.goto(Step::Reading, OrderAction::Read)
            }
            OrderEvent::TableUnavailable => refuse(ResultCode::TableUnavailable),
            _ => self.stay(Step::Claiming),
        }
    }

    fn on_read(&mut self, now_ms: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Read(None) => self.claim(None),
            OrderEvent::Read(Some((row, version))) => self.judge(now_ms, row, version),
            OrderEvent::TableUnavailable => refuse(ResultCode::TableUnavailable),
            _ => self.stay(Step::Reading),
        }
    }

    /// Decides what the row that is there means for this call, which has not sent anything yet.
    fn judge(&mut self, now_ms: u64, row: OrderRow, version: u64) -> Vec<OrderAction> {
        if row.attempt == self.own.attempt {
            // The claim whose reply was lost, unless a repeat has already given up on it.
            return match row.state {
                OrderState::Claimed => self.dispatch(version),
                OrderState::Done(outcome) => replay(outcome),
                OrderState::Unknown => refuse(ResultCode::OrderUnknown),
            };
        }
        let is_expired = row.expires_ms <= now_ms;
        if row.fingerprint != self.own.fingerprint && !is_expired {
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
                self.goto(Step::RevokingOther { row, version }, action)
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
                self.record_unknown(row, version, ResultCode::OrderUnknown)
            }
            // The gate may come back, and with it the proof; so the row stays as it is.
            OrderEvent::RevokeFailed => refuse(ResultCode::OrderUnknown),
            _ => self.stay(Step::RevokingOther { row, version }),
        }
    }

    fn on_dispatched(&mut self, version: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Answered(outcome) => self.record(version, outcome),
            OrderEvent::Refused(ResultCode::Revoked) => {
                self.goto(Step::Overtaken, OrderAction::Read)
            }
            OrderEvent::Refused(code) => self.release(version, code),
            OrderEvent::Redirected(row) => {
                self.own = row;
                self.claim(Some(version))
            }
            OrderEvent::ConnectionLost => self.revoke_own(version, true),
            OrderEvent::DeadlinePassed => self.revoke_own(version, false),
            _ => self.stay(Step::Dispatched { version }),
        }
    }

    fn on_own_revoked(
        &mut self,
        version: u64,
        is_lost: bool,
        event: OrderEvent,
    ) -> Vec<OrderAction> {
        match event {
            OrderEvent::Answered(outcome) => self.record(version, outcome),
            OrderEvent::RevokeReplied(RevokeReply::Revoked) if is_lost => {
                self.release(version, ResultCode::Revoked)
            }
            OrderEvent::RevokeReplied(RevokeReply::Revoked) => {
                self.release(version, ResultCode::DeadlineNotRun)
            }
            OrderEvent::RevokeReplied(_) | OrderEvent::RevokeFailed if is_lost => {
                let row = self.own.clone();
                self.record_unknown(row, version, ResultCode::OrderUnknown)
            }
            // It runs: the caller learns that its time is over, and the outcome is still recorded when it comes.
            OrderEvent::RevokeReplied(_) | OrderEvent::RevokeFailed => {
                let answer = OrderAnswer::Refused(ResultCode::DeadlineUnknown);
                self.goto(Step::Dispatched { version }, OrderAction::Answer(answer))
            }
            OrderEvent::ConnectionLost => self.stay(Step::RevokingOwn {
                version,
                is_lost: true,
            }),
            _ => self.stay(Step::RevokingOwn { version, is_lost }),
        }
    }

    fn on_overtaken(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        let OrderEvent::Read(Some((row, _))) = event else {
            return match event {
                OrderEvent::Read(None) | OrderEvent::TableUnavailable => {
                    refuse(ResultCode::Revoked)
                }
                _ => self.stay(Step::Overtaken),
            };
        };
        match row.state {
            OrderState::Done(outcome) => replay(outcome),
            OrderState::Unknown => refuse(ResultCode::OrderUnknown),
            OrderState::Claimed if row.attempt == self.own.attempt => refuse(ResultCode::Revoked),
            OrderState::Claimed => refuse(ResultCode::OrderInProgress),
        }
    }

    fn on_released(&mut self, code: ResultCode, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            // A row that could not be deleted does no harm: its attempt is proved not to have run.
            OrderEvent::Written(_)
            | OrderEvent::Conflict
            | OrderEvent::WriteUnconfirmed
            | OrderEvent::TableUnavailable => refuse(code),
            _ => self.stay(Step::Releasing { code }),
        }
    }

    fn on_recorded(&mut self, row: OrderRow, version: u64, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Written(_) => finish(&row),
            OrderEvent::Conflict | OrderEvent::WriteUnconfirmed => {
                self.goto(Step::Rereading { row }, OrderAction::Read)
            }
            OrderEvent::TableUnavailable => self.record_again(row, version),
            _ => self.stay(Step::Recording { row, version }),
        }
    }

    fn on_reread(&mut self, row: OrderRow, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Read(Some((there, version))) if there.attempt == row.attempt => {
                match there.state {
                    // Only the holder of the attempt knows better than `Unknown`.
                    OrderState::Claimed | OrderState::Unknown if there.state != row.state => {
                        self.record_again(row, version)
                    }
                    _ => finish(&row),
                }
            }
            OrderEvent::Read(_) => finish(&row),
            OrderEvent::TableUnavailable => {
                self.records += 1;
                if self.records >= MAX_RECORDS {
                    return finish(&row);
                }
                let mut actions = vec![OrderAction::Answer(answer_of(&row))];
                actions.extend(self.goto(Step::Rereading { row }, OrderAction::Read));
                actions
            }
            _ => self.stay(Step::Rereading { row }),
        }
    }

    fn claim(&mut self, expect: Option<u64>) -> Vec<OrderAction> {
        self.claims += 1;
        if self.claims > MAX_CLAIMS {
            return refuse(ResultCode::TableUnavailable);
        }
        let row = self.own.clone();
        self.goto(Step::Claiming, OrderAction::Write { expect, row })
    }

    fn dispatch(&mut self, version: u64) -> Vec<OrderAction> {
        self.goto(Step::Dispatched { version }, OrderAction::Dispatch)
    }

    fn revoke_own(&mut self, version: u64, is_lost: bool) -> Vec<OrderAction> {
        let action = OrderAction::Revoke(self.own.clone());
        self.goto(Step::RevokingOwn { version, is_lost }, action)
    }

    fn release(&mut self, version: u64, code: ResultCode) -> Vec<OrderAction> {
        let action = OrderAction::Delete { expect: version };
        self.goto(Step::Releasing { code }, action)
    }

    fn record(&mut self, version: u64, outcome: OrderOutcome) -> Vec<OrderAction> {
        let row = OrderRow {
            state: OrderState::Done(outcome),
            ..self.own.clone()
        };
        self.write_record(row, version)
    }

    fn record_unknown(
        &mut self,
        row: OrderRow,
        version: u64,
        code: ResultCode,
    ) -> Vec<OrderAction> {
        let row = OrderRow {
            state: OrderState::Unknown,
            ..row
        };
        let mut actions = vec![OrderAction::Answer(OrderAnswer::Refused(code))];
        actions.extend(self.write_record(row, version));
        actions
    }

    /// Answers the caller, who need not wait for a table that is down, and tries again.
    fn record_again(&mut self, row: OrderRow, version: u64) -> Vec<OrderAction> {
        self.records += 1;
        if self.records >= MAX_RECORDS {
            return finish(&row);
        }
        let mut actions = vec![OrderAction::Answer(answer_of(&row))];
        actions.extend(self.write_record(row, version));
        actions
    }

    fn write_record(&mut self, row: OrderRow, version: u64) -> Vec<OrderAction> {
        let action = OrderAction::Write {
            expect: Some(version),
            row: row.clone(),
        };
        self.goto(Step::Recording { row, version }, action)
    }

    fn goto(&mut self, step: Step, action: OrderAction) -> Vec<OrderAction> {
        self.step = step;
        vec![action]
    }

    fn stay(&mut self, step: Step) -> Vec<OrderAction> {
        self.step = step;
        Vec::new()
    }

    fn answer_once(&mut self, mut actions: Vec<OrderAction>) -> Vec<OrderAction> {
        let mut answered = self.answered;
        actions.retain(|it| {
            let is_answer = matches!(it, OrderAction::Answer(_));
            let is_repeated = is_answer && answered;
            answered |= is_answer;
            !is_repeated
        });
        self.answered = answered;
        actions
    }
}

fn refuse(code: ResultCode) -> Vec<OrderAction> {
    vec![
        OrderAction::Answer(OrderAnswer::Refused(code)),
        OrderAction::Stop,
    ]
}

fn replay(outcome: OrderOutcome) -> Vec<OrderAction> {
    vec![
        OrderAction::Answer(OrderAnswer::Replayed(outcome)),
        OrderAction::Stop,
    ]
}

fn finish(row: &OrderRow) -> Vec<OrderAction> {
    vec![OrderAction::Answer(answer_of(row)), OrderAction::Stop]
}

fn answer_of(row: &OrderRow) -> OrderAnswer {
    match &row.state {
        OrderState::Done(outcome) => OrderAnswer::Ran(outcome.clone()),
        OrderState::Claimed | OrderState::Unknown => OrderAnswer::Refused(ResultCode::OrderUnknown),
    }
}

/// Claims that one call writes at most, before it says that the table is not available.
const MAX_CLAIMS: u32 = 8;

/// Tries to record an outcome; the edge pauses between them.
const MAX_RECORDS: u32 = 60;
