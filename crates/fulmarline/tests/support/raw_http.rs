//! A raw HTTP client over a TCP socket, which can send malformed requests.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Timeout for a response, well above what a loaded machine needs.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends `request` unchanged and returns the status, result and message of the response.
///
/// With [`Shutdown::Write`], closes the sending side after `request`, so that the rest of a truncated request never
/// arrives; otherwise the connection stays open.
pub fn send(address: SocketAddr, request: &[u8], shutdown_mode: Shutdown) -> String {
    let mut socket = TcpStream::connect(address).expect("the entry listens");
    socket
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout can be set");
    // The entry may refuse the request and close the connection before it has read all of it.
    let _ = socket.write_all(request);
    if shutdown_mode == Shutdown::Write {
        let _ = socket.shutdown(Shutdown::Write);
    }
    let response = read_response(&mut socket);
    summary(&response)
}

fn read_response(socket: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&response) {
        match socket.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether the body has the length that the header declares.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
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

/// Formats the status, result and message of a response.
fn summary(response: &str) -> String {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return format!("no valid response: {response:?}");
    };
    let status = head.split(' ').nth(1).unwrap_or_default();
    let result = header(head, "fulmarline-result").unwrap_or("no result");
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let message = body["message"].as_str().unwrap_or_default();
    format!("{status}, {result}: {message}")
}

/// Builds a request with a valid token and, unless `headers` contains one, a matching `content-length`.
pub fn request(request_line: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut head =
        format!("{request_line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer token-north\r\n");
    for it in headers {
        let _ = write!(head, "{it}\r\n");
    }
    if !headers.iter().any(|it| it.starts_with("content-length")) {
        let _ = write!(head, "content-length: {}\r\n", body.len());
    }
    [head.as_bytes(), b"\r\n", body].concat()
}
