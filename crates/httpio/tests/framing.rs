//! Tests that a response which breaks off never looks complete, on either side of a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use httpio::{BodySender, HttpClient, HttpServer, Request, Response, ServerLimits};

/// Timeout of every read, well above what a loaded machine needs.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns what a raw client reads of a response that `respond` writes, and whether the connection ended in order.
fn read_response<F, R>(version: &str, respond: F) -> (String, Option<ErrorKind>)
where
    F: Fn(BodySender) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default()).unwrap();
    let address = server.address();
    let _handle = runtime.block_on(async {
        server
            .serve(move |_, _| {
                let respond = respond.clone();
                async move {
                    let (sender, body) = httpio::stream(1);
                    tokio::spawn(respond(sender));
                    Response::new(body)
                }
            })
            .unwrap()
    });
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let request = format!("GET / HTTP/{version}\r\nHost: server\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).unwrap();
    let mut received = Vec::new();
    let result = socket.read_to_end(&mut received);
    let text = String::from_utf8(received).unwrap();
    let (_, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (body.to_owned(), result.err().map(|it| it.kind()))
}

async fn send_event(sender: &BodySender) {
    sender.send(Bytes::from_static(b"event")).await.unwrap();
    // `hyper` discards what it has not written yet when a body is aborted.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[test]
fn a_finished_body_is_complete() {
    let finish = |sender: BodySender| async move {
        send_event(&sender).await;
        sender.finish();
    };
    assert_eq!(read_response("1.1", finish).0, "5\r\nevent\r\n0\r\n\r\n");
    assert_eq!(read_response("1.0", finish), ("event".to_owned(), None));
}

/// Guards against a response that looks complete because the task that wrote it ended early.
#[test]
fn a_body_is_aborted_if_its_task_fails() {
    let panic = |sender: BodySender| async move {
        send_event(&sender).await;
        panic!("the relay failed");
    };
    assert_eq!(read_response("1.1", panic).0, "5\r\nevent\r\n");
    let early_return = |sender: BodySender| async move { send_event(&sender).await };
    assert_eq!(read_response("1.1", early_return).0, "5\r\nevent\r\n");
}

/// Guards against a response that looks complete to an HTTP/1.0 client, for which only the end of the connection marks the
/// end of a body.
#[test]
fn an_aborted_body_resets_the_connection_of_an_http_1_0_client() {
    let early_return = |sender: BodySender| async move { send_event(&sender).await };
    let expected = ("event".to_owned(), Some(ErrorKind::ConnectionReset));
    assert_eq!(read_response("1.0", early_return), expected);
}

/// Guards against a response whose last chunk or trailers are cut off and that counts as complete, wherever it breaks off.
#[test]
fn a_response_that_breaks_off_anywhere_is_not_complete() {
    let responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nevent",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5;a=b\r\nevent\r\n0\r\nX-End: 1\r\n\r\n",
    ];
    for response in responses {
        for sent in 0..=response.len() {
            let is_complete = read_with_client(&response[..sent]);
            assert_eq!(
                is_complete,
                sent == response.len(),
                "{:?}",
                &response[..sent]
            );
        }
    }
}

/// Returns whether a client takes `bytes`, after which the connection ends in order, for a complete response.
fn read_with_client(bytes: &str) -> bool {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let bytes = bytes.to_owned();
    let server = std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        let mut request = [0; 1024];
        while !request.ends_with(b"\r\n\r\n") {
            request.rotate_left(1);
            socket.read_exact(&mut request[1023..]).unwrap();
        }
        socket.write_all(bytes.as_bytes()).unwrap();
    });
    let client = HttpClient::new(None, READ_TIMEOUT);
    let request = Request::builder().uri("/").body(httpio::empty()).unwrap();
    let response = runtime.block_on(async {
        let pooled_response = client.send(address, request).await.ok()?;
        pooled_response.read(&client, 1024, READ_TIMEOUT).await.ok()
    });
    server.join().unwrap();
    response.is_some_and(|it| it.body() == "event")
}
