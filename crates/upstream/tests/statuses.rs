//! Responses with invalid statuses of the services that agents and entries call.

use std::net::SocketAddr;
use std::time::Duration;

use upstream::{CallError, ObjectClient, TableClient, TableError, TableTransaction};

/// Timeout of a call, well above what a loaded machine needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Body of a response that would say that the call has succeeded.
const BODY: &str = r#"{"version": 7, "rows": []}"#;

/// Sends `call` to services with each invalid status and returns the results for which `is_expected` does not hold.
fn check<T: std::fmt::Debug>(
    call: impl Fn(SocketAddr) -> T,
    is_expected: impl Fn(&T) -> bool,
) -> Vec<String> {
    let results = standin::INVALID_STATUS_LINES.map(|it| {
        let address = standin::start_status_service(it, BODY).unwrap();
        (it, call(address))
    });
    let unexpected = results.iter().filter(|it| !is_expected(&it.1));
    unexpected.map(|it| format!("{it:?}")).collect()
}

/// Guards against a transaction that may have been applied and counts as not applied, because the status was invalid.
#[test]
fn a_transaction_with_an_invalid_status_has_an_unknown_outcome() {
    let unexpected = check(
        |address| {
            let transaction = TableTransaction::default().put("key", 1.into());
            TableClient::new(address, CALL_TIMEOUT).transact(&transaction)
        },
        |it| matches!(it, Err(TableError::OutcomeUnknown(_))),
    );
    assert!(unexpected.is_empty(), "{}", unexpected.join("\n"));
}

/// Guards against the body of a response with an invalid status that is taken for an object, or for its absence.
#[test]
fn an_object_with_an_invalid_status_is_not_read() {
    let unexpected = check(
        |address| ObjectClient::new(address, CALL_TIMEOUT).get("key"),
        |it| matches!(it, Err(CallError::NoResponse(_))),
    );
    assert!(unexpected.is_empty(), "{}", unexpected.join("\n"));
}
