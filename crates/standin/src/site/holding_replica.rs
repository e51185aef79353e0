//! A model replica that holds requests for a set time before it begins them, and ends its work at their deadlines.

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::site::raw_replica::{RawRequest, RunCounts, is_closed, read_request};
use crate::site::site_replica::replica_row;

/// What a replica does with a waiting request whose connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitHabit {
    /// It drops the request.
    Drops,
    /// It begins the request all the same.
    Begins,
}

/// The time from which held requests wait; clones share it.
#[derive(Clone, Debug, Default)]
pub struct HoldGate(Arc<Mutex<Option<Instant>>>);

/// How a replica serves a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldResponse {
    /// Time after that of the gate at which the request begins, or `None` if it begins at once.
    pub begins_after: Option<Duration>,
    /// Whether the head of the response is sent before the request begins.
    pub is_head_first: bool,
    /// Further lines of the head, each with its end.
    pub head_lines: String,
    /// The events of the stream.
    pub events: Vec<String>,
    /// Whether the body has neither a length nor chunks, so that it ends with its connection.
    pub is_unframed: bool,
    /// Pause before each event but the first.
    pub pause: Duration,
    /// Whether the connection closes after the events without the end of the stream.
    pub breaks_off: bool,
    /// Time from the moment at which the replica has read a request until it begins, unless it is silent then.
    pub start_delay: Duration,
    /// Time before the deadline of the request at which the connection closes without a response if the request has not begun,
    /// or `None` if the request is refused at its deadline.
    pub closes_early: Option<Duration>,
}

/// Answer of a replica to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldAnswer {
    /// The replica is full and does not run the request.
    Full,
    /// It serves the request.
    Serve(HeldResponse),
}

/// A replica on a loopback address, which runs until the test process ends.
#[derive(Debug)]
pub struct HoldingReplica {
    id: String,
    address: SocketAddr,
    version: Arc<AtomicU64>,
    silences: Arc<Mutex<Vec<Range<Duration>>>>,
}

/// What the connections of a replica share.
struct HoldingServer {
    id: String,
    habit: WaitHabit,
    gate: HoldGate,
    runs: RunCounts,
    version: Arc<AtomicU64>,
    /// When the replica neither reads nor begins requests, as times after that of the gate.
    silences: Arc<Mutex<Vec<Range<Duration>>>>,
}

impl HoldGate {
    /// Sets the time from which requests wait.
    pub fn set(&self, time: Instant) {
        *self.lock() = Some(time);
    }

    /// Returns the time that was set.
    pub fn time(&self) -> Option<Instant> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock of the gate")
    }
}

impl HeldResponse {
    /// Creates the response to a request that begins at once.
    pub fn at_once(events: Vec<String>) -> Self {
        Self {
            begins_after: None,
            is_head_first: false,
            head_lines: String::new(),
            events,
            is_unframed: false,
            pause: Duration::ZERO,
            start_delay: Duration::ZERO,
            breaks_off: false,
            closes_early: None,
        }
    }

    /// Creates the response to a request that begins `delay` after the time of the gate.
    pub fn held(events: Vec<String>, delay: Duration) -> Self {
        Self {
            begins_after: Some(delay),
            ..Self::at_once(events)
        }
    }
}

impl HoldingReplica {
    /// Starts a replica with version 1 of the weights, which responds to each request as `respond` says.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        id: &str,
        ip: [u8; 4],
        habit: WaitHabit,
        gate: &HoldGate,
        runs: &RunCounts,
        respond: impl Fn(&RawRequest) -> HeldAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let version = Arc::new(AtomicU64::new(1));
        let silences = Arc::new(Mutex::new(Vec::new()));
        let server = HoldingServer {
            id: id.to_owned(),
            habit,
            gate: gate.clone(),
            runs: runs.clone(),
            version: version.clone(),
            silences: silences.clone(),
        };
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (server, respond) = (Arc::new(server), Arc::new(respond));
        std::thread::spawn(move || {
            let mut idle_at = Instant::now();
            loop {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let (server, respond) = (server.clone(), respond.clone());
                        std::thread::spawn(move || {
                            let own_delay = idle_at.elapsed();
                            // The connection fails if the entry closes it first, which needs no handling.
                            let _ = server.handle(&socket, own_delay, &*respond);
                        });
                    }
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {
                        idle_at = Instant::now();
                        std::thread::sleep(ACCEPT_INTERVAL);
                    }
                    Err(_) => return,
                }
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            version,
            silences,
        })
    }

    /// Makes the replica silent from the start of `silence` to its end, as times after that of the gate. It neither reads nor
    /// begins a request meanwhile, and goes on with what it has received then.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn set_silence(&self, silence: Range<Duration>) {
        self.set_silences(&[silence]);
    }

    /// Makes the replica silent several times, each as [`Self::set_silence`] does. It reads and begins what is due as soon as one
    /// of them ends, also if the next one follows soon.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn set_silences(&self, silences: &[Range<Duration>]) {
        *self
            .silences
            .lock()
            .expect("no thread panics while it holds the lock of the silences") = silences.to_vec();
    }

    /// Returns the id under which the replica registers.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Sets the version of the weights, as a restart would. Waiting requests are kept.
    pub fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Returns the row of the replica with `version` of the weights, which may not be the version that it has.
    pub fn row(&self, service: &str, zone: &str, version: u64) -> Value {
        replica_row(self.address, service, zone, "ready", version)
    }
}

