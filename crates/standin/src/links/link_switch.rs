//! A simulated network switch that connects many hosts.

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
use crate::links::link_pump::{self, Direction};
use crate::links::switch_faults::{NodeFaults, SwitchFaults};
use crate::links::switch_node::{SwitchNode, SwitchOptions};
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::StandinRuntime;

/// Forwards all connections between hosts over links with limited bandwidth.
///
/// The client host is identified by the loopback source address of a connection, the target host by the route. Each
/// host has one half-duplex link, and each pair of regions has one link in each direction.
#[derive(Clone, Debug)]
pub struct LinkSwitch {
    shared: Arc<SwitchShared>,
    handle: Handle,
}

#[derive(Debug)]
struct SwitchShared {
    options: SwitchOptions,
    inner: Mutex<SwitchInner>,
    fault_changes: watch::Sender<u64>,
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

/// The links and counters of one direction of a connection.
#[derive(Debug)]
struct LinkPath {
    from: usize,
    to: usize,
    from_region: Option<String>,
    to_region: Option<String>,
    links: [Arc<NodeLink>; 2],
    region_link: Option<Arc<RateLimiter>>,
    delay: Duration,
    bytes: Arc<AtomicU64>,
}

impl LinkSwitch {
    /// Creates a switch with no hosts.
    pub fn new(runtime: &StandinRuntime, options: SwitchOptions) -> Self {
        let shared = SwitchShared {
            options,
            inner: Mutex::default(),
            fault_changes: watch::channel(0).0,
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

    /// Forwards connections accepted at `listen` to `target` on the host `node`, and counts their bytes under `route`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if the host is unknown, or the I/O error if the address cannot be bound.
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
            (node, inner.route_index(route))
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
        self.shared.fault_changes.send_modify(|it| *it += 1);
    }

    /// Changes the bandwidth of a host's link.
    pub fn set_node_rate(&self, node: &str, bytes_per_s: Option<f64>) {
        let inner = self.shared.inner();
        if let Some(node) = inner.by_name.get(node) {
            inner.nodes[*node].limiter.set_rate(bytes_per_s);
        }
    }

    /// Partitions two regions or ends their partition. Connections between partitioned regions stall but stay open.
    pub fn set_partitioned(&self, a: &str, b: &str, partitioned: bool) {
        self.shared
            .inner()
            .faults
            .set_partitioned(a, b, partitioned);
    }

    /// Returns the byte counters of all routes.
    pub fn counters(&self) -> SwitchCounters {
        self.shared.inner().counters(None)
    }

    /// Returns the byte counters of the routes named `route`.
    pub fn route_counters(&self, route: &str) -> SwitchCounters {
        let mut inner = self.shared.inner();
        let route = inner.route_index(route);
        inner.counters(Some(route))
    }
}

impl SwitchShared {
    fn inner(&self) -> MutexGuard<'_, SwitchInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the switch lock")
    }

    /// Returns the request path and the response path of a connection from `client_node` to `target_node`.
    fn paths(&self, client_node: usize, target_node: usize, route: usize) -> (LinkPath, LinkPath) {
        let mut inner = self.inner();
        let request = inner.path(client_node, target_node, route, &self.options);
        let response = inner.path(target_node, client_node, route, &self.options);
        (request, response)
    }

    async fn transmit(
        &self,
        path: &LinkPath,
        direction: Direction,
        mut segment: BytesMut,
    ) -> io::Result<(BytesMut, Duration)> {
        let corrupt_share = self.wait_while_stalled(path).await;
        let ready = path.reserve(segment.len() as u64, Instant::now());
        if ready > Instant::now() {
            tokio::time::sleep_until(ready.into()).await;
        }
        let offset = path
            .bytes
            .fetch_add(segment.len() as u64, Ordering::Relaxed);
        if corrupt_share > 0.0 && direction == Direction::Response {
            // Seeded with the offset in the flow, so that the result does not depend on other flows.
            let mut rng = StdRng::seed_from_u64(offset);
            if rng.random_bool(corrupt_share.min(1.0)) {
                let idx = rng.random_range(segment.len() / 2..segment.len());
                segment[idx] ^= 1;
            }
        }
        Ok((segment, path.delay))
    }

