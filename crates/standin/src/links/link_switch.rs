//! A switch between many hosts.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::links::link_counters::{FlowCounters, FlowKey, SwitchCounters};
use crate::links::link_pump::{self, ByteWay};
use crate::links::switch_faults::{NodeFaults, SwitchFaults};
use crate::links::switch_node::{SwitchNode, SwitchOptions};
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::StandinRuntime;

/// Carries all connections between hosts over links of limited speed.
///
/// A caller is known by the loopback address that its connection comes from, a target by the route that it was reached
/// by. Each host has one link for both ways together, each pair of regions one link each way.
#[derive(Clone, Debug)]
pub struct LinkSwitch {
    shared: Arc<SwitchShared>,
    handle: Handle,
}

#[derive(Debug)]
struct SwitchShared {
    options: SwitchOptions,
    inner: Mutex<SwitchInner>,
    cuts: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct SwitchInner {
    nodes: Vec<Arc<NodeLink>>,
    by_ip: BTreeMap<IpAddr, usize>,
    by_name: BTreeMap<String, usize>,
    regions: BTreeMap<(String, String), Arc<RateLimiter>>,
    routes: Vec<String>,
    flows: FlowCounters,
    faults: SwitchFaults,
}

#[derive(Debug)]
struct NodeLink {
    node: SwitchNode,
    limiter: RateLimiter,
}

/// What one connection passes in one direction.
#[derive(Debug)]
struct LinkPath {
    from: usize,
    to: usize,
    from_region: Option<String>,
    to_region: Option<String>,
    links: [Arc<NodeLink>; 2],
    pair: Option<Arc<RateLimiter>>,
    delay: Duration,
    bytes: Arc<AtomicU64>,
}

impl LinkSwitch {
    /// Creates a switch without hosts.
    pub fn new(runtime: &StandinRuntime, options: SwitchOptions) -> Self {
        let shared = SwitchShared {
            options,
            inner: Mutex::default(),
            cuts: watch::channel(0).0,
        };
        Self {
            shared: Arc::new(shared),
            handle: runtime.handle().clone(),
        }
    }

    /// Adds a host.
    pub fn add_node(&self, node: SwitchNode) {
        let mut inner = self.shared.inner();
        let idx = inner.nodes.len();
        inner.by_ip.insert(node.ip, idx);
        inner.by_name.insert(node.name.clone(), idx);
        let limiter = RateLimiter::new(node.bytes_per_s, LIMIT_BURST);
        inner.nodes.push(Arc::new(NodeLink { node, limiter }));
    }

    /// Opens `listen` as the way to `target` on the host `node`, counted under the name `route`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` for an unknown host, otherwise what the operating system said.
    pub fn add_route(
        &self,
        node: &str,
        route: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let (node, route) = {
            let mut inner = self.shared.inner();
            let node = inner.by_name.get(node).copied();
            let node = node.ok_or(io::ErrorKind::NotFound)?;
            (node, inner.route_number(route))
        };
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _guard = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        let shared = self.shared.clone();
        self.handle
            .spawn(accept_loop(listener, shared, node, route, target));
        Ok(address)
    }

    /// Replaces the faults of a host.
    pub fn set_node_faults(&self, node: &str, faults: NodeFaults) {
        let mut inner = self.shared.inner();
        let Some(node) = inner.by_name.get(node).copied() else {
            return;
        };
        inner.faults.set_node(node, faults);
        drop(inner);
        self.shared.cuts.send_modify(|it| *it += 1);
    }

    /// Changes the speed of a host's link.
    pub fn set_node_rate(&self, node: &str, bytes_per_s: Option<f64>) {
        let inner = self.shared.inner();
        if let Some(node) = inner.by_name.get(node) {
            inner.nodes[*node].limiter.set_rate(bytes_per_s);
        }
    }

    /// Parts two regions, or joins them again: bytes between them stand still.
    pub fn set_partitioned(&self, a: &str, b: &str, parted: bool) {
        self.shared.inner().faults.set_parted(a, b, parted);
    }

    /// Returns the bytes of all routes.
    pub fn counters(&self) -> SwitchCounters {
        self.shared.inner().counters(None)
    }

    /// Returns the bytes of the routes with the name `route`.
    pub fn route_counters(&self, route: &str) -> SwitchCounters {
        let mut inner = self.shared.inner();
        let route = inner.route_number(route);
        inner.counters(Some(route))
    }
}

impl SwitchShared {
    fn inner(&self) -> MutexGuard<'_, SwitchInner> {
        self.inner
            .lock()
            .expect("no holder of the switch's lock panics")
    }

    /// Returns the ways of a connection from `caller` to `target`, request first.
    fn paths(&self, caller: usize, target: usize, route: usize) -> (LinkPath, LinkPath) {
        let mut inner = self.inner();
        let request = inner.path(caller, target, route, &self.options);
        let answer = inner.path(target, caller, route, &self.options);
        (request, answer)
    }

    async fn pass(
        &self,
        path: &LinkPath,
        way: ByteWay,
        mut piece: BytesMut,
    ) -> io::Result<(BytesMut, Duration)> {
        let corrupt_share = self.wait_while_standing(path).await;
        let ready = path.reserve(piece.len() as u64, Instant::now());
        if ready > Instant::now() {
            tokio::time::sleep_until(ready.into()).await;
        }
        let passed = path.bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if corrupt_share > 0.0 && way == ByteWay::Answer {
            // The position in the flow seeds the draw, so that it does not depend on other flows.
            let mut dice = StdRng::seed_from_u64(passed);
            if dice.random_bool(corrupt_share.min(1.0)) {
                let idx = dice.random_range(piece.len() / 2..piece.len());
                piece[idx] ^= 1;
            }
        }
        Ok((piece, path.delay))
    }

