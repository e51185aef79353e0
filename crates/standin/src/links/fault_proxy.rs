//! A TCP proxy with fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::links::link_pump::{self, Direction};
use crate::links::proxy_faults::ProxyFaults;
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::StandinRuntime;

/// A TCP proxy to one target address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    shared: Arc<ProxyShared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct ProxyShared {
    inner: Mutex<ProxyInner>,
    limiter: RateLimiter,
    close_signal: watch::Sender<CloseSignal>,
}

#[derive(Debug)]
struct ProxyInner {
    target: SocketAddr,
    faults: ProxyFaults,
    rng: StdRng,
    connections: u64,
    bytes: u64,
}

/// The latest request to close connections. A connection closes when the generation differs from the one at its start.
#[derive(Clone, Copy, Debug, Default)]
struct CloseSignal {
    generation: u64,
    reset: bool,
}

impl FaultProxy {
    /// Starts a proxy that accepts connections at `listen` and forwards them to `target`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let inner = ProxyInner {
            target,
            faults: ProxyFaults::default(),
            rng: StdRng::seed_from_u64(0),
            connections: 0,
            bytes: 0,
        };
        let shared = Arc::new(ProxyShared {
            inner: Mutex::new(inner),
            limiter: RateLimiter::new(None, LIMIT_BURST),
            close_signal: watch::channel(CloseSignal::default()).0,
        });
        let listener = runtime.block_on(TcpListener::bind(listen))?;
        let address = listener.local_addr()?;
        runtime
            .handle()
            .spawn(accept_loop(listener, shared.clone()));
        Ok(Self { shared, address })
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.limiter.set_rate(faults.bytes_per_s);
        let mut inner = self.shared.inner();
        if faults.seed != inner.faults.seed {
            inner.rng = StdRng::seed_from_u64(faults.seed);
        }
        inner.faults = faults;
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.inner().target = target;
    }

    /// Closes all connections gracefully.
    pub fn close_all(&self) {
        self.shared.signal_close(false);
    }

    /// Resets all connections with TCP RST.
    pub fn reset_all(&self) {
        self.shared.signal_close(true);
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.shared.inner().connections
    }

    /// Returns the number of forwarded bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.inner().bytes
    }
}

impl ProxyShared {
    fn inner(&self) -> MutexGuard<'_, ProxyInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the proxy lock")
    }

    fn signal_close(&self, reset: bool) {
        self.close_signal.send_modify(|it| {
            it.generation += 1;
            it.reset = reset;
        });
    }

    /// Delays `segment` by the rate limit and stalls, and applies the other faults to it.
    async fn transmit(
        &self,
        direction: Direction,
        reset_on_response: bool,
        mut segment: BytesMut,
    ) -> io::Result<(BytesMut, Duration)> {
        loop {
            {
                let inner = self.inner();
                if !inner.faults.stall && !inner.faults.partition {
                    break;
                }
            }
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        let ready = self.limiter.reserve(segment.len() as u64, Instant::now());
        tokio::time::sleep_until(ready.into()).await;
        let mut inner = self.inner();
        inner.bytes += segment.len() as u64;
        if reset_on_response && direction == Direction::Response {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if inner.should_corrupt(direction) {
            let idx = inner.rng.random_range(0..segment.len());
            segment[idx] ^= 1;
        }
        Ok((segment, Duration::from_millis(inner.faults.delay_ms)))
    }
}

impl ProxyInner {
    fn should_corrupt(&mut self, direction: Direction) -> bool {
        if self.faults.corrupt_answers_only && direction == Direction::Request {
            return false;
        }
        self.faults.corrupt_share > 0.0 && self.rng.random_bool(self.faults.corrupt_share)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<ProxyShared>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
            continue;
        };
        tokio::spawn(forward(socket, shared.clone()));
    }
}

async fn forward(mut client: TcpStream, shared: Arc<ProxyShared>) {
    let (target, partitioned, reset_on_response) = {
        let mut inner = shared.inner();
        inner.connections += 1;
        let reset_share = inner.faults.reset_share;
        let reset_on_response = reset_share > 0.0 && inner.rng.random_bool(reset_share);
        (inner.target, inner.faults.partition, reset_on_response)
    };
    let mut close_signal = shared.close_signal.subscribe();
    let generation = close_signal.borrow_and_update().generation;
    if partitioned {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let transmit = |direction, segment| shared.transmit(direction, reset_on_response, segment);
    let reset = tokio::select! {
        it = close_signal.wait_for(|it| it.generation != generation) => it.is_ok_and(|it| it.reset),
        it = link_pump::relay(&mut client, &mut upstream, SEGMENT_BYTES, transmit) => {
            it.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionReset)
        }
    };
    if reset {
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Maximum size of a forwarded segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Burst of the rate limit after an idle period, as the time in which it refills.
const LIMIT_BURST: Duration = Duration::from_millis(5);

/// Interval at which a stalled connection checks whether the fault has been cleared.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
