//! Planned stops of a server.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use httpio::{HttpServer, Response, ServerLimits};

/// Number of connections in the listener's queue at the stop.
const CONNECTIONS: usize = 40;

/// Guards against requests that were cut off at a planned stop under load: connections that the kernel had accepted, but the
/// server had not, were reset when the listener was closed.
#[test]
fn connections_in_the_queue_of_the_listener_are_served_after_a_stop() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let _guard = runtime.enter();
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default()).unwrap();
    let address = server.address();
    let handle = server
        .serve(|_, _| async { Response::new(httpio::full("answer")) })
        .unwrap();
    // The runtime does not run yet, so all connections wait in the queue.
    let clients: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = TcpStream::connect(address).unwrap();
            client
                .write_all(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
                .unwrap();
            client
        })
        .collect();
    handle.stop();
    assert!(!handle.is_finished());
    runtime.block_on(async {
        let readers = clients.into_iter().map(|mut client| {
            tokio::task::spawn_blocking(move || {
                let mut response = String::new();
                client.read_to_string(&mut response).map(|_| response)
            })
        });
        // All readers are started before the first one is awaited.
        for reader in readers.collect::<Vec<_>>() {
            let response = reader.await.unwrap().unwrap();
            let is_whole = response.starts_with("HTTP/1.1 200") && response.ends_with("answer");
            assert!(is_whole, "{response}");
        }
        while !handle.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
