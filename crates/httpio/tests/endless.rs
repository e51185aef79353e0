//! Tests what responses without end cost the client that receives them.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use httpio::{HttpClient, Request};
use hyper::body::{Body, Frame};

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of frames of a body, each of which is a part of a larger buffer.
const FRAME_COUNT: usize = 1000;

/// Time without progress after which a body is an error.
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of turns that another task takes while data without end is received.
const TURN_COUNT: usize = 10;

/// Maximum number of bytes that may be received between two turns.
const MAX_TURN_BYTES: usize = 1024 * 1024;

/// Number of bytes that the sockets of a connection may hold.
const MAX_SOCKET_BYTES: usize = 32 * 1024 * 1024;

/// A body of frames that count how many of them exist.
struct CountedBody {
    remaining: usize,
    live: Arc<AtomicUsize>,
    peak: Arc<AtomicUsize>,
}

/// The buffer of a frame.
struct CountedBuffer(Arc<AtomicUsize>);

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        b"x"
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        self.remaining -= 1;
        let live = self.live.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(live, Ordering::Relaxed);
        let buffer = CountedBuffer(self.live.clone());
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(buffer)))))
    }
}

fn current_thread() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Reads the head of a request. A response that arrives before its request ends the connection.
fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
}

/// Starts a server that responds with `head` and then `unit` without end, and counts the bytes that it has written.
fn start_server(head: &'static str, unit: &'static str, written: &Arc<AtomicUsize>) -> SocketAddr {
    let written = written.clone();
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        let block = unit.repeat(1 + 64 * 1024 / unit.len());
        read_head(&mut socket);
        socket.write_all(head.as_bytes()).unwrap();
        // Fails when the client closes the connection.
        while socket.write_all(block.as_bytes()).is_ok() {
            written.fetch_add(block.len(), Ordering::Relaxed);
        }
    });
    address
}

/// Guards against a small body in many chunks that keeps all buffers of its connection in memory.
#[test]
fn frames_are_released_while_a_body_is_read() {
    let peak = Arc::new(AtomicUsize::new(0));
    let body = CountedBody {
        remaining: FRAME_COUNT,
        live: Arc::default(),
        peak: peak.clone(),
    };
    let read = httpio::read_limited(body, FRAME_COUNT, WAIT_TIMEOUT);
    assert_eq!(current_thread().block_on(read).unwrap().len(), FRAME_COUNT);
    assert_eq!(peak.load(Ordering::Relaxed), 1);
}

/// Guards against requests that wait until their deadline for a head which has no end.
#[test]
fn a_head_without_end_is_an_error() {
    let heads = [
        ("HTTP/1.1 200 ", "x"),
        ("HTTP/1.1 200 OK\r\nX-More: ", "x"),
        ("HTTP/1.1 200 OK\r\n", "X-More: x\r\n"),
        ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ];
    for (head, unit) in heads {
        let address = start_server(head, unit, &Arc::default());
        let result = current_thread().block_on(async {
            let client = HttpClient::new(None, WAIT_TIMEOUT);
            let request = Request::builder().uri("/").body(httpio::empty()).unwrap();
            tokio::time::timeout(WAIT_TIMEOUT, client.send(address, request)).await
        });
        let result = result.unwrap_or_else(|_| panic!("no result: {head:?}, then {unit:?}"));
        assert!(result.is_err(), "{head:?}, then {unit:?}");
    }
}

/// Guards against a server whose data without end stops all other tasks of a process for seconds.
#[test]
fn other_tasks_run_while_data_without_end_is_received() {
    let written = Arc::new(AtomicUsize::new(0));
    let address = start_server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
        " ",
        &written,
    );
    let exchange = async move {
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        let request = Request::builder().uri("/").body(httpio::empty()).unwrap();
        let response = client.send(address, request).await.unwrap();
        let read = response.read(&client, 1024, WAIT_TIMEOUT);
        let other_task = async {
            for _ in 0..TURN_COUNT {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            result = read => panic!("the body has no end: {result:?}"),
            () = other_task => {}
        }
    };
    // The runtime polls the future of `block_on` less often than spawned tasks.
    let runtime = current_thread();
    runtime.block_on(runtime.spawn(exchange)).unwrap();
    let written = written.load(Ordering::Relaxed);
    assert!(
        written < TURN_COUNT * MAX_TURN_BYTES + MAX_SOCKET_BYTES,
        "{written} bytes were received while another task ran {TURN_COUNT} times"
    );
}

/// Guards against a store or an origin whose body arrives byte by byte and is awaited for as long as it does.
#[test]
fn a_body_that_makes_no_progress_is_an_error() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut socket = listener.accept().unwrap().0;
        read_head(&mut socket);
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        socket.write_all(head.as_bytes()).unwrap();
        // Fails when the client closes the connection.
        while socket.write_all(b"x").is_ok() {
            std::thread::sleep(IDLE_TIMEOUT / 20);
        }
    });
    let result = current_thread().block_on(async {
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        let request = Request::builder().uri("/").body(httpio::empty()).unwrap();
        let response = client.send(address, request).await.unwrap();
        let read = response.read_with_idle_timeout(&client, 100_000, IDLE_TIMEOUT);
        tokio::time::timeout(WAIT_TIMEOUT, read).await
    });
    let failure = result.expect("a result in time").map(|it| it.status());
    assert_eq!(
        failure.map_err(|it| it.kind()),
        Err(std::io::ErrorKind::TimedOut)
    );
}
