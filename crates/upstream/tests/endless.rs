//! Responses without end of the services that agents and entries call.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use upstream::{CallError, ObjectClient};

/// Timeout of a call, well above what a loaded machine needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against the beginning of an object that is taken for the whole object, because it reached the size limit.
#[test]
fn an_object_without_end_is_not_complete() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        let _ = socket.read(&mut [0; 1024]);
        socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
        let block = vec![b'x'; 1 << 20];
        // Fails when the client closes the connection.
        while socket.write_all(&block).is_ok() {}
    });
    let result = ObjectClient::new(address, CALL_TIMEOUT).get("key");
    let length = result.as_ref().map(|it| it.as_ref().map(Vec::len));
    assert!(
        matches!(result, Err(CallError::NoResponse(_))),
        "an object of {length:?} bytes"
    );
}
