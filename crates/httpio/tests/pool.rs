//! Tests that a connection which is used again never delivers the response to an earlier request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use httpio::{HttpClient, Method, Request};

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of a request body that exceeds what sockets buffer.
const LARGE_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A response to each request of a connection.
const RESPONSES: [(&str, Method, &str); 6] = [
    (
        "with a length",
        Method::GET,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
    ),
    (
        "with chunks",
        Method::GET,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
    ),
    (
        "without content",
        Method::GET,
        "HTTP/1.1 204 No Content\r\n\r\n",
    ),
    (
        "not modified",
        Method::GET,
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    ),
    (
        "to HEAD",
        Method::HEAD,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    ),
    (
        "of an error",
        Method::GET,
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nfirst",
    ),
];

const SECOND_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

fn current_thread() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Reads the head of a request.
fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

async fn call(client: &HttpClient, address: SocketAddr, method: Method, body: usize) -> String {
    let request = Request::builder()
        .method(method)
        .uri("/")
        .body(httpio::full(vec![b'x'; body]))
        .unwrap();
    let pooled_response = client.send(address, request).await.unwrap();
    let response = pooled_response.read(client, 1024, WAIT_TIMEOUT).await;
    String::from_utf8(response.unwrap().into_body().to_vec()).unwrap()
}

/// Guards against the second copy of a response that arrives while its connection is idle and is then taken for the
/// response to the next request, because the task of the connection has not seen it yet.
#[test]
fn a_connection_that_received_data_while_idle_is_not_used_again() {
    for (name, method, response) in RESPONSES {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (read_sender, read_receiver) = mpsc::channel();
        let (copied_sender, copied_receiver) = mpsc::channel();
        let server = std::thread::spawn(move || {
            let mut first = listener.accept().unwrap().0;
            read_head(&mut first);
            first.write_all(response.as_bytes()).unwrap();
            read_receiver.recv().unwrap();
            first.write_all(response.as_bytes()).unwrap();
            copied_sender.send(()).unwrap();
            let mut second = listener.accept().unwrap().0;
            read_head(&mut second);
            second.write_all(SECOND_RESPONSE.as_bytes()).unwrap();
        });
        let second = current_thread().block_on(async {
            let client = HttpClient::new(None, WAIT_TIMEOUT);
            call(&client, address, method, 0).await;
            // Lets the task of the connection become idle.
            tokio::time::sleep(Duration::from_millis(20)).await;
            read_sender.send(()).unwrap();
            // Blocks the only thread of the runtime, so that the task of the connection does not see the copy.
            copied_receiver.recv().unwrap();
            call(&client, address, Method::GET, 0).await
        });
        assert_eq!(second, "second", "after a response {name}");
        server.join().unwrap();
    }
}

/// Guards against a request that waits for a connection which still sends the body of an earlier, answered request.
#[test]
fn a_connection_that_still_sends_a_body_is_not_used_again() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let mut first = listener.accept().unwrap().0;
        read_head(&mut first);
        first.write_all(RESPONSES[0].2.as_bytes()).unwrap();
        let mut second = listener.accept().unwrap().0;
        read_head(&mut second);
        second.write_all(SECOND_RESPONSE.as_bytes()).unwrap();
    });
    let second = current_thread().block_on(async {
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        let first = call(&client, address, Method::POST, LARGE_BODY_BYTES).await;
        assert_eq!(first, "first");
        let second = call(&client, address, Method::GET, 0);
        tokio::time::timeout(WAIT_TIMEOUT, second).await
    });
    assert_eq!(second.expect("a response in time"), "second");
    server.join().unwrap();
}

/// Guards against idle connections that stay open after their server has closed them or sent unexpected data.
#[test]
fn a_connection_that_received_data_while_idle_is_closed() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (closed_sender, closed_receiver) = tokio::sync::oneshot::channel();
    let server = std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        read_head(&mut socket);
        socket.write_all(SECOND_RESPONSE.as_bytes()).unwrap();
        socket.write_all(SECOND_RESPONSE.as_bytes()).unwrap();
        let result = socket.read_to_end(&mut Vec::new());
        closed_sender.send(result.map_err(|it| it.kind())).unwrap();
    });
    let result = current_thread().block_on(async {
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        call(&client, address, Method::GET, 0).await;
        let result = closed_receiver.await;
        // The pool exists until now, so the connection was not closed with it.
        drop(client);
        result
    });
    let closing = result.unwrap();
    assert_ne!(closing, Err(std::io::ErrorKind::WouldBlock));
    server.join().unwrap();
}

// Guards against a request being sent although the reason to send it has ceased while a connection was opened.
#[test]
fn a_request_that_is_prevented_when_a_connection_is_open_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (received, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut bytes = Vec::new();
            // Reads to the end of the connection, which the client closes without a request.
            let _ = socket.unwrap().read_to_end(&mut bytes);
            let _ = received.send(bytes);
        }
    });
    let client = HttpClient::new(None, WAIT_TIMEOUT);
    let result = current_thread().block_on(async {
        let request = Request::builder().uri("/").body(httpio::empty()).unwrap();
        client.send_if(address, request, &|| None).await
    });
    assert!(matches!(result, Err(httpio::ClientError::NotSent(_))));
    let bytes = requests.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}
