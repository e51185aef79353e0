//! Tests how connections are closed when their request is cancelled.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use httpio::{HttpClient, Request};

/// Cancels a request whose connection the server has accepted but not read from, and returns the result of the
/// server's subsequent read.
fn read_after_cancellation(client: &HttpClient) -> std::io::Result<usize> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut accepted = runtime.block_on(async {
        let request = Request::builder().uri("/").body(httpio::full("work"));
        let send = client.send(address, request.unwrap());
        // The system accepts a connection before the client's task has it, so the request may not have been sent yet.
        let accept = tokio::task::spawn_blocking(move || {
            let accepted = listener.accept().unwrap().0;
            accepted.peek(&mut [0]).unwrap();
            accepted
        });
        let accepted = tokio::select! {
            _ = send => panic!("the server sends no response"),
            accepted = accept => accepted.unwrap(),
        };
        // Gives the connection task time to notice the cancellation and to close the connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        accepted
    });
    drop(runtime);
    let mut received = Vec::new();
    accepted.read_to_end(&mut received)
}

/// Guards against a replica that receives cancelled requests when its frozen host resumes. This happened
/// when the clients closed their connections gracefully.
#[test]
fn cancelled_requests_are_reset_if_configured() {
    let client = || HttpClient::new(None, Duration::from_secs(5));
    assert!(read_after_cancellation(&client()).is_ok());
    let result = read_after_cancellation(&client().with_reset_on_close());
    assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
