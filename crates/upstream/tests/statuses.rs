//! Responses with invalid statuses of the services that agents and entries call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use upstream::{CallError, ObjectClient, TableClient, TableError, TableTransaction};

/// Timeout of a call, well above what a loaded machine needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The invalid status lines, each of which begins a response.
const STATUS_LINES: [&str; 9] = [
    "HTTP/1.1 000 ",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 2OO OK",
    "HTTP/1.1",
];

/// Starts a service that begins the response to its only request with `status_line`.
fn start_service(status_line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        read_request(&socket).unwrap();
        let body = r#"{"version": 7, "rows": []}"#;
        let length = body.len();
        // Fails if the client closes the connection after the status line.
        let _ = write!(
            socket,
            "{status_line}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
    });
    address
}

fn read_request(socket: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(socket);
    let mut length = 0;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line)?;
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length: ") {
            length = value.trim_end().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length])
}

/// Sends `call` to services with each invalid status and returns the results for which `is_expected` does not hold.
fn check<T: std::fmt::Debug>(
    call: impl Fn(SocketAddr) -> T,
    is_expected: impl Fn(&T) -> bool,
) -> Vec<String> {
    let results = STATUS_LINES.map(|it| (it, call(start_service(it))));
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
