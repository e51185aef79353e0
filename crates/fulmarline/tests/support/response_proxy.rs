//! A proxy before an engine or a service, which changes responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Starts a proxy before `target` and returns its address. It forwards each request, and `relay` the response to it from the
/// second socket to the first one; the last argument is the text of the request.
pub fn start(
    target: SocketAddr,
    relay: impl Fn(&TcpStream, &TcpStream, &str) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let relay = Arc::new(relay);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let relay = relay.clone();
            // The agent may close the connection first.
            std::thread::spawn(move || -> std::io::Result<()> {
                let request = read_request(&socket)?;
                let upstream = TcpStream::connect(target)?;
                (&upstream).write_all(&request)?;
                relay(&socket, &upstream, &String::from_utf8_lossy(&request))
            });
        }
    });
    address
}

/// Reads a request with a length, and demands that its connection is closed after the response.
fn read_request(socket: &TcpStream) -> std::io::Result<Vec<u8>> {
    let mut reader = BufReader::new(socket);
    let mut request = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if let Some((name, value)) = line.trim_end().split_once(": ")
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.parse().unwrap_or(0);
        }
        if line == "\r\n" {
            request.extend_from_slice(b"connection: close\r\n\r\n");
            break;
        }
        request.extend_from_slice(line.as_bytes());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.extend_from_slice(&body);
    Ok(request)
}
