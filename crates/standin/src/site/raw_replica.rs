//! A replica that writes its responses to the socket itself, with any framing, any end and any number of them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::site::site_replica::replica_row;

/// Delay of a reset, in which the receiver reads what was sent before; a reset discards the rest.
const RESET_DELAY: Duration = Duration::from_millis(40);

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawFraming {
    /// By a length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

/// A response: the complete body as parts, of which only a prefix may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// The status code and the reason phrase.
    pub status: &'static str,
    /// How the end of the body is marked.
    pub framing: RawFraming,
    /// The parts of the complete body; each of them is sent as one chunk.
    pub parts: Vec<String>,
    /// Number of bytes of the body that are sent.
    pub sent_bytes: usize,
    /// What follows the sent bytes.
    pub end: RawEnd,
    /// Pause between the head and the first part. Without one, they are written together.
    pub first_pause: Duration,
    /// Pause before the last part that is sent.
    pub pause: Duration,
}

/// What follows the last byte of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// The length or the last chunk marks the sent bytes as the complete body.
    Marked,
    /// The connection is closed in order. A length or chunks show that the body is incomplete.
    Closed,
    /// The connection is reset.
    Reset,
}

/// What a replica does with a connection after it has responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawConnection {
    /// It waits for the next request.
    KeepOpen,
    /// It closes the connection.
    Close,
}

/// The head of a received request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// The path and the query.
    pub path: String,
    /// The headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Number of earlier requests with the same id at all replicas that share the counter.
    pub earlier_runs: u64,
}

/// Requests that were received and those that began, shared by the replicas of a service.
#[derive(Clone, Debug, Default)]
pub struct RunCounts(Arc<Mutex<RunLog>>);

#[derive(Debug, Default)]
struct RunLog {
    received: BTreeMap<String, u64>,
    starts: Vec<RunStart>,
}

/// The moment at which a replica began to send the body of a response. A request whose connection was closed before does
/// not begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStart {
    /// Id of the request.
    pub request: String,
    /// Id of the replica.
    pub replica: String,
    /// When it began.
    pub at: Instant,
}

/// A replica on a loopback address, which runs until the test process ends.
#[derive(Debug)]
pub struct RawReplica {
    id: String,
    address: SocketAddr,
    open_count: Arc<AtomicUsize>,
}

impl RawRequest {
    /// Returns the id of the request, or an empty string if it has none.
    pub fn id(&self) -> &str {
        self.headers.get("request-id").map_or("", String::as_str)
    }
}

impl RunCounts {
    /// Returns the number of runs of the request with the id `id`.
    pub fn get(&self, id: &str) -> u64 {
        self.lock().received.get(id).copied().unwrap_or(0)
    }

    /// Returns the starts of all requests in order.
    pub fn starts(&self) -> Vec<RunStart> {
        self.lock().starts.clone()
    }

    /// Counts a run and returns the number of earlier ones.
    pub(super) fn record(&self, id: &str) -> u64 {
        let mut log = self.lock();
        let count = log.received.entry(id.to_owned()).or_default();
        *count += 1;
        *count - 1
    }

    pub(super) fn record_start(&self, request: &str, replica: &str) {
        let start = RunStart {
            request: request.to_owned(),
            replica: replica.to_owned(),
            at: Instant::now(),
        };
        self.lock().starts.push(start);
    }

    fn lock(&self) -> MutexGuard<'_, RunLog> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock of the counts")
    }
}

impl RawResponse {
    /// Creates a complete response.
    pub fn complete(framing: RawFraming, parts: Vec<String>) -> Self {
        Self {
            status: "200 OK",
            framing,
            sent_bytes: parts.iter().map(String::len).sum(),
            parts,
            end: RawEnd::Marked,
            first_pause: Duration::ZERO,
            pause: Duration::ZERO,
        }
    }

    /// Writes the response of `replica` to the request with the id `id`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the entry has closed the connection.
    pub fn write(&self, id: &str, replica: &str, socket: &TcpStream) -> std::io::Result<()> {
        self.write_and_record(id, replica, socket, || {})
    }

    /// Writes the response as [`Self::write`] does. Calls `record_start` once the head has been sent
    /// and any silence after it is over, if the connection is still open.
    fn write_and_record(
        &self,
        id: &str,
        replica: &str,
        mut socket: &TcpStream,
        record_start: impl FnOnce(),
    ) -> std::io::Result<()> {
        let (bytes, first_part, last_part) = self.encode(id, replica);
        let mut sent = 0;
        if !self.first_pause.is_zero() {
            socket.write_all(&bytes[..first_part])?;
            sent = first_part;
            std::thread::sleep(self.first_pause);
        }
        if is_closed(socket)? {
            return Ok(());
        }
        record_start();
        socket.write_all(&bytes[sent..last_part])?;
        std::thread::sleep(self.pause);
        socket.write_all(&bytes[last_part..])?;
        if self.end == RawEnd::Reset {
            reset_on_close(socket)?;
        }
        Ok(())
    }