    /// Waits until the bytes may go on, and returns the share of pieces that the sender corrupts.
    async fn wait_while_standing(&self, path: &LinkPath) -> f64 {
        loop {
            {
                let inner = self.inner();
                let (from, to) = (inner.faults.node(path.from), inner.faults.node(path.to));
                let (from_region, to_region) =
                    (path.from_region.as_deref(), path.to_region.as_deref());
                let parted = inner.faults.is_parted(from_region, to_region);
                if !from.stalled && !to.stalled && !parted {
                    return from.corrupt_share;
                }
            }
            tokio::time::sleep(STALL_POLL).await;
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let inner = self.inner();
        inner.faults.node(a).cut || inner.faults.node(b).cut
    }
}

impl SwitchInner {
    fn route_number(&mut self, name: &str) -> usize {
        if let Some(idx) = self.routes.iter().position(|it| it == name) {
            return idx;
        }
        self.routes.push(name.to_owned());
        self.routes.len() - 1
    }

    fn path(&mut self, from: usize, to: usize, route: usize, options: &SwitchOptions) -> LinkPath {
        let links = [self.nodes[from].clone(), self.nodes[to].clone()];
        let from_region = links[0].node.region.clone();
        let to_region = links[1].node.region.clone();
        let pair = match (&from_region, &to_region) {
            (Some(from), Some(to)) if from != to => {
                let key = (from.clone(), to.clone());
                let rate = options.region_bytes_per_s;
                let new = || Arc::new(RateLimiter::new(rate, LIMIT_BURST));
                Some(self.regions.entry(key).or_insert_with(new).clone())
            }
            _ => None,
        };
        let delay = match from_region == to_region {
            true => options.local_delay,
            false => options.region_delay,
        };
        LinkPath {
            from,
            to,
            from_region,
            to_region,
            links,
            pair,
            delay,
            bytes: self.flows.counter(FlowKey { from, to, route }),
        }
    }

    fn counters(&self, route: Option<usize>) -> SwitchCounters {
        let mut counters = SwitchCounters::default();
        for (key, bytes) in self.flows.iter() {
            if route.is_some_and(|it| it != key.route) {
                continue;
            }
            let (from, to) = (&self.nodes[key.from].node, &self.nodes[key.to].node);
            let hosts = &mut counters.hosts;
            hosts.entry(from.name.clone()).or_default().sent += bytes;
            hosts.entry(to.name.clone()).or_default().received += bytes;
            if let (Some(from), Some(to)) = (&from.region, &to.region)
                && from != to
            {
                let pair = (from.clone(), to.clone());
                *counters.regions.entry(pair).or_default() += bytes;
            }
        }
        counters
    }
}

impl LinkPath {
    /// Reserves `bytes` on every link of the path and returns the time at which the last one has carried them.
    fn reserve(&self, bytes: u64, now: Instant) -> Instant {
        let mut ready = now;
        for link in &self.links {
            ready = ready.max(link.limiter.reserve(bytes, now));
        }
        match &self.pair {
            Some(pair) => ready.max(pair.reserve(bytes, now)),
            None => ready,
        }
    }
}

async fn accept_loop(
    listener: TcpListener,
    shared: Arc<SwitchShared>,
    node: usize,
    route: usize,
    target: SocketAddr,
) {
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            tokio::time::sleep(STALL_POLL).await;
            continue;
        };
        let caller = shared.inner().by_ip.get(&peer.ip()).copied();
        // A connection from nowhere would pass without a link, which would spoil every figure.
        let Some(caller) = caller else {
            let _ = socket.set_zero_linger();
            continue;
        };
        tokio::spawn(forward(socket, shared.clone(), caller, node, route, target));
    }
}

async fn forward(
    mut near: TcpStream,
    shared: Arc<SwitchShared>,
    caller: usize,
    node: usize,
    route: usize,
    target: SocketAddr,
) {
    let mut cuts = shared.cuts.subscribe();
    if shared.is_cut(caller, node) {
        let _ = near.set_zero_linger();
        return;
    }
    let (request, answer) = shared.paths(caller, node, route);
    shared.wait_while_standing(&request).await;
    let Ok(mut far) = TcpStream::connect(target).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let pass = |way, piece| {
        let path = match way {
            ByteWay::Request => &request,
            ByteWay::Answer => &answer,
        };
        shared.pass(path, way, piece)
    };
    tokio::select! {
        _ = link_pump::relay(&mut near, &mut far, PIECE_BYTES, pass) => {}
        _ = cuts.wait_for(|_| shared.is_cut(caller, node)) => {
            let _ = near.set_zero_linger();
            let _ = far.set_zero_linger();
        }
    }
}

/// Bytes that pass at once, little more than a packet: a link of 1.4 MB/s would hold back a token for 12 ms behind 16 KiB.
const PIECE_BYTES: usize = 2 * 1024;

/// Time whose worth of bytes may pass at once after a pause; covers the steps of the timer.
const LIMIT_BURST: Duration = Duration::from_millis(10);

/// How often a standing connection looks whether the fault has ended.
const STALL_POLL: Duration = Duration::from_millis(10);
