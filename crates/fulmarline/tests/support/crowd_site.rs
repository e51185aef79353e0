//! A site with one small entry, and crowds of clients that open connections to it.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use httpio::{Method, StatusCode};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use standin::{RawFraming, RawReplica, RawResponse, RunCounts};

use crate::site::TestSite;

/// Memory of the entry's host in megabytes, less than the crowds send.
const RAM_MB: u32 = 64;

/// Descriptors of the entry's process, fewer than the idle crowds open.
const MAX_FDS: u32 = 1900;

/// Maximum size of a body.
pub const MAX_BODY: usize = 4 * 1024 * 1024;

/// Size of a response that clients do not read, more than the buffers of a connection take.
const RESPONSE_BYTES: usize = 7 * 1024 * 1024;

/// Time for which a client waits until the entry reads.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a client waits for a response that the entry refuses to give, or gives late.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Receive buffer of a client. A larger one would take a whole response from an entry whose client does not read.
const RECEIVE_BUFFER: usize = 4096;

/// Threads of the clients at each address.
const MAX_THREADS: usize = 100;

/// Number of times that a slow client sends or reads a little.
const DRIPS: usize = 20;

/// Number of times that an ordinary client sends its request.
const TRIES: usize = 5;

/// The tests measure the memory of processes, so they run one at a time.
static TURN: Mutex<()> = Mutex::new(());

/// A site whose first entry has a small host.
pub struct CrowdSite {
    pub site: TestSite,
    _runs: RunCounts,
    _large: RawReplica,
    _turn: MutexGuard<'static, ()>,
}

/// An address and a path to which clients send requests.
#[derive(Clone, Copy)]
pub struct Target {
    pub address: SocketAddr,
    pub path: &'static str,
}

impl CrowdSite {
    pub fn start(name: &str) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let mut site = TestSite::start(&format!("crowd-{name}"), 210, &[]);
        site.entries[0].kill();
        site.hosts[0].ram_mb = Some(RAM_MB);
        site.hosts[0].max_descriptors = MAX_FDS;
        site.start_entry(0);
        let runs = RunCounts::default();
        let large = RawReplica::start("large-0", [127, 0, 1, 215], &runs, |_| {
            RawResponse::complete(RawFraming::Length, vec!["x".repeat(RESPONSE_BYTES)])
        });
        let large = large.unwrap();
        site.store
            .put("servers", large.id(), &large.row("plain", "a"));
        site.max_body_bytes = MAX_BODY;
        site.configure(&json!([{
            "name": "large", "host": "shop.example", "prefix": "/large/", "kind": "idempotent", "timeoutMs": 6000,
            "sloMs": 2000, "service": "plain", "maxAttempts": 1, "public": true,
        }]));
        let site = Self {
            site,
            _runs: runs,
            _large: large,
            _turn: turn,
        };
        site.site.wait("the configuration", |it| {
            let is_ready = it.ready(0) == Some(StatusCode::OK);
            let body = vec![b'x'; 100_000];
            let caller = it.caller();
            let order = caller.call_with_body(0, Method::POST, "/order/1", "warm", "key-1", body);
            let large = it.call(0, Method::GET, "/large/1", "warm-large", "key-1");
            let statuses = [order?.status, large?.status];
            (is_ready && statuses == [StatusCode::OK; 2]).then_some(())
        });
        site
    }

    /// Returns an address and a path of each kind: with a route, without one, readiness, directory.
    pub fn targets(&self) -> [Target; 4] {
        let ip = self.site.hosts[0].ip;
        let target = |port, path| Target {
            address: (ip, port).into(),
            path,
        };
        let ports = self.site.ports;
        [
            target(ports.front, "/order/1"),
            target(ports.front, "/nowhere/1"),
            target(ports.ready, "/fulmarline/ready"),
            target(
                ports.directory,
                "/fulmarline/resolve?name=shop.example&region=a&zone=a",
            ),
        ]
    }

    /// Runs `count` clients at each of `targets`, keeps their connections open, and checks that the entry stays within its
    /// limits and answers an ordinary request. `drip` is what each client does now and then after that.
    pub fn check(
        &self,
        targets: &[Target],
        count: usize,
        client: impl Fn(&mut TcpStream, &str) + Sync,
        drip: Option<fn(&mut TcpStream)>,
    ) {
        let pid = self.site.entries[0].id();
        let has_ended = AtomicBool::new(false);
        let connect = |target: &Target| {
            // An entry that has no room may reset a connection at any time.
            let mut socket = connect(target.address).ok()?;
            client(&mut socket, target.path);
            Some(socket)
        };
        let connect_all = |target: &Target, count| -> Vec<_> {
            (0..count).filter_map(|_| connect(target)).collect()
        };
        let (sockets, peak_fds, status) = std::thread::scope(|scope| {
            let monitor = scope.spawn(|| {
                let mut peak = 0;
                while !has_ended.load(Ordering::Relaxed) {
                    peak = peak.max(descriptors(pid));
                    std::thread::sleep(Duration::from_millis(10));
                }
                peak
            });
            let per_thread = count.div_ceil(MAX_THREADS);
            let clients: Vec<_> = targets
                .iter()
                .flat_map(|target| std::iter::repeat_n(target, count.div_ceil(per_thread)))
                .map(|target| scope.spawn(move || connect_all(target, per_thread)))
                .collect();
            let clients = clients.into_iter();
            let mut sockets: Vec<_> = clients.flat_map(|it| it.join().unwrap()).collect();
            if let Some(drip) = drip {
                for _ in 0..DRIPS {
                    sockets.iter_mut().for_each(drip);
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
            let status = self.ordinary_status();
            has_ended.store(true, Ordering::Relaxed);
            (sockets, monitor.join().unwrap(), status)
        });
        let is_running = std::fs::exists(format!("/proc/{pid}/fd")).unwrap();
        assert!(is_running, "the entry is gone");
        let peak_kb = self.site.entries[0].peak_memory_kb();
        println!("peak {peak_kb} kB, {peak_fds} descriptors, ordinary request {status:?}");
        assert!(
            peak_kb < u64::from(RAM_MB) * 1024,
            "the entry exceeds its memory"
        );
        assert!(
            peak_fds <= usize::try_from(MAX_FDS).unwrap(),
            "the entry exceeds its descriptors"
        );
        assert_eq!(
            status,
            Some(StatusCode::OK),
            "the ordinary request is not served"
        );
        drop(sockets);
    }

    fn ordinary_status(&self) -> Option<StatusCode> {
        let mut status = None;
        for index in 0..TRIES {
            let id = format!("ordinary-{index}");
            let response = self.site.call(0, Method::POST, "/order/1", &id, "key-1");
            status = response.map(|it| it.status);
            if status == Some(StatusCode::OK) {
                break;
            }
            std::thread::sleep(Duration::from_millis(400));
        }
        status
    }
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(&address.into())?;
    let socket = TcpStream::from(socket);
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(socket)
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
