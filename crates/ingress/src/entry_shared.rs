//! What all tasks of an entry share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::{
    ConfigFreshness, FeedMirror, FeedTable, HealthTable, LoadTable, LogKind, LogRateLimiter,
    PeerRecord, PeerTable, ReplicaCatalog, RetryBudget, RouteTable, StoreClock, VersionTable,
};
use httpio::HttpClient;
use platform::{NodeSettings, StoreClient};
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::entry_metrics::EntryMetrics;

/// The state of one entry. All tasks run on one thread, so the lock is never contended.
#[derive(Debug)]
pub(crate) struct EntryState {
    /// Configuration in force; `None` until the first one was read.
    pub(crate) routes: Option<Arc<RouteTable>>,
    /// How recently it was confirmed.
    pub(crate) freshness: ConfigFreshness,
    /// Stand of the store's clock.
    pub(crate) store_clock: StoreClock,
    /// Copies of the tables that are followed.
    feeds: BTreeMap<FeedTable, FeedMirror>,
    /// Replicas that the store lists.
    pub(crate) catalog: ReplicaCatalog,
    /// Whether the list was read at least once.
    pub(crate) catalog_read: bool,
    /// Declared weights.
    pub(crate) versions: VersionTable,
    /// Whether the kept times of declarations were read, or could not be.
    pub(crate) times_read: bool,
    /// Load on the replicas.
    pub(crate) board: LoadTable,
    /// Health of the replicas as traffic shows it.
    pub(crate) health: HealthTable,
    /// Repeats that are left for each service.
    pub(crate) budgets: BTreeMap<String, RetryBudget>,
    /// Other entries.
    pub(crate) peers: PeerTable,
}

/// Shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) settings: NodeSettings,
    pub(crate) front: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    pub(crate) metrics: EntryMetrics,
    lines: Mutex<LogRateLimiter>,
    pub(crate) store: StoreClient,
    pub(crate) replicas: HttpClient,
    /// Wakes the task that tells other entries of a change that cannot wait.
    pub(crate) news: Notify,
    /// Wakes the task that tells agents of declared weights.
    pub(crate) declared: Notify,
    /// Wakes the task that keeps the times of declarations.
    pub(crate) versions_changed: Notify,
    /// Wakes questions of other entries when a table that they follow has changed.
    pub(crate) feed_changed: Notify,
    /// Wakes the first task when this entry's load on a replica has changed.
    pub(crate) load_changed: Notify,
    stopping: Mutex<Option<Instant>>,
    state: Mutex<EntryState>,
}

impl EntryShared {
    pub(crate) fn new(
        settings: NodeSettings,
        front: SocketAddr,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let store_client =
            HttpClient::new(None, STORE_CONNECT_TIMEOUT).with_silence_timeout(SILENCE_TIMEOUT);
        let store = StoreClient::new(store_client, settings.store.address, STORE_TIMEOUT);
        let replicas =
            HttpClient::new(None, REPLICA_CONNECT_TIMEOUT).with_silence_timeout(SILENCE_TIMEOUT);
        // A replica whose machine is frozen must not find requests of clients that have left when it wakes.
        let replicas = replicas.with_resets();
        let max_age = settings
            .bounds
            .revocation
            .map(|it| it.saturating_sub(REVOCATION_RESERVE));
        let switch = settings
            .bounds
            .version_switch
            .saturating_sub(SWITCH_RESERVE);
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
        Ok(Self {
            front,
            incarnation,
            metrics: EntryMetrics::new()?,
            lines: Mutex::new(LogRateLimiter::new(Instant::now())),
            store,
            replicas,
            news: Notify::new(),
            versions_changed: Notify::new(),
            feed_changed: Notify::new(),
            load_changed: Notify::new(),
            declared: Notify::new(),
            stopping: Mutex::new(None),
            state: Mutex::new(EntryState {
                routes: None,
                freshness: ConfigFreshness::new(max_age),
                store_clock: StoreClock::default(),
                feeds: BTreeMap::new(),
                catalog: ReplicaCatalog::default(),
                catalog_read: false,
                versions: VersionTable::new(switch),
                times_read: false,
                board: LoadTable::default(),
                health: HealthTable::default(),
                budgets: BTreeMap::new(),
                peers: PeerTable::default(),
            }),
            settings,
            log,
        })
    }

