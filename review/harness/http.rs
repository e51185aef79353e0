//! A minimal HTTP/1.1 server and client for the stand-ins, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that a stand-in has received.
pub struct HttpRequest {
    pub target: String,
    /// Names are in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |it| it.1);
        for pair in query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            if key == name {
                return percent_decode(value);
            }
        }
        String::new()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A response with a length.
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Starts a server; `handler` runs on the thread of the connection.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(HttpRequest, &mut TcpStream) -> Option<HttpResponse> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let Ok(socket) = socket else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let _ = serve_connection(socket, &*handler);
            });
        }
    });
    Ok(bound)
}

fn serve_connection(
    mut socket: TcpStream,
    handler: &(dyn Fn(HttpRequest, &mut TcpStream) -> Option<HttpResponse> + Send + Sync),
) -> std::io::Result<()> {
    let mut reader = BufReader::new(socket.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        // Without a response, the handler has written one or wants the connection closed.
        let Some(response) = handler(request, &mut socket) else {
            return Ok(());
        };
        socket.write_all(&encode(&response))?;
    }
    Ok(())
}

pub fn encode(response: &HttpResponse) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {} X\r\nContent-Length: {}\r\n",
        response.status,
        response.body.len()
    );
    for (name, value) in &response.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}

fn read_head(
    reader: &mut impl BufRead,
) -> std::io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<HttpRequest>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let target = first.split(' ').nth(1).unwrap_or("").to_owned();
    let body = if headers
        .get("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"))
    {
        read_chunks(reader)?
    } else {
        let length = headers
            .get("content-length")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(HttpRequest {
        target,
        headers,
        body,
    }))
}

/// A response that a client has received.
pub struct ClientResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    /// Whether the body arrived up to its end.
    pub complete: bool,
}

/// A kept connection of a client.
pub struct ClientChannel {
    socket: TcpStream,
    reader: BufReader<TcpStream>,
}

impl ClientChannel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_write_timeout(Some(CLIENT_TIMEOUT))?;
        socket.set_read_timeout(Some(CLIENT_TIMEOUT))?;
        let reader = BufReader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    /// Sends a request; `Err` means that the channel broke while it was sent.
    pub fn send(&mut self, head: &str, body: &[u8]) -> std::io::Result<()> {
        let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        self.socket.write_all(text.as_bytes())?;
        self.socket.write_all(body)
    }

    /// Sends a request whose body takes `upload_time`.
    pub fn send_slowly(
        &mut self,
        head: &str,
        body: &[u8],
        upload_time: Duration,
    ) -> std::io::Result<()> {
        let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        self.socket.write_all(text.as_bytes())?;
        let started = Instant::now();
        let count = body.len().div_ceil(CHUNK_BYTES);
        for (index, chunk) in body.chunks(CHUNK_BYTES).enumerate() {
            let due = started + upload_time.mul_f64((index + 1) as f64 / count as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.socket.write_all(chunk)?;
        }
        Ok(())
    }

    /// Reads the response; `None` if the channel ended without one.
    pub fn receive(&mut self) -> std::io::Result<Option<ClientResponse>> {
        let Some((first, headers)) = read_head(&mut self.reader)? else {
            return Ok(None);
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let complete = if headers
            .get("transfer-encoding")
            .is_some_and(|it| it.contains("chunked"))
        {
            read_chunks(&mut self.reader).is_ok()
        } else {
            let length = headers
                .get("content-length")
                .and_then(|it| it.parse().ok())
                .unwrap_or(0);
            self.reader.read_exact(&mut vec![0; length]).is_ok()
        };
        Ok(Some(ClientResponse {
            status,
            headers,
            complete,
        }))
    }
}

/// Sends one request on a new channel.
pub fn fetch(
    address: SocketAddr,
    head: &str,
    body: &[u8],
) -> std::io::Result<Option<ClientResponse>> {
    let mut channel = ClientChannel::open(address)?;
    channel.send(head, body)?;
    channel.receive()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes
            .get(index + 1..index + 3)
            .and_then(|it| std::str::from_utf8(it).ok());
        match (
            bytes[index],
            hex.and_then(|it| u8::from_str_radix(it, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                index += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Time for which a client waits for progress, longer than the time budget of any request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the parts of a slow upload.
const CHUNK_BYTES: usize = 64 * 1024;
