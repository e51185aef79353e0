//! Clients that hold memory and descriptors of an entry: unfinished bodies, large heads, unread responses, idle connections.

#[path = "support/crowd_site.rs"]
mod crowd_site;
#[path = "support/site.rs"]
mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crowd_site::{CrowdSite, MAX_BODY, Target};

/// Maximum size of a head.
const MAX_HEAD: usize = 16_384;

/// Clients with large requests at each address.
const LARGE_CLIENTS: usize = 24;

/// Clients with small requests at each address.
const SMALL_CLIENTS: usize = 100;

/// Idle clients at each address. The front accepts fewer, and those of all addresses exceed [`MAX_FDS`].
const IDLE_CLIENTS: usize = 720;

/// Returns the head of a request with an id of its own.
fn head(method: &str, path: &str, fields: &str) -> String {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let id = REQUESTS.fetch_add(1, Ordering::Relaxed);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd-{id:06}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Token key-1\r\n{fields}\r\n"
    )
}

/// Writes `parts` until the entry refuses the request or stops reading.
fn write(socket: &mut TcpStream, parts: &[Vec<u8>]) {
    for part in parts {
        if socket.write_all(part).is_err() {
            return;
        }
    }
}

/// Returns a head with as many fields of five bytes as its maximum size permits.
fn short_fields(method: &str, path: &str, fields: &str) -> String {
    let rest = MAX_HEAD - head(method, path, fields).len();
    let names = ('a'..='z').cycle().take(rest / 5);
    let short: String = names.map(|it| format!("{it}:1\r\n")).collect();
    head(method, path, &(short + fields))
}

fn unfinished_body(name: &str, piece: usize, is_chunked: bool) {
    let site = CrowdSite::start(name);
    site.check(
        &site.targets(),
        LARGE_CLIENTS,
        |socket, path| {
            let length = format!("Content-Length: {MAX_BODY}\r\n");
            let framing = if is_chunked {
                "Transfer-Encoding: chunked\r\n"
            } else {
                &length
            };
            let mut parts = vec![head("POST", path, framing).into_bytes()];
            let body = vec![b'x'; MAX_BODY - 100];
            for piece in body.chunks(piece) {
                let mut part = Vec::new();
                if is_chunked {
                    part.extend(format!("{:x}\r\n", piece.len()).into_bytes());
                }
                part.extend(piece);
                if is_chunked {
                    part.extend(b"\r\n");
                }
                parts.push(part);
            }
            write(socket, &parts);
        },
        None,
    );
}

/// Guards against an entry that runs out of memory because many bodies arrive and do not end.
#[test]
fn unfinished_bodies_in_one_piece_stay_within_memory() {
    unfinished_body("whole", MAX_BODY, false);
}

/// Guards against an entry that runs out of memory because many bodies arrive in small pieces and do not end.
#[test]
fn unfinished_bodies_in_small_pieces_stay_within_memory() {
    unfinished_body("pieces", 2048, false);
}

/// Guards against an entry that runs out of memory because many bodies of unknown length do not end.
#[test]
fn unfinished_chunked_bodies_stay_within_memory() {
    unfinished_body("chunked", 8192, true);
}

/// Guards against an entry that keeps what arrives of a body which exceeds the limit.
#[test]
fn bodies_over_the_limit_stay_within_memory() {
    let site = CrowdSite::start("over");
    site.check(
        &site.targets(),
        LARGE_CLIENTS,
        |socket, path| {
            let fields = format!("Content-Length: {}\r\n", 8 * MAX_BODY);
            let mut parts = vec![head("POST", path, &fields).into_bytes()];
            parts.extend(vec![vec![b'x'; 65536]; 8 * MAX_BODY / 65536 - 1]);
            write(socket, &parts);
        },
        None,
    );
}

/// Guards against an entry that refuses a legal request because it has many fields.
#[test]
fn a_request_of_many_short_fields_is_served() {
    let site = CrowdSite::start("fields-alone");
    assert_many_fields_are_served(site.site.front(0), "/large/1");
}

/// Guards against a directory or a readiness check that refuses a legal request because it has many fields.
#[test]
fn a_request_of_many_short_fields_is_served_at_other_addresses() {
    let site = CrowdSite::start("fields-others");
    for target in &site.targets()[2..] {
        assert_many_fields_are_served(target.address, target.path);
    }
}

