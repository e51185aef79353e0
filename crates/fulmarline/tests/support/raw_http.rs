//! Requests written byte by byte, so that they can be broken in any way.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Longest wait for an answer; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Sends `request` as it is and returns status, result and message of the answer.
///
/// With [`Shutdown::Write`] the rest of the request never comes; otherwise the connection stays open.
pub fn send(address: SocketAddr, request: &[u8], end: Shutdown) -> String {
    let mut socket = TcpStream::connect(address).expect("the entry listens");
    socket
        .set_read_timeout(Some(PATIENCE))
        .expect("a timeout can be set");
    // The entry may refuse and close before it has read everything.
    let _ = socket.write_all(request);
    if end == Shutdown::Write {
        let _ = socket.shutdown(Shutdown::Write);
    }
    let answer = read_answer(&mut socket);
    summary(&answer)
}

fn read_answer(socket: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut piece = [0; 4096];
    while !is_whole(&answer) {
        match socket.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&piece[..count]),
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    header(head, "content-length").is_some_and(|it| it.parse() == Ok(body.len()))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|it| it.split_once(": "));
    lines
        .find(|(it, _)| it.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

fn summary(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return format!("no answer {answer:?}");
    };
    let status = head.split(' ').nth(1).unwrap_or_default();
    let result = header(head, "fulmarline-result").unwrap_or("no result");
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let message = body["message"].as_str().unwrap_or_default();
    format!("{status}, {result}: {message}")
}

/// Builds a request with a valid token.
pub fn request(line: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer token-north\r\n");
    for it in headers {
        let _ = write!(bytes, "{it}\r\n");
    }
    if !headers.iter().any(|it| it.starts_with("content-length")) {
        let _ = write!(bytes, "content-length: {}\r\n", body.len());
    }
    [bytes.as_bytes(), b"\r\n", body].concat()
}
