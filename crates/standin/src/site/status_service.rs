//! A service that responds with a status line that no server may send.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};

use crate::site::raw_replica::read_request;

/// Status lines that no final response may have.
pub const INVALID_STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 ",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 2OO OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1  OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
];

/// Starts a service that begins the response to its only request with `status_line`, and returns its address.
///
/// # Errors
///
/// Returns the I/O error if no address can be bound.
pub fn start_status_service(
    status_line: &'static str,
    body: &'static str,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || -> std::io::Result<()> {
        let mut socket = listener.accept()?.0;
        read_request(&socket)?;
        let length = body.len();
        // Fails if the client closes the connection after the status line.
        write!(
            socket,
            "{status_line}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    });
    Ok(address)
}
