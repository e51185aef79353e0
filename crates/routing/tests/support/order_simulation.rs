//! Simulated environment of order state machines.

use std::time::Duration;

use arbtest::arbitrary;
use model::{AttemptId, GateState, Incarnation, RunStatus};
use routing::{
    AdmissionGate, AdmissionRequest, CallKind, OrderAction, OrderEvent, OrderResponse, OrderRow,
    OrderStateMachine,
};

use crate::support::{attempt, order_row, outcome};

/// Request in transit to a gate, which may arrive long after its sender has timed out.
struct RequestInTransit {
    call: usize,
    row: OrderRow,
}

/// Simulates one table row, two gates and the network, and records which attempts ran.
pub struct OrderSimulation {
    now_ms: u64,
    row: Option<(OrderRow, u64)>,
    version: u64,
    gates: Vec<(u64, AdmissionGate)>,
    runs: Vec<AttemptId>,
    pub calls: Vec<OrderCall>,
    in_transit: Vec<RequestInTransit>,
    delayed_writes: Vec<(Option<u64>, Option<OrderRow>)>,
}

pub struct OrderCall {
    machine: OrderStateMachine,
    /// Actions to execute, in order.
    actions: Vec<OrderAction>,
    has_crashed: bool,
    response: Option<OrderResponse>,
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
            in_transit: Vec::new(),
            delayed_writes: Vec::new(),
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
            has_crashed: false,
            response: None,
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

    /// Executes the next action of `call`, with a fault chosen by the generator.
    pub fn execute_action(
        &mut self,
        call: usize,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        if self.calls[call].has_crashed || self.calls[call].actions.is_empty() {
            return Ok(());
        }
        let event = match self.calls[call].actions.remove(0) {
            OrderAction::Read if u.ratio(1, 8)? => OrderEvent::TableUnavailable,
            OrderAction::Read => OrderEvent::Read(self.row.clone()),
            OrderAction::Write { expect, row } => self.write(expect, Some(row), u)?,
            OrderAction::Delete { expect } => self.write(Some(expect), None, u)?,
            OrderAction::Dispatch => {
                let row = self.calls[call].machine.claim_row().clone();
                self.in_transit.push(RequestInTransit { call, row });
                return Ok(());
            }
            OrderAction::Revoke(_) if u.ratio(1, 6)? => OrderEvent::RevokeFailed,
            OrderAction::Revoke(row) => {
                let idx = gate_index(&row);
                let now = Duration::from_millis(self.now_ms);
                let gate = &mut self.gates[idx].1;
                OrderEvent::RevokeReplied(gate.revoke(now, row.attempt, row.gate.incarnation))
            }
            OrderAction::Respond(response) => {
                assert_eq!(self.calls[call].response.replace(response), None);
                return Ok(());
            }
            OrderAction::Stop => return Ok(()),
        };
        self.handle_event(call, event);
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
                self.delayed_writes.push((expect, row));
                OrderEvent::WriteUnconfirmed
            }
            _ if self.apply(expect, row) => OrderEvent::Written(self.version),
            _ => OrderEvent::Conflict,
        })
    }

    /// Delivers a request in transit to its gate; the response may be lost.
    pub fn deliver_request(
        &mut self,
        u: &mut arbitrary::Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        if self.in_transit.is_empty() {
            return Ok(());
        }
        let idx = u.choose_index(self.in_transit.len())?;
        let RequestInTransit { call, row } = self.in_transit.remove(idx);
        let request = AdmissionRequest {
            attempt: row.attempt,
            kind: CallKind::Order,
            incarnation: Some(row.gate.incarnation),
            version: None,
            time_remaining: Duration::from_secs(1),
        };
        let now = Duration::from_millis(self.now_ms);
        let gate = &mut self.gates[gate_index(&row)].1;
        let event = match gate.admit(now, &request) {
            Err(refusal) => OrderEvent::Refused(refusal.code),
            Ok(()) => {
                self.runs.push(row.attempt);
                if u.ratio(3, 4)? {
                    gate.finish(row.attempt, CallKind::Order);
                }
                OrderEvent::Responded(outcome(&row.attempt.to_string()))
            }
        };
        match u.int_in_range(0..=3u8)? {
            0 => self.handle_event(call, OrderEvent::ConnectionLost),
            1 => {}
            _ => self.handle_event(call, event),
        }
        Ok(())
    }

    fn handle_event(&mut self, call: usize, event: OrderEvent) {
        let now_ms = self.now_ms;
        let call = &mut self.calls[call];
        if !call.has_crashed {
            call.actions.extend(call.machine.step(now_ms, event));
        }
    }

    /// Injects a fault chosen by the generator, such as a crash or a delayed write, or starts another call.
    pub fn inject_fault(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let call = u.choose_index(self.calls.len().max(1))?;
        match u.int_in_range(0..=7u8)? {
            0 => self.now_ms += 60,
            1 if !self.calls.is_empty() => self.calls[call].has_crashed = true,
            2 if !self.calls.is_empty() => self.handle_event(call, OrderEvent::DeadlinePassed),
            3 if !self.calls.is_empty() => self.handle_event(call, OrderEvent::ConnectionLost),
            4 if !self.delayed_writes.is_empty() => {
                let (expect, row) = self.delayed_writes.remove(0);
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

    /// Checks that at most one attempt ran and that all responses are consistent with it.
    pub fn check_invariants(&self) {
        assert!(self.runs.len() <= 1, "runs: {:?}", self.runs);
        let ran = self.runs.first().map(|it| outcome(&it.to_string()));
        for call in &self.calls {
            let own = call.machine.claim_row().attempt;
            match &call.response {
                None => {}
                Some(OrderResponse::Ran(it)) => {
                    assert_eq!((Some(it), self.runs.first()), (ran.as_ref(), Some(&own)));
                }
                Some(OrderResponse::Replayed(it)) => assert_eq!(Some(it), ran.as_ref()),
                Some(OrderResponse::Refused(code)) if code.run_status() == RunStatus::NotRun => {
                    assert!(!self.runs.contains(&own), "{code} although the attempt ran");
                }
                Some(OrderResponse::Refused(_)) => {}
            }
        }
    }
}

fn open_gate(incarnation: u64) -> AdmissionGate {
    let mut gate = AdmissionGate::new(Incarnation(incarnation), 100);
    gate.set_state(GateState::Open, None);
    gate
}

fn gate_index(row: &OrderRow) -> usize {
    usize::from(row.gate.host.as_str() == "h1")
}