    /// Locks the budget of lines; never held across an await.
    pub(crate) fn lines(&self) -> MutexGuard<'_, LogRateLimiter> {
        self.lines
            .lock()
            .expect("no holder of the lines' lock panics")
    }

    /// Says whether a line of `kind` about a request may be written now.
    pub(crate) fn may_log(&self, kind: LogKind) -> bool {
        let decision = self.lines().check(kind, Instant::now());
        if let Some([served, failed]) = decision.suppressed_before {
            warn!(self.log, "lines suppressed"; "served" => served, "failed" => failed);
        }
        decision.allowed
    }

    /// Locks the state; never held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state
            .lock()
            .expect("no holder of the state's lock panics")
    }

    /// Returns the time since the planned stop began.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        let began = self
            .stopping
            .lock()
            .expect("no holder of the stop's lock panics");
        began.map(|it| it.elapsed())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_for().is_some()
    }

    pub(crate) fn begin_stop(&self) {
        *self
            .stopping
            .lock()
            .expect("no holder of the stop's lock panics") = Some(Instant::now());
        self.news.notify_one();
    }

    /// Says whether this entry takes new clients.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        !self.is_stopping() && state.routes.is_some() && state.catalog_read
    }

    /// Returns how other entries know this one.
    pub(crate) fn own_record(&self) -> PeerRecord {
        PeerRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            front: self.front,
            inner: (self.settings.ip, self.settings.first_port).into(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            ready: self.is_ready(),
        }
    }
}

impl EntryState {
    /// Returns the copy of `table`.
    pub(crate) fn feed(&mut self, table: FeedTable) -> &mut FeedMirror {
        self.feeds.entry(table).or_default()
    }

    /// Returns the budget of repeats for `service`.
    pub(crate) fn budget(
        &mut self,
        service: &str,
        settings: &NodeSettings,
        now: Instant,
    ) -> &mut RetryBudget {
        let entries = self.peers.alive(now).count() + 1;
        self.budgets.entry(service.to_owned()).or_insert_with(|| {
            let bounds = &settings.bounds;
            // Entries may be added, and a restarted one forgets what its incarnation has used.
            let share = bounds.repeat_allowance / (entries.max(MIN_ENTRIES) as f64 * 2.0);
            RetryBudget::new(
                bounds.repeat_window + WINDOW_RESERVE,
                bounds.repeat_ratio * RATIO_SHARE,
                share,
            )
        })
    }
}

/// Time for a connection to the store; its distance is a few milliseconds.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for an answer of the store beyond what the call asks it to wait; slow days take 60 times 4 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for a connection to a replica; a lost packet of the handshake is sent again after a second.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection; many round trips even on a lossy link.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Part of the bound on revocation that the way of a change may take: a feed that is deaf for a second, and the wait
/// of a request between its sending and its reading.
const REVOCATION_RESERVE: Duration = Duration::from_millis(1300);

/// Part of the bound on a switch of weights that the news of it may take, and the way to a replica; the wait there is
/// predicted.
const SWITCH_RESERVE: Duration = Duration::from_millis(600);

/// Entries that share the allowance of repeats at least: those of the smallest deployment.
const MIN_ENTRIES: usize = 8;

/// Share of the allowed ratio of repeats that is used, since a window of the judge may cut our windows.
const RATIO_SHARE: f64 = 0.6;

/// Added to the window of repeats, since a request is counted a little before it arrives.
const WINDOW_RESERVE: Duration = Duration::from_millis(500);
