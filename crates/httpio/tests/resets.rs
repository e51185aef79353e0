//! How connections end whose request was cancelled.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use httpio::{HttpClient, Request};

/// Cancels a request that the other side has accepted and not read, and returns how its reading then ends.
fn end_of_cancelled(client: &HttpClient) -> std::io::Result<usize> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut accepted = runtime.block_on(async {
        let request = Request::builder().uri("/").body(httpio::full("work"));
        let sending = client.send(address, request.unwrap());
        let accepting = tokio::task::spawn_blocking(move || listener.accept().unwrap().0);
        let accepted = tokio::select! {
            _ = sending => panic!("nobody answers"),
            accepted = accepting => accepted.unwrap(),
        };
        // The connection's task sees that the request is gone and closes.
        tokio::time::sleep(Duration::from_millis(50)).await;
        accepted
    });
    drop(runtime);
    let mut read = Vec::new();
    accepted.read_to_end(&mut read)
}

/// A replica on a frozen machine found the requests of clients that had left when it woke, because their connections ended
/// in order.
#[test]
fn cancelled_requests_are_reset_where_that_is_wanted() {
    let client = || HttpClient::new(None, Duration::from_secs(5));
    assert!(end_of_cancelled(&client()).is_ok());
    let end = end_of_cancelled(&client().with_reset_on_close());
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
