//! What `docs/OPERATIONS.md` says about an outage of the table, with real processes.

mod support;

use httpio::Request;
use standin::{ProcessFleet, TableFaults};
use support::{CallAnswer, complete, order, send, served_fleet, small_plan};

fn lookup(fleet: &ProcessFleet) -> CallAnswer {
    let request = Request::get("/services/orders/stock").body(httpio::empty());
    send(fleet, 0, request.expect("the request is valid"))
}

fn query(fleet: &ProcessFleet, text: &str) -> u16 {
    let reply = fleet.command("entry-1", text, "query-1");
    reply.expect("the entry answers").code
}

#[test]
fn outage_stops_what_needs_the_table_and_nothing_else() {
    let fleet = served_fleet("table-outage", small_plan);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    assert_eq!(complete(&fleet, 0, "hello", 4).result, "0 ok");
    assert_eq!(lookup(&fleet).result, "0 ok");
    let refused = order(&fleet, 0, "castings", "key-1");
    assert_eq!(refused.result, "207 table-unavailable");
    assert_eq!(query(&fleet, "show targets"), 0);
    let command = fleet
        .command("entry-1", "pause demo", "pause-1")
        .expect("the entry answers");
    assert!(
        matches!(command.code, 207 | 402),
        "a command must not be accepted: {command:?}"
    );

    fleet.table.set_faults(TableFaults::default());
    assert_eq!(order(&fleet, 0, "castings", "key-1").result, "0 ok");
    assert_eq!(order(&fleet, 0, "castings", "key-1").result, "1 replayed");
    let command = fleet.command("entry-1", "pause demo", "pause-1");
    assert_eq!(command.expect("the entry answers").code, 0);
}
