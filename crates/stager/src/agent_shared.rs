//! What all tasks of an agent share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Context;
use fleet::{FeedMirror, FeedTable, LoadedModel, SwitchDeadlines};
use httpio::HttpClient;
use platform::{NodeSettings, ReplicaApi, StoreClient};
use slog::Logger;
use tokio::sync::{Notify, Semaphore};

use crate::agent_metrics::AgentMetrics;
use crate::link_pace::LinkPace;
use crate::piece_book::PieceBook;

/// The weights that the replica is to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightTarget {
    pub(crate) model: String,
    pub(crate) version: u64,
    /// Origins of the weights, in the order of the configuration.
    pub(crate) origins: Vec<SocketAddr>,
    /// Connections that an origin accepts from all agents together.
    pub(crate) origin_connections: usize,
    /// Region of the first origin, where that is known.
    pub(crate) origin_region: Option<String>,
}

/// The state of one agent.
#[derive(Debug)]
pub(crate) struct AgentState {
    /// Weights that are wanted; `None` until the configuration was read.
    pub(crate) target: Option<WeightTarget>,
    /// Until when the replica must serve declared versions of the target's model.
    pub(crate) deadlines: SwitchDeadlines,
    /// Declared versions of each model with the time at which each became known, as entries told; without a time it may
    /// be long in force.
    pub(crate) told: BTreeMap<String, BTreeMap<u64, Option<Instant>>>,
    /// When an entry last told of declared versions.
    pub(crate) told_at: Option<Instant>,
    /// Entries of the zone that were heard, with the time of the last message.
    pub(crate) entries: BTreeMap<SocketAddr, Instant>,
    /// Copies of the store's tables.
    pub(crate) feeds: BTreeMap<FeedTable, FeedMirror>,
    /// Pieces that are staged at the replica.
    pub(crate) book: PieceBook,
    /// Whether missing pieces are being fetched, so that others may wait for them.
    pub(crate) is_fetching: bool,
    /// Weights that serve, as entries are told; `None` until the replica was looked at.
    pub(crate) serving: Option<Vec<LoadedModel>>,
}

/// Shared by all tasks of an agent.
#[derive(Debug)]
pub(crate) struct AgentShared {
    pub(crate) settings: NodeSettings,
    pub(crate) log: Logger,
    pub(crate) metrics: AgentMetrics,
    pub(crate) store: StoreClient,
    pub(crate) replica_address: SocketAddr,
    pub(crate) replica: ReplicaApi,
    /// Client for other agents.
    pub(crate) sources: HttpClient,
    /// Client for the origin, whose few connections all agents share.
    pub(crate) origin: HttpClient,
    /// Wakes the task that brings weights to the replica.
    pub(crate) wanted: Notify,
    /// Wakes the task that follows declarations.
    pub(crate) told: Notify,
    /// Wakes the task that tells entries what serves.
    pub(crate) served: Notify,
    /// Wakes requests that wait for a piece.
    pub(crate) arrived: Notify,
    /// Pace of pieces that are sent to other agents.
    pub(crate) upload_pace: LinkPace,
    /// Pace of pieces that are fetched.
    pub(crate) download_pace: LinkPace,
    /// Pieces that are sent to other agents at once.
    pub(crate) uploads: Semaphore,
    /// Pieces that are fetched from other agents at once.
    pub(crate) downloads: Semaphore,
    /// Pieces that are fetched from the origin at once.
    pub(crate) origin_fetches: Semaphore,
    state: Mutex<AgentState>,
}

impl AgentShared {
    pub(crate) fn new(settings: NodeSettings, log: Logger) -> anyhow::Result<Self> {
        let replica_address = settings.replica.context("settings name no replica")?;
        let client =
            || HttpClient::new(None, CONNECT_TIMEOUT).with_silence_timeout(SILENCE_TIMEOUT);
        Ok(Self {
            metrics: AgentMetrics::new()?,
            store: StoreClient::new(client(), settings.store.address, STORE_TIMEOUT),
            replica_address,
            replica: ReplicaApi::new(client(), replica_address, REPLICA_TIMEOUT),
            sources: client(),
            origin: client().without_idle_connections(),
            upload_pace: LinkPace::new(settings.link_mbps),
            download_pace: LinkPace::new(settings.link_mbps),
            wanted: Notify::new(),
            served: Notify::new(),
            told: Notify::new(),
            arrived: Notify::new(),
            uploads: Semaphore::new(MAX_UPLOADS),
            downloads: Semaphore::new(MAX_DOWNLOADS),
            origin_fetches: Semaphore::new(MAX_ORIGIN_FETCHES),
            state: Mutex::new(AgentState {
                target: None,
                deadlines: SwitchDeadlines::new(settings.bounds.version_switch),
                told: BTreeMap::new(),
                told_at: None,
                entries: BTreeMap::new(),
                feeds: BTreeMap::new(),
                book: PieceBook::default(),
                is_fetching: false,
                serving: None,
            }),
            settings,
            log,
        })
    }

    /// Locks the state; never held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state
            .lock()
            .expect("no holder of the state's lock panics")
    }

    /// Returns where other agents fetch pieces from this one.
    pub(crate) fn own_address(&self) -> SocketAddr {
        (self.settings.ip, self.settings.first_port).into()
    }
}

/// Time for a connection; all peers are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which unacknowledged bytes end a connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time for an answer of the store beyond what the call asks it to wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for an answer of the replica on the own machine.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pieces that are sent at once. The link also carries the replica's streams, which must not wait behind pieces.
const MAX_UPLOADS: usize = 2;

/// Pieces that are fetched from other agents at once, for the same reason.
const MAX_DOWNLOADS: usize = 8;

/// Pieces that are fetched from the origin at once; enough to keep its link busy with one other agent.
const MAX_ORIGIN_FETCHES: usize = 1;
