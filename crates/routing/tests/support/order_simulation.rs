//! The naive version of everything around the order machines.

use std::time::Duration;

use arbtest::arbitrary;
use model::{AttemptId, GateState, Incarnation, RunStatus};
use routing::{
    AdmissionGate, AdmissionRequest, CallKind, OrderAction, OrderAnswer, OrderEvent, OrderRow,
    OrderStateMachine,
};

use crate::support::{attempt, order_row, outcome};

/// A request on its way to a gate; it may arrive long after its sender has given up.
struct LateRequest {
    call: usize,
    row: OrderRow,
}

/// The naive version of everything around the machines: one row, gates, and a plain list of runs.
pub struct OrderSimulation {
    now_ms: u64,
    row: Option<(OrderRow, u64)>,
    version: u64,
    gates: Vec<(u64, AdmissionGate)>,
    runs: Vec<AttemptId>,
    pub calls: Vec<OrderCall>,
    underway: Vec<LateRequest>,
    late_writes: Vec<(Option<u64>, Option<OrderRow>)>,
}

pub struct OrderCall {
    machine: OrderStateMachine,
    /// Actions to carry out, in order.
    actions: Vec<OrderAction>,
    is_dead: bool,
    answer: Option<OrderAnswer>,
}

impl OrderSimulation {
    pub fn new() -> Self {
        Self {
            now_ms: 1_000_000,
            row: None,
            version: 0,
            gates: (0..2).map(|it| (it, open_gate(it))).collect(),
            runs: Vec::new(),
            calls: Vec::new(),
            underway: Vec::new(),
            late_writes: Vec::new(),
        }
    }

    pub fn start_call(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let gate = u.int_in_range(0..=1usize)?;
        let id = attempt(self.now_ms, self.calls.len() as u128);
        let mut machine =
            OrderStateMachine::new(order_row(id, gate, self.gates[gate].0, self.now_ms));
        let actions = machine.start();
        self.calls.push(OrderCall {
            machine,
            actions,
            is_dead: false,
            answer: None,
        });
        Ok(())
    }

    fn apply(&mut self, expect: Option<u64>, row: Option<OrderRow>) -> bool {
        if self.row.as_ref().map(|it| it.1) != expect {
            return false;
        }
        self.version += 1;
        let version = self.version;
        self.row = row.map(|it| (it, version));
        true
    }

    /// Carries out the next action of `call`, with whatever fault the generator picks.
    pub fn act(
        &mut self,
        call: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        if self.calls[call].is_dead || self.calls[call].actions.is_empty() {
            return Ok(());
        }
        let event = match self.calls[call].actions.remove(0) {
            OrderAction::Read if u.ratio(1, 8)? => OrderEvent::TableUnavailable,
            OrderAction::Read => OrderEvent::Read(self.row.clone()),
            OrderAction::Write { expect, row } => self.write(expect, Some(row), u)?,
            OrderAction::Delete { expect } => self.write(Some(expect), None, u)?,
            OrderAction::Dispatch => {
                let row = self.calls[call].machine.claim_row().clone();
                self.underway.push(LateRequest { call, row });
                return Ok(());
            }
            OrderAction::Revoke(_) if u.ratio(1, 6)? => OrderEvent::RevokeFailed,
            OrderAction::Revoke(row) => {
                let gate = gate_index(&row);
                let now = Duration::from_millis(self.now_ms);
                let book = &mut self.gates[gate].1;
                OrderEvent::RevokeReplied(book.revoke(now, row.attempt, row.gate.incarnation))
            }
            OrderAction::Answer(answer) => {
                assert_eq!(self.calls[call].answer.replace(answer), None);
                return Ok(());
            }
            OrderAction::Stop => return Ok(()),
        };
        self.tell(call, event);
        Ok(())
    }

