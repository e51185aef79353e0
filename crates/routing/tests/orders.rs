//! Orders run at most once, and what their callers are told is true, whatever is lost, late, doubled or killed.

mod support;

use std::collections::BTreeMap;

use model::ResultCode;
use routing::{
    OrderAction, OrderAnswer, OrderEvent, OrderOutcome, OrderRow, OrderState, OrderStateMachine,
    RevokeReply,
};
use support::order_simulation::OrderSimulation;
use support::{attempt, on_fixed_seeds, order_row, outcome};

#[test]
fn any_crossing_runs_at_most_once_and_tells_the_truth() {
    on_fixed_seeds(|u| {
        let mut world = OrderSimulation::new();
        world.start_call(u)?;
        while !u.is_empty() && world.calls.len() < 40 {
            match u.int_in_range(0..=9u8)? {
                0..=5 => {
                    let call = u.choose_index(world.calls.len())?;
                    world.act(call, u)?;
                }
                6 | 7 => world.arrive(u)?,
                _ => world.disturb(u)?,
            }
            world.check();
        }
        Ok(())
    });
}

/// Feeds `events` to a fresh machine and returns the answers and the actions in between as text.
fn trace(now_ms: u64, events: Vec<OrderEvent>) -> Vec<String> {
    let own = order_row(attempt(now_ms, 7), 0, 0, now_ms);
    let mut machine = OrderStateMachine::new(own);
    let mut actions = machine.start();
    for event in events {
        actions.extend(machine.step(now_ms, event));
    }
    actions.iter().map(action_name).collect()
}

fn action_name(action: &OrderAction) -> String {
    match action {
        OrderAction::Read => "read".to_string(),
        OrderAction::Write { row, .. } => match row.state {
            OrderState::Claimed => "claim".to_string(),
            OrderState::Done(_) => "record".to_string(),
            OrderState::Unknown => "record unknown".to_string(),
        },
        OrderAction::Delete { .. } => "delete".to_string(),
        OrderAction::Dispatch => "dispatch".to_string(),
        OrderAction::Revoke(_) => "revoke".to_string(),
        OrderAction::Answer(OrderAnswer::Ran(_)) => "ran".to_string(),
        OrderAction::Answer(OrderAnswer::Replayed(_)) => "replayed".to_string(),
        OrderAction::Answer(OrderAnswer::Refused(code)) => code.name().to_string(),
        OrderAction::Stop => "stop".to_string(),
    }
}

#[test]
fn each_failure_has_its_answer() {
    let own = order_row(attempt(100, 7), 0, 0, 100);
    let other = order_row(attempt(100, 8), 0, 0, 100);
    let stale = order_row(attempt(1, 8), 0, 0, 1);
    let stale = OrderRow {
        dispatch_until_ms: 50,
        ..stale
    };
    let done = |outcome: OrderOutcome| OrderRow {
        state: OrderState::Done(outcome),
        ..other.clone()
    };
    let reused = OrderRow {
        fingerprint: "g".to_string(),
        ..other.clone()
    };
    let read = |row: &OrderRow| OrderEvent::Read(Some((row.clone(), 5)));
    use OrderEvent::{
        Answered, Conflict, ConnectionLost, Refused, RevokeReplied, TableUnavailable,
        WriteUnconfirmed, Written,
    };
    let table: BTreeMap<&str, (Vec<OrderEvent>, &str)> = BTreeMap::from([
        (
            "whole",
            (
                vec![Written(1), Answered(outcome("a")), Written(2)],
                "claim dispatch record ran stop",
            ),
        ),
        (
            "table down",
            (vec![TableUnavailable], "claim table-unavailable stop"),
        ),
        (
            "claim's reply lost, claim there",
            (vec![WriteUnconfirmed, read(&own)], "claim read dispatch"),
        ),
        (
            "claim's reply lost, claim absent",
            (
                vec![WriteUnconfirmed, OrderEvent::Read(None)],
                "claim read claim",
            ),
        ),
        (
            "repeat of a whole one",
            (
                vec![Conflict, read(&done(outcome("a")))],
                "claim read replayed stop",
            ),
        ),
        (
            "key of another request",
            (vec![Conflict, read(&reused)], "claim read key-reused stop"),
        ),
        (
            "repeat at once",
            (
                vec![Conflict, read(&other)],
                "claim read order-in-progress stop",
            ),
        ),
        (
            "owner died, never arrived",
            (
                vec![
                    Conflict,
                    read(&stale),
                    RevokeReplied(RevokeReply::Revoked),
                    Written(6),
                ],
                "claim read revoke claim dispatch",
            ),
        ),
        (
            "owner died, agent restarted",
            (
                vec![
                    Conflict,
                    read(&stale),
                    RevokeReplied(RevokeReply::Unproven),
                    Written(6),
                ],
                "claim read revoke order-unknown record unknown stop",
            ),
        ),
        (
            "owner died, agent gone",
            (
                vec![Conflict, read(&stale), OrderEvent::RevokeFailed],
                "claim read revoke order-unknown stop",
            ),
        ),
        (
            "gate refuses",
            (
                vec![Written(1), Refused(ResultCode::Leaving), Written(2)],
                "claim dispatch delete leaving stop",
            ),
        ),
        (
            "silence, proved not run",
            (
                vec![
                    Written(1),
                    ConnectionLost,
                    RevokeReplied(RevokeReply::Revoked),
                    Written(2),
                ],
                "claim dispatch revoke delete revoked stop",
            ),
        ),
        (
            "silence, ran",
            (
                vec![
                    Written(1),
                    ConnectionLost,
                    RevokeReplied(RevokeReply::Finished),
                    Written(2),
                ],
                "claim dispatch revoke order-unknown record unknown stop",
            ),
        ),
        (
            "late, still running",
            (
                vec![
                    Written(1),
                    OrderEvent::DeadlinePassed,
                    RevokeReplied(RevokeReply::Running),
                    Answered(outcome("a")),
                    Written(2),
                ],
                "claim dispatch revoke deadline-unknown record stop",
            ),
        ),
        (
            "record fails once",
            (
                vec![
                    Written(1),
                    Answered(outcome("a")),
                    TableUnavailable,
                    Written(2),
                ],
                "claim dispatch record ran record stop",
            ),
        ),
    ]);
    for (name, (events, expect)) in table {
        assert_eq!(trace(100, events).join(" "), expect, "{name}");
    }
}
