//! Checks the behaviour during an outage of the table that `docs/OPERATIONS.md` describes, with real processes.

mod support;

use httpio::Request;
use standin::{ProcessFleet, TableFaults};
use support::{
    CallResponse, send, send_completion, send_order, single_zone_plan, start_serving_fleet,
};

fn send_lookup(fleet: &ProcessFleet) -> CallResponse {
    let request = Request::get("/services/orders/stock").body(httpio::empty());
    send(fleet, 0, request.expect("the request is valid"))
}

/// Executes a query and returns its result code.
fn query_code(fleet: &ProcessFleet, text: &str) -> u16 {
    let response = fleet.command("entry-1", text, "query-1");
    response.expect("the entry responds").code
}

#[test]
fn outage_affects_only_requests_that_need_the_table() {
    let fleet = start_serving_fleet("table-outage", single_zone_plan);
    fleet.table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    assert_eq!(send_completion(&fleet, 0, "hello", 4).result, "0 ok");
    assert_eq!(send_lookup(&fleet).result, "0 ok");
    let refused = send_order(&fleet, 0, "castings", "key-1");
    assert_eq!(refused.result, "207 table-unavailable");
    assert_eq!(query_code(&fleet, "show targets"), 0);
    let command = fleet
        .command("entry-1", "pause demo", "pause-1")
        .expect("the entry responds");
    assert!(
        matches!(command.code, 207 | 402),
        "a command must not be accepted: {command:?}"
    );

    fleet.table.set_faults(TableFaults::default());
    assert_eq!(send_order(&fleet, 0, "castings", "key-1").result, "0 ok");
    assert_eq!(
        send_order(&fleet, 0, "castings", "key-1").result,
        "1 replayed"
    );
    let command = fleet.command("entry-1", "pause demo", "pause-1");
    assert_eq!(command.expect("the entry responds").code, 0);
}
