//! A crowd of clients that send what they like, read nothing and stay connected.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What one client sends on its connection.
#[derive(Clone, Debug)]
pub struct CrowdMember {
    head: Arc<str>,
    /// Sent `count` times after the head.
    part: Arc<str>,
    count: usize,
    /// Whether the part is sent one byte at a time.
    is_slow: bool,
}

/// The connections of a crowd, which are closed on drop.
#[derive(Debug)]
pub struct Crowd {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct CrowdConnection {
    /// `None` once the server has closed the connection.
    socket: Option<TcpStream>,
    member: CrowdMember,
    written: usize,
    next_write: Instant,
}

impl CrowdMember {
    /// Creates a client that sends `head` and then `part` `count` times, as fast as the server takes it.
    pub fn new(head: String, part: String, count: usize) -> Self {
        Self {
            head: head.into(),
            part: part.into(),
            count,
            is_slow: false,
        }
    }

    /// Creates a client that sends `head` and then one byte at a time.
    pub fn slow(head: String) -> Self {
        Self {
            is_slow: true,
            ..Self::new(head, "x".to_owned(), usize::MAX / 2)
        }
    }
}

impl Crowd {
    /// Connects all members, each of which sends until its text ends or the crowd is dropped.
    pub fn start(address: SocketAddr, members: Vec<CrowdMember>) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let has_ended = ended.clone();
        let thread = std::thread::spawn(move || {
            let connect = |member| CrowdConnection::open(address, member);
            let mut connections: Vec<_> = members.into_iter().map(connect).collect();
            while !has_ended.load(Ordering::Relaxed) {
                for connection in &mut connections {
                    connection.write_some();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        Self {
            ended,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

impl CrowdConnection {
    fn open(address: SocketAddr, member: CrowdMember) -> Self {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(10));
        let socket = socket.and_then(|it| it.set_nonblocking(true).map(|()| it));
        Self {
            socket: socket.ok(),
            member,
            written: 0,
            next_write: Instant::now(),
        }
    }

    /// Writes what the socket takes at once, up to a bound so that each connection has its turn.
    fn write_some(&mut self) {
        let Some(socket) = &mut self.socket else {
            return;
        };
        let CrowdMember {
            head,
            part,
            count,
            is_slow,
        } = &self.member;
        for _ in 0..MAX_WRITES {
            let rest = if self.written < head.len() {
                &head.as_bytes()[self.written..]
            } else {
                let written = self.written - head.len();
                let is_complete = part.is_empty() || written / part.len() >= *count;
                if is_complete || Instant::now() < self.next_write {
                    return;
                }
                &part.as_bytes()[written % part.len()..]
            };
            match socket.write(rest) {
                Ok(length) => self.written += length,
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.socket = None;
                    return;
                }
            }
            if *is_slow && self.written >= head.len() {
                self.next_write = Instant::now() + SLOW_INTERVAL;
            }
        }
    }
}

/// Number of writes of one turn.
const MAX_WRITES: usize = 256;

/// Time between the bytes of a slow client.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
