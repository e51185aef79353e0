//! Requests of a process that does not run between the decision to send them and the write.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use httpio::{ClientError, HttpClient, Request, boot_clock};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the process does not run.
const SUSPENSION: Duration = Duration::from_millis(400);

/// Time after the decision by which a request must be written.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Time in which a request that was written arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Starts a server that responds to each request and counts them.
fn start_server(requests: &Arc<AtomicUsize>) -> SocketAddr {
    let requests = requests.clone();
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let requests = requests.clone();
            std::thread::spawn(move || serve(socket, &requests));
        }
    });
    address
}

fn serve(mut socket: TcpStream, requests: &AtomicUsize) -> std::io::Result<()> {
    let mut head = Vec::new();
    loop {
        let mut byte = [0];
        socket.read_exact(&mut byte)?;
        head.extend(byte);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            requests.fetch_add(1, Ordering::Relaxed);
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        }
    }
}

/// Sends a request on a kept connection while the process does not run for `suspension` after it has decided to. Returns the
/// error, if any, and the number of requests that arrived.
fn send_during(suspension: Duration, is_conditional: bool) -> (Option<ClientError>, usize) {
    let requests = Arc::<AtomicUsize>::default();
    let address = start_server(&requests);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let request = || Request::builder().uri("/").body(httpio::empty()).unwrap();
    let error = runtime.block_on(async {
        let client = HttpClient::new(None, CONNECT_TIMEOUT);
        let first = client.send(address, request()).await.unwrap();
        first.read(&client, 1024, CONNECT_TIMEOUT).await.unwrap();
        let (decided, decisions) = mpsc::channel();
        let may_send = || {
            decided.send(()).unwrap();
            Some(boot_clock::now() + MAX_DELAY)
        };
        let send = async {
            if is_conditional {
                client.send_if(address, request(), &may_send).await
            } else {
                client.send(address, request()).await
            }
        };
        // The task of the connection runs only after both have been polled.
        let suspend = async { std::thread::sleep(suspension) };
        let (sent, ()) = tokio::join!(send, suspend);
        assert_eq!(decisions.try_iter().count(), usize::from(is_conditional));
        sent.err()
    });
    std::thread::sleep(ARRIVAL_TIME);
    (error, requests.load(Ordering::Relaxed) - 1)
}

/// Guards against VERSION and WHOLE by requests and orders that a process writes when it is resumed, though what allowed them
/// held only before.
#[test]
fn a_request_is_not_written_long_after_the_decision_to_send_it() {
    let (error, arrived) = send_during(SUSPENSION, true);
    let Some(ClientError::NotSent(err)) = error else {
        panic!("{error:?}");
    };
    assert_eq!(err.kind(), std::io::ErrorKind::Interrupted);
    assert_eq!(arrived, 0);
}

#[test]
fn other_requests_are_sent() {
    for (suspension, is_conditional) in [(Duration::ZERO, true), (SUSPENSION, false)] {
        let (error, arrived) = send_during(suspension, is_conditional);
        assert!(error.is_none(), "{error:?}");
        assert_eq!(arrived, 1);
    }
}
