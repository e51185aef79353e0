//! Second copies of responses that arrive while their connection is idle.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use upstream::ObjectClient;

/// Timeout of a call, well above what a loaded machine needs.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

fn respond(socket: &mut TcpStream, body: &str) {
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    socket.write_all(response.as_bytes()).unwrap();
}

/// Guards against a copy of the response to one call that becomes the response to the next one.
#[test]
fn a_copy_on_an_idle_connection_belongs_to_no_call() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (read_sender, read_receiver) = mpsc::channel();
    let (copied_sender, copied_receiver) = mpsc::channel();
    let server = std::thread::spawn(move || {
        let mut first = listener.accept().unwrap().0;
        read_head(&mut first);
        respond(&mut first, "first");
        read_receiver.recv().unwrap();
        respond(&mut first, "first");
        copied_sender.send(()).unwrap();
        let mut second = listener.accept().unwrap().0;
        read_head(&mut second);
        respond(&mut second, "second");
    });
    let client = ObjectClient::new(address, CALL_TIMEOUT);
    assert_eq!(client.get("first"), Ok(Some(b"first".to_vec())));
    read_sender.send(()).unwrap();
    copied_receiver.recv().unwrap();
    assert_eq!(client.get("second"), Ok(Some(b"second".to_vec())));
    server.join().unwrap();
}