    /// Returns the bytes to send and the positions of the first and the last part in them.
    fn encode(&self, id: &str, replica: &str) -> (Vec<u8>, usize, usize) {
        let framing = match self.framing {
            RawFraming::Length => {
                let total = self.parts.iter().map(String::len).sum();
                let length = if self.end == RawEnd::Marked {
                    self.sent_bytes
                } else {
                    total
                };
                format!("Content-Length: {length}\r\n")
            }
            RawFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            RawFraming::Connection => String::new(),
        };
        let mut bytes = format!(
            "HTTP/1.1 {}\r\nRequest-Id: {id}\r\nRoute-Stamp: stamp.{replica}\r\nConnection: close\r\n{framing}\r\n",
            self.status
        )
        .into_bytes();
        let mut remaining = self.sent_bytes;
        let first_part = bytes.len();
        let mut last_part = first_part;
        for part in &self.parts {
            let sent = &part[..part.len().min(remaining)];
            remaining -= sent.len();
            if sent.is_empty() {
                break;
            }
            last_part = bytes.len();
            if self.framing == RawFraming::Chunked {
                bytes.extend(format!("{:x}\r\n{sent}\r\n", sent.len()).into_bytes());
            } else {
                bytes.extend_from_slice(sent.as_bytes());
            }
        }
        if self.framing == RawFraming::Chunked && self.end == RawEnd::Marked {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        (bytes, first_part, last_part)
    }
}

impl RawReplica {
    /// Starts a replica that responds to each request with the result of `respond`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        id: &str,
        ip: [u8; 4],
        runs: &RunCounts,
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let (replica, counts) = (id.to_owned(), runs.clone());
        Self::start_raw(id, ip, runs, move |request, socket| {
            let record_start = || counts.record_start(request.id(), &replica);
            respond(request).write_and_record(request.id(), &replica, socket, record_start)?;
            Ok(RawConnection::Close)
        })
    }

    /// Starts a replica that passes each request to `serve`, which writes to the socket itself.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start_raw(
        id: &str,
        ip: [u8; 4],
        runs: &RunCounts,
        serve: impl Fn(&RawRequest, &TcpStream) -> std::io::Result<RawConnection>
        + Send
        + Sync
        + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let address = listener.local_addr()?;
        let open_count = Arc::new(AtomicUsize::new(0));
        let serve = Arc::new(serve);
        let (runs, count) = (runs.clone(), open_count.clone());
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (serve, runs, count) = (serve.clone(), runs.clone(), count.clone());
                std::thread::spawn(move || {
                    let socket = socket?;
                    count.fetch_add(1, Ordering::Relaxed);
                    // The connection fails if the entry closes it first, which needs no handling.
                    let _ = serve_connection(&socket, &runs, &*serve);
                    count.fetch_sub(1, Ordering::Relaxed);
                    Ok::<_, std::io::Error>(())
                });
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            open_count,
        })
    }

    /// Returns the number of connections that neither side has closed.
    pub fn open_connections(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Returns the address that the replica listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id under which the replica registers.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the row of a replica of `service` with version 1 of the model.
    pub fn row(&self, service: &str, zone: &str) -> Value {
        self.row_with_version(service, zone, 1)
    }

    /// Returns the row of a replica of `service` with `version` of the model.
    pub fn row_with_version(&self, service: &str, zone: &str, version: u64) -> Value {
        replica_row(self.address, service, zone, "ready", version)
    }
}

/// Makes the end of the connection a reset, once the receiver has had time to read what was sent before.
///
/// # Errors
///
/// Returns the I/O error if the operating system rejects the socket option.
pub fn reset_on_close(socket: &TcpStream) -> std::io::Result<()> {
    std::thread::sleep(RESET_DELAY);
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

fn serve_connection(
    socket: &TcpStream,
    runs: &RunCounts,
    serve: &dyn Fn(&RawRequest, &TcpStream) -> std::io::Result<RawConnection>,
) -> std::io::Result<()> {
    loop {
        let mut request = read_request(socket)?;
        request.earlier_runs = runs.record(request.id());
        if serve(&request, socket)? == RawConnection::Close {
            return Ok(());
        }
    }
}

/// Returns whether the entry has closed or reset the connection.
pub(super) fn is_closed(socket: &TcpStream) -> std::io::Result<bool> {
    socket.set_nonblocking(true)?;
    let peeked = socket.peek(&mut [0]);
    socket.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(length) => length == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    })
}

pub(super) fn read_request(socket: &TcpStream) -> std::io::Result<RawRequest> {
    let mut reader = BufReader::new(socket);
    let mut request = RawRequest::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    request.path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = request
        .headers
        .get("content-length")
        .and_then(|it| it.parse::<usize>().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(request)
}