    fn write(
        &mut self,
        expect: Option<u64>,
        row: Option<OrderRow>,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<OrderEvent> {
        Ok(match u.int_in_range(0..=9u8)? {
            0 => OrderEvent::TableUnavailable,
            1 => OrderEvent::WriteUnconfirmed,
            2 => {
                self.apply(expect, row);
                OrderEvent::WriteUnconfirmed
            }
            3 => {
                self.late_writes.push((expect, row));
                OrderEvent::WriteUnconfirmed
            }
            _ if self.apply(expect, row) => OrderEvent::Written(self.version),
            _ => OrderEvent::Conflict,
        })
    }

    /// Lets a request arrive at its gate; its sender may or may not hear of it.
    pub fn arrive(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.underway.is_empty() {
            return Ok(());
        }
        let idx = u.choose_index(self.underway.len())?;
        let LateRequest { call, row } = self.underway.remove(idx);
        let request = AdmissionRequest {
            attempt: row.attempt,
            kind: CallKind::Order,
            incarnation: Some(row.gate.incarnation),
            version: None,
            time_remaining: Duration::from_secs(1),
        };
        let now = Duration::from_millis(self.now_ms);
        let book = &mut self.gates[gate_index(&row)].1;
        let event = match book.admit(now, &request) {
            Err(refusal) => OrderEvent::Refused(refusal.code),
            Ok(()) => {
                self.runs.push(row.attempt);
                if u.ratio(3, 4)? {
                    book.finish(row.attempt, CallKind::Order);
                }
                OrderEvent::Answered(outcome(&row.attempt.to_string()))
            }
        };
        match u.int_in_range(0..=3u8)? {
            0 => self.tell(call, OrderEvent::ConnectionLost),
            1 => {}
            _ => self.tell(call, event),
        }
        Ok(())
    }

    fn tell(&mut self, call: usize, event: OrderEvent) {
        let now_ms = self.now_ms;
        let call = &mut self.calls[call];
        if !call.is_dead {
            call.actions.extend(call.machine.step(now_ms, event));
        }
    }

    pub fn disturb(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let call = u.choose_index(self.calls.len().max(1))?;
        match u.int_in_range(0..=7u8)? {
            0 => self.now_ms += 60,
            1 if !self.calls.is_empty() => self.calls[call].is_dead = true,
            2 if !self.calls.is_empty() => self.tell(call, OrderEvent::DeadlinePassed),
            3 if !self.calls.is_empty() => self.tell(call, OrderEvent::ConnectionLost),
            4 if !self.late_writes.is_empty() => {
                let (expect, row) = self.late_writes.remove(0);
                self.apply(expect, row);
            }
            5 if u.ratio(1, 4)? => {
                let gate = u.int_in_range(0..=1usize)?;
                let incarnation = self.gates[gate].0 + 10;
                self.gates[gate] = (incarnation, open_gate(incarnation));
            }
            _ => self.start_call(u)?,
        }
        Ok(())
    }

    pub fn check(&self) {
        assert!(self.runs.len() <= 1, "runs: {:?}", self.runs);
        let ran = self.runs.first().map(|it| outcome(&it.to_string()));
        for call in &self.calls {
            let own = call.machine.claim_row().attempt;
            match &call.answer {
                None => {}
                Some(OrderAnswer::Ran(it)) => {
                    assert_eq!((Some(it), self.runs.first()), (ran.as_ref(), Some(&own)));
                }
                Some(OrderAnswer::Replayed(it)) => assert_eq!(Some(it), ran.as_ref()),
                Some(OrderAnswer::Refused(code)) if code.run_status() == RunStatus::NotRun => {
                    assert!(!self.runs.contains(&own), "{code} is false");
                }
                Some(OrderAnswer::Refused(_)) => {}
            }
        }
    }
}

fn open_gate(incarnation: u64) -> AdmissionGate {
    let mut book = AdmissionGate::new(Incarnation(incarnation), 100);
    book.set_state(GateState::Open, None);
    book
}

fn gate_index(row: &OrderRow) -> usize {
    usize::from(row.gate.host.as_str() == "h1")
}