    /// Waits until `path` is not stalled, and returns the fraction of segments that its sender corrupts.
    async fn wait_while_stalled(&self, path: &LinkPath) -> f64 {
        loop {
            {
                let inner = self.inner();
                let (from, to) = (inner.faults.node(path.from), inner.faults.node(path.to));
                let (from_region, to_region) =
                    (path.from_region.as_deref(), path.to_region.as_deref());
                let partitioned = inner.faults.is_partitioned(from_region, to_region);
                if !from.stalled && !to.stalled && !partitioned {
                    return from.corrupt_share;
                }
            }
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
    }

    fn is_disconnected(&self, a: usize, b: usize) -> bool {
        let inner = self.inner();
        inner.faults.node(a).disconnected || inner.faults.node(b).disconnected
    }
}

impl SwitchInner {
    fn route_index(&mut self, name: &str) -> usize {
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
        let region_link = match (&from_region, &to_region) {
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
            region_link,
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
                let regions = (from.clone(), to.clone());
                *counters.regions.entry(regions).or_default() += bytes;
            }
        }
        counters
    }
}

impl LinkPath {
    /// Reserves `bytes` on every link of the path and returns the time at which the slowest link has transmitted them.
    fn reserve(&self, bytes: u64, now: Instant) -> Instant {
        let mut ready = now;
        for link in &self.links {
            ready = ready.max(link.limiter.reserve(bytes, now));
        }
        match &self.region_link {
            Some(region_link) => ready.max(region_link.reserve(bytes, now)),
            None => ready,
        }
    }
}

async fn accept_loop(
    listener: TcpListener,
    shared: Arc<SwitchShared>,
    target_node: usize,
    route: usize,
    target: SocketAddr,
) {
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
            continue;
        };
        let client_node = shared.inner().by_ip.get(&peer.ip()).copied();
        // An unknown client has no link, so its traffic would be unlimited and distort all measurements.
        let Some(client_node) = client_node else {
            let _ = socket.set_zero_linger();
            continue;
        };
        tokio::spawn(forward(
            socket,
            shared.clone(),
            client_node,
            target_node,
            route,
            target,
        ));
    }
}

async fn forward(
    mut client: TcpStream,
    shared: Arc<SwitchShared>,
    client_node: usize,
    target_node: usize,
    route: usize,
    target: SocketAddr,
) {
    let mut fault_changes = shared.fault_changes.subscribe();
    if shared.is_disconnected(client_node, target_node) {
        let _ = client.set_zero_linger();
        return;
    }
    let (request, response) = shared.paths(client_node, target_node, route);
    shared.wait_while_stalled(&request).await;
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let transmit = |direction, segment| {
        let path = match direction {
            Direction::Request => &request,
            Direction::Response => &response,
        };
        shared.transmit(path, direction, segment)
    };
    tokio::select! {
        _ = link_pump::relay(&mut client, &mut upstream, SEGMENT_BYTES, transmit) => {}
        _ = fault_changes.wait_for(|_| shared.is_disconnected(client_node, target_node)) => {
            let _ = client.set_zero_linger();
            let _ = upstream.set_zero_linger();
        }
    }
}

/// Maximum size of a forwarded segment, in bytes, slightly more than a packet. At 1.4 MB/s, a segment of 16 KiB would
/// delay a token behind it by 12 ms.
const SEGMENT_BYTES: usize = 2 * 1024;

/// Burst of a link after an idle period, as the time in which it refills. Covers the timer resolution.
const LIMIT_BURST: Duration = Duration::from_millis(10);

/// Interval at which a stalled connection checks whether the fault has been cleared.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