impl HoldingServer {
    /// Handles the only request of a connection. `own_delay` is the most that this process can have taken to accept the
    /// connection. On a busy machine that may be seconds, which must not add to the time that the request allows.
    fn handle(
        &self,
        socket: &TcpStream,
        own_delay: Duration,
        respond: &dyn Fn(&RawRequest) -> HeldAnswer,
    ) -> std::io::Result<()> {
        let mut request = read_request(socket)?;
        self.wait_for_end_of_silence();
        let received_at = Instant::now().checked_sub(own_delay);
        request.earlier_runs = self.runs.record(request.id());
        let allowed = number(&request, "deadline-ms").map(Duration::from_millis);
        let deadline = allowed.and_then(|it| Some(received_at? + it));
        self.serve(&request, deadline, respond, socket)
    }

    fn serve(
        &self,
        request: &RawRequest,
        deadline: Option<Instant>,
        respond: &dyn Fn(&RawRequest) -> HeldAnswer,
        mut socket: &TcpStream,
    ) -> std::io::Result<()> {
        let version = self.version.load(Ordering::Relaxed);
        if number(request, "expect-version").is_some_and(|it| it != version) {
            return self.refuse(request, "421 Misdirected Request", socket);
        }
        let HeldAnswer::Serve(response) = respond(request) else {
            return self.refuse(request, "503 Service Unavailable", socket);
        };
        let early = response.closes_early.unwrap_or_default();
        let deadline = deadline.map(|it| it.checked_sub(early).unwrap_or(it));
        let head = self.head(request, "200 OK", &response.head_lines);
        let framing = if response.is_unframed {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let head = format!("{head}{framing}\r\n");
        if response.is_head_first {
            socket.write_all(head.as_bytes())?;
        }
        let is_due = response
            .begins_after
            .is_none_or(|it| self.wait(it, deadline));
        if !is_due && !response.is_head_first && response.closes_early.is_none() {
            return self.refuse(request, "503 Service Unavailable", socket);
        }
        std::thread::sleep(response.start_delay);
        self.wait_for_end_of_silence();
        if deadline.is_some_and(|it| Instant::now() >= it) && !response.start_delay.is_zero() {
            return self.refuse(request, "503 Service Unavailable", socket);
        }
        if !is_due || (self.habit == WaitHabit::Drops && is_closed(socket)?) {
            return Ok(());
        }
        self.runs.record_start(request.id(), &self.id);
        if !response.is_head_first {
            socket.write_all(head.as_bytes())?;
        }
        for (index, event) in response.events.iter().enumerate() {
            if index > 0 {
                std::thread::sleep(response.pause);
            }
            if deadline.is_some_and(|it| Instant::now() >= it) {
                return Ok(());
            }
            if response.is_unframed {
                write!(socket, "{event}")?;
            } else {
                write!(socket, "{:x}\r\n{event}\r\n", event.len())?;
            }
        }
        if !response.breaks_off && !response.is_unframed {
            socket.write_all(b"0\r\n\r\n")?;
        }
        socket.shutdown(Shutdown::Write)
    }

    fn wait_for_end_of_silence(&self) {
        let silences = self
            .silences
            .lock()
            .expect("no thread panics while it holds the lock of the silences")
            .clone();
        let Some(time) = self.gate.time() else {
            return;
        };
        let elapsed = time.elapsed();
        let silence = silences.iter().find(|it| it.contains(&elapsed));
        if let Some(silence) = silence {
            std::thread::sleep(silence.end - elapsed);
        }
    }

    /// Waits until `delay` after the time of the gate; returns whether that is before `deadline`.
    fn wait(&self, delay: Duration, deadline: Option<Instant>) -> bool {
        let is_expired = || deadline.is_some_and(|it| Instant::now() >= it);
        let opened_at = loop {
            match self.gate.time() {
                _ if is_expired() => return false,
                Some(time) => break time,
                None => std::thread::sleep(POLL_INTERVAL),
            }
        };
        let due_at = opened_at + delay;
        let until = deadline.map_or(due_at, |it| it.min(due_at));
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        until == due_at && !is_expired()
    }

    fn refuse(
        &self,
        request: &RawRequest,
        status: &str,
        mut socket: &TcpStream,
    ) -> std::io::Result<()> {
        let head = self.head(request, status, "Not-Executed: 1\r\n");
        write!(socket, "{head}Content-Length: 0\r\n\r\n")
    }

    fn head(&self, request: &RawRequest, status: &str, lines: &str) -> String {
        let (id, replica) = (request.id(), &self.id);
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nRoute-Stamp: stamp.{replica}\r\nConnection: close\r\n{lines}"
        )
    }
}

/// Returns the value of the header `name`, if it is a whole number.
fn number(request: &RawRequest, name: &str) -> Option<u64> {
    request.headers.get(name)?.parse().ok()
}

/// Interval at which a replica looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which a held request checks whether the time of the gate is set.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