fn assert_many_fields_are_served(address: SocketAddr, path: &str) {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(site::WAIT_TIMEOUT)).unwrap();
    let request = short_fields("GET", path, "");
    socket.write_all(request.as_bytes()).unwrap();
    let mut status = [0; 12];
    socket.read_exact(&mut status).unwrap();
    assert_eq!(
        String::from_utf8_lossy(&status),
        "HTTP/1.1 200",
        "the request is refused"
    );
}

/// Guards against an entry that runs out of memory because parsed fields take many times their size on the wire.
#[test]
fn requests_of_many_short_fields_stay_within_memory() {
    let site = CrowdSite::start("fields");
    site.check(
        &site.targets(),
        2 * SMALL_CLIENTS,
        |socket, path| {
            let head = short_fields("POST", path, "Content-Length: 100\r\n");
            write(socket, &[head.into_bytes()]);
        },
        None,
    );
}

/// Guards against an entry that keeps the responses to requests whose client does not read.
#[test]
fn pipelined_requests_without_reads_stay_within_memory() {
    let site = CrowdSite::start("pipelined");
    site.check(
        &site.targets(),
        SMALL_CLIENTS,
        |socket, path| {
            let request = head("GET", path, "");
            write(socket, &[request.repeat(1000).into_bytes()]);
        },
        None,
    );
}

/// Requests a large response and reads its first byte, if it arrives in time.
fn begin_large_response(socket: &mut TcpStream, path: &str) {
    write(socket, &[head("GET", path, "").into_bytes()]);
    let _ = socket.read(&mut [0; 1]);
}

/// Guards against an entry that runs out of memory because clients do not read large responses.
#[test]
fn unread_responses_stay_within_memory() {
    let site = CrowdSite::start("unread");
    let target = Target {
        path: "/large/1",
        ..site.targets()[0]
    };
    let drip = |_: &mut TcpStream| {};
    site.check(&[target], LARGE_CLIENTS, begin_large_response, Some(drip));
}

/// Guards against an entry that runs out of memory because clients read large responses slowly.
#[test]
fn slowly_read_responses_stay_within_memory() {
    let site = CrowdSite::start("slow-reads");
    let target = Target {
        path: "/large/1",
        ..site.targets()[0]
    };
    let drip = |socket: &mut TcpStream| {
        let _ = socket.set_nonblocking(true);
        let _ = socket.read(&mut [0; 1024]);
    };
    site.check(&[target], LARGE_CLIENTS, begin_large_response, Some(drip));
}

/// Guards against an entry that has no room for others because many clients send their requests very slowly.
#[test]
fn slowly_sent_requests_leave_room_for_others() {
    let site = CrowdSite::start("slow-sends");
    let drip = |socket: &mut TcpStream| {
        let _ = socket.set_nonblocking(true);
        let _ = socket.write(b"x");
    };
    let send = |socket: &mut TcpStream, path: &str| {
        let head = head("POST", path, "Content-Length: 1000\r\n");
        write(socket, &[head.into_bytes()]);
    };
    site.check(&site.targets(), IDLE_CLIENTS, send, Some(drip));
}

/// Guards against an entry that has no descriptors or no room for others because clients stop within the head of a request.
#[test]
fn unfinished_heads_leave_room_for_others() {
    let site = CrowdSite::start("heads");
    let send = |socket: &mut TcpStream, path: &str| {
        for piece in [&head("GET", path, "")[..40], "\r\nA: 1\r\n", "B: 1"] {
            std::thread::sleep(Duration::from_millis(10));
            write(socket, &[piece.as_bytes().to_vec()]);
        }
    };
    site.check(&site.targets(), IDLE_CLIENTS, send, None);
}

/// Guards against an entry that has no descriptors or no room for others because clients keep idle connections.
#[test]
fn idle_connections_leave_room_for_others() {
    let site = CrowdSite::start("idle");
    let send = |socket: &mut TcpStream, path: &str| {
        write(socket, &[head("GET", path, "").into_bytes()]);
        let _ = socket.read(&mut [0; 4096]);
    };
    site.check(&site.targets(), IDLE_CLIENTS, send, None);
}
