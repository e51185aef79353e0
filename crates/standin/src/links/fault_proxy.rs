//! A TCP proxy that injects faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::links::link_pump::{self, ByteWay};
use crate::links::proxy_faults::ProxyFaults;
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::StandinRuntime;

/// A proxy before one address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    shared: Arc<ProxyShared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct ProxyShared {
    inner: Mutex<ProxyInner>,
    limiter: RateLimiter,
    cut: watch::Sender<CutOrder>,
}

#[derive(Debug)]
struct ProxyInner {
    target: SocketAddr,
    faults: ProxyFaults,
    dice: StdRng,
    connections: u64,
    bytes: u64,
}

/// Ends the connections that were opened before it was given.
#[derive(Clone, Copy, Debug, Default)]
struct CutOrder {
    number: u64,
    reset: bool,
}

impl FaultProxy {
    /// Starts a proxy from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let inner = ProxyInner {
            target,
            faults: ProxyFaults::default(),
            dice: StdRng::seed_from_u64(0),
            connections: 0,
            bytes: 0,
        };
        let shared = Arc::new(ProxyShared {
            inner: Mutex::new(inner),
            limiter: RateLimiter::new(None, LIMIT_BURST),
            cut: watch::channel(CutOrder::default()).0,
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
            inner.dice = StdRng::seed_from_u64(faults.seed);
        }
        inner.faults = faults;
    }

    /// Sends connections from now on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.inner().target = target;
    }

    /// Closes all connections in the usual way.
    pub fn close_all(&self) {
        self.shared.order_cut(false);
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        self.shared.order_cut(true);
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.shared.inner().connections
    }

    /// Returns the bytes that passed, both ways together.
    pub fn bytes(&self) -> u64 {
        self.shared.inner().bytes
    }
}

impl ProxyShared {
    fn inner(&self) -> MutexGuard<'_, ProxyInner> {
        self.inner
            .lock()
            .expect("no holder of the proxy's lock panics")
    }

    fn order_cut(&self, reset: bool) {
        self.cut.send_modify(|it| {
            it.number += 1;
            it.reset = reset;
        });
    }

    /// Waits for the turn of `piece` on the link and applies the faults to it.
    async fn pass(
        &self,
        way: ByteWay,
        doomed: bool,
        mut piece: BytesMut,
    ) -> io::Result<(BytesMut, Duration)> {
        loop {
            {
                let inner = self.inner();
                if !inner.faults.stall && !inner.faults.partition {
                    break;
                }
            }
            tokio::time::sleep(STALL_POLL).await;
        }
        let ready = self.limiter.reserve(piece.len() as u64, Instant::now());
        tokio::time::sleep_until(ready.into()).await;
        let mut inner = self.inner();
        inner.bytes += piece.len() as u64;
        if doomed && way == ByteWay::Answer {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if inner.corrupts(way) {
            let idx = inner.dice.random_range(0..piece.len());
            piece[idx] ^= 1;
        }
        Ok((piece, Duration::from_millis(inner.faults.delay_ms)))
    }
}

impl ProxyInner {
    fn corrupts(&mut self, way: ByteWay) -> bool {
        if self.faults.corrupt_answers_only && way == ByteWay::Request {
            return false;
        }
        self.faults.corrupt_share > 0.0 && self.dice.random_bool(self.faults.corrupt_share)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<ProxyShared>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(STALL_POLL).await;
            continue;
        };
        tokio::spawn(forward(socket, shared.clone()));
    }
}

async fn forward(mut near: TcpStream, shared: Arc<ProxyShared>) {
    let (target, parted, doomed) = {
        let mut inner = shared.inner();
        inner.connections += 1;
        let reset_share = inner.faults.reset_share;
        let doomed = reset_share > 0.0 && inner.dice.random_bool(reset_share);
        (inner.target, inner.faults.partition, doomed)
    };
    let mut cut = shared.cut.subscribe();
    let before = cut.borrow_and_update().number;
    if parted {
        let _ = near.set_zero_linger();
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let pass = |way, piece| shared.pass(way, doomed, piece);
    let reset = tokio::select! {
        it = cut.wait_for(|it| it.number != before) => it.is_ok_and(|it| it.reset),
        it = link_pump::relay(&mut near, &mut far, PIECE_BYTES, pass) => {
            it.is_err_and(|it| it.kind() == io::ErrorKind::ConnectionReset)
        }
    };
    if reset {
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

/// Bytes that pass at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Time whose worth of bytes may pass at once after a pause.
const LIMIT_BURST: Duration = Duration::from_millis(5);

/// How often a standing connection looks whether the fault has ended.
const STALL_POLL: Duration = Duration::from_millis(10);
