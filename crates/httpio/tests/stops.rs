//! Planned stops of a server.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use httpio::{HttpServer, Response, ServerLimits};
use tokio::runtime::{Builder, Runtime};

/// Number of connections at the stop.
const CONNECTIONS: usize = 40;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// Pause in which the server reads what clients have sent, shorter than it waits for the rest of a request.
const READ_PAUSE: Duration = Duration::from_millis(50);

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

/// Guards against requests that were cut off at a planned stop under load: a request that had arrived on a kept-open
/// connection, but had not been read yet, was discarded.
#[test]
fn requests_that_have_arrived_on_open_connections_are_served_after_a_stop() {
    check_open_connections(|runtime, clients, stop| {
        for client in clients.iter_mut() {
            client.write_all(REQUEST).unwrap();
        }
        stop();
        runtime.block_on(tokio::time::sleep(READ_PAUSE));
    });
}

/// Guards against requests that were cut off at a planned stop under load: the connection was closed between two
/// packets of a head.
#[test]
fn a_request_whose_head_was_partially_received_is_served_after_a_stop() {
    check_open_connections(|runtime, clients, stop| {
        let (start, rest) = REQUEST.split_at(REQUEST.len() / 2);
        for client in clients.iter_mut() {
            client.write_all(start).unwrap();
        }
        runtime.block_on(tokio::time::sleep(READ_PAUSE));
        stop();
        runtime.block_on(tokio::time::sleep(READ_PAUSE));
        for client in clients.iter_mut() {
            client.write_all(rest).unwrap();
        }
    });
}

/// Opens connections that have received one response each, lets `send_and_stop` send another request on each of them
/// and stop the server, and checks that all are served before their connections are closed.
fn check_open_connections(send_and_stop: impl FnOnce(&Runtime, &mut [TcpStream], &dyn Fn())) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let _guard = runtime.enter();
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default()).unwrap();
    let address = server.address();
    let handle = server
        .serve(|_, _| async { Response::new(httpio::full("answer")) })
        .unwrap();
    let mut clients = runtime.block_on(async {
        let clients = (0..CONNECTIONS).map(|_| {
            tokio::task::spawn_blocking(move || {
                let mut client = TcpStream::connect(address).unwrap();
                client.write_all(REQUEST).unwrap();
                let mut response = Vec::new();
                while !response.ends_with(b"answer") {
                    let mut bytes = [0; 1024];
                    let count = client.read(&mut bytes).unwrap();
                    assert_ne!(count, 0, "the connection was closed");
                    response.extend_from_slice(&bytes[..count]);
                }
                client
            })
        });
        let mut opened = Vec::new();
        for client in clients.collect::<Vec<_>>() {
            opened.push(client.await.unwrap());
        }
        opened
    });
    send_and_stop(&runtime, &mut clients, &|| handle.stop());
    let served = runtime.block_on(async {
        let readers = clients.into_iter().map(|mut client| {
            tokio::task::spawn_blocking(move || {
                let mut response = String::new();
                let read = client.read_to_string(&mut response);
                read.is_ok() && response.starts_with("HTTP/1.1 200") && response.ends_with("answer")
            })
        });
        let mut served = 0;
        for reader in readers.collect::<Vec<_>>() {
            served += usize::from(reader.await.unwrap());
        }
        while !handle.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        served
    });
    assert_eq!(served, CONNECTIONS, "requests served after the stop");
}
