//! State, clients and limits that all tasks of an agent share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Context;
use fleet::{
    FeedMirror, FeedTable, LoadDenial, LoadPermit, LoadedModel, OrderWindow, PieceManifest,
    PieceSet, SWITCH_RESERVE, StagedPieces, StoreTimes, SwitchDeadlines, VersionTable,
};
use httpio::HttpClient;
use platform::{NodeSettings, ReplicaClient, ReplicaReport, StoreClient};
use relay::boot_clock;
use routing::RequestRate;
use slog::Logger;
use tokio::sync::{Notify, Semaphore};

use crate::agent_metrics::AgentMetrics;
use crate::link_pacer::LinkPacer;

/// Version of weights that the replica is to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightTarget {
    pub(crate) model: String,
    pub(crate) version: u64,
    /// Addresses of the origins, in the order of the configuration.
    pub(crate) origins: Vec<SocketAddr>,
    /// Region of the first origin, if known.
    pub(crate) origin_region: Option<String>,
}

/// A load order whose outcome is not known: the replica may accept it at any time, and loads what is staged then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnsettledOrder {
    /// Weights that the order is for.
    pub(crate) target: WeightTarget,
    /// Opened when the order was last sent.
    pub(crate) window: OrderWindow,
}

/// Load orders that an earlier process of this agent may have sent, and of which this one knows nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PriorOrders {
    /// Opened when this process first polled the replica.
    pub(crate) window: OrderWindow,
    /// When the staged pieces were last read to find out what may have been ordered.
    pub(crate) surveyed_at: Option<Instant>,
}

/// Mutable state of an agent.
#[derive(Debug)]
pub(crate) struct AgentState {
    /// Weights that the replica is to serve, or `None` until the configuration has been read.
    pub(crate) target: Option<WeightTarget>,
    /// Deadlines by which the replica must serve the declared versions of the target's model.
    pub(crate) deadlines: SwitchDeadlines,
    /// The store's clock and the times of its changes.
    pub(crate) store_times: StoreTimes,
    /// Declared versions as received from entries or read from the store.
    pub(crate) declarations: VersionTable,
    /// Time of the last message with declared versions.
    pub(crate) declarations_received_at: Option<Instant>,
    /// Entries of the availability zone that have sent messages, with the time of the last one.
    pub(crate) entries: BTreeMap<SocketAddr, Instant>,
    /// Copies of store tables.
    pub(crate) feeds: BTreeMap<FeedTable, FeedMirror>,
    /// Pieces that are staged at the replica.
    pub(crate) staged_pieces: StagedPieces,
    /// Version that the replica was last ordered to load, unless the replica has restarted since.
    pub(crate) ordered_version: Option<u64>,
    /// Load order that the replica has not answered. Pieces of no other version may be staged meanwhile.
    pub(crate) unsettled_order: Option<UnsettledOrder>,
    /// Orders of an earlier process, until it is known that none of them can take effect.
    pub(crate) prior_orders: Option<PriorOrders>,
    /// Weights that the replica serves, as reported to entries, or `None` until the replica has first been polled.
    pub(crate) serving: Option<Vec<LoadedModel>>,
    /// When the replica was last ordered to load weights.
    pub(crate) ordered_at: Option<Instant>,
    /// The last report of the replica, and when it was requested.
    pub(crate) last_report: Option<(ReplicaReport, Instant)>,
    /// Limit that the replica names in its reports.
    pub(crate) named_limit: Option<RequestRate>,
}

/// State, clients and limits that all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct AgentShared {
    pub(crate) settings: NodeSettings,
    pub(crate) log: Logger,
    pub(crate) metrics: AgentMetrics,
    pub(crate) store: StoreClient,
    pub(crate) replica_address: SocketAddr,
    pub(crate) replica_client: ReplicaClient,
    /// Client for requests to other agents.
    pub(crate) peer_client: HttpClient,
    /// Client for requests to the origin, whose few connections all agents share.
    pub(crate) origin_client: HttpClient,
    /// Wakes the task that updates the replica.
    pub(crate) target_changed: Notify,
    /// Wakes the task that determines the target.
    pub(crate) declarations_received: Notify,
    /// Wakes the task that sends status messages to entries.
    pub(crate) serving_changed: Notify,
    /// Wakes requests that wait for a piece or a manifest.
    pub(crate) pieces_changed: Notify,
    /// Rate limit of pieces that are sent to other agents.
    pub(crate) upload_pacer: LinkPacer,
    /// Rate limit of pieces that are fetched.
    pub(crate) download_pacer: LinkPacer,
    /// Limits the concurrent transfers of pieces to other agents.
    pub(crate) upload_slots: Semaphore,
    state: Mutex<AgentState>,
}

impl AgentState {
    /// Returns the weights whose pieces are staged now: those of an unsettled order, or else the target.
    pub(crate) fn staging_target(&self) -> Option<&WeightTarget> {
        let unsettled = self.unsettled_order.as_ref().map(|it| &it.target);
        unsettled.or(self.target.as_ref())
    }

    /// Returns the staged pieces of `target` if it is the tracked version.
    pub(crate) fn staged(&self, target: &WeightTarget) -> Option<&PieceSet> {
        let (model, version) = (&target.model, target.version);
        self.staged_pieces.current_pieces(model, version)
    }

    /// Returns the manifest of `target` if it is the tracked version.
    pub(crate) fn manifest(&self, target: &WeightTarget) -> Option<&Arc<PieceManifest>> {
        let (model, version) = (&target.model, target.version);
        self.staged_pieces.current_manifest(model, version)
    }

    /// Returns whether a load of `target` may be ordered if the order is sent by `sent_by`, measured since boot.
    pub(crate) fn permit_load(
        &self,
        target: &WeightTarget,
        sent_by: Duration,
    ) -> Result<LoadPermit, LoadDenial> {
        let (model, version) = (&target.model, target.version);
        self.staged_pieces.permit_load(model, version, sent_by)
    }

    /// Returns the latest time that the store's clock can show, if a bound of it is known.
    pub(crate) fn latest_store_time(&self) -> Option<Duration> {
        let latest_ms = self.store_times.clock().latest_ms(boot_clock::now());
        latest_ms.map(Duration::from_millis)
    }

    /// Forgets the orders that a replica which has started `orders_started` orders has answered in effect, or that were
    /// not answered for so long that they were most likely lost.
    pub(crate) fn settle_orders(&mut self, orders_started: u64, now: Instant) {
        self.unsettled_order
            .take_if(|it| it.window.is_closed(orders_started, now));
        self.prior_orders
            .take_if(|it| it.window.is_closed(orders_started, now));
    }

    /// Keeps orders unsettled while the replica is silent.
    pub(crate) fn defer_settling(&mut self, now: Instant) {
        let unsettled = self.unsettled_order.as_mut().map(|it| &mut it.window);
        let prior = self.prior_orders.as_mut().map(|it| &mut it.window);
        for window in unsettled.into_iter().chain(prior) {
            window.extend(now);
        }
    }
}

impl AgentShared {
    pub(crate) fn new(settings: NodeSettings, log: Logger) -> anyhow::Result<Self> {
        let replica_address = settings
            .replica
            .context("the settings contain no replica address")?;
        let client =
            || HttpClient::new(None, CONNECT_TIMEOUT).with_tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT);
        Ok(Self {
            metrics: AgentMetrics::new()?,
            store: StoreClient::new(client(), settings.store.address, STORE_TIMEOUT),
            replica_address,
            replica_client: ReplicaClient::new(client(), replica_address, REPLICA_TIMEOUT),
            peer_client: client(),
            origin_client: client().without_pooling(),
            upload_pacer: LinkPacer::new(settings.link_mbps),
            download_pacer: LinkPacer::new(settings.link_mbps),
            target_changed: Notify::new(),
            serving_changed: Notify::new(),
            declarations_received: Notify::new(),
            pieces_changed: Notify::new(),
            upload_slots: Semaphore::new(MAX_UPLOADS),
            state: Mutex::new(AgentState {
                target: None,
                deadlines: SwitchDeadlines::new(settings.bounds.version_switch, SWITCH_RESERVE),
                store_times: StoreTimes::default(),
                declarations: VersionTable::new(settings.bounds.version_switch),
                declarations_received_at: None,
                entries: BTreeMap::new(),
                feeds: BTreeMap::new(),
                staged_pieces: StagedPieces::default(),
                ordered_version: None,
                unsettled_order: None,
                prior_orders: None,
                serving: None,
                ordered_at: None,
                last_report: None,
                named_limit: None,
            }),
            settings,
            log,
        })
    }

    /// Locks the state. The guard must not be held across an await point.
    pub(crate) fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state lock")
    }

    /// Returns the address at which this agent serves pieces to other agents.
    pub(crate) fn own_address(&self) -> SocketAddr {
        (self.settings.ip, self.settings.first_port).into()
    }
}

/// Timeout for opening a connection; all other hosts are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a connection with unacknowledged bytes is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2000);

/// Timeout for a response of the store, in addition to the wait that a call requests.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for a response of the replica, which runs on the same host.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of pieces that are sent concurrently. The link also carries the streams of the replica, which must
/// not queue behind pieces.
const MAX_UPLOADS: usize = 2;
