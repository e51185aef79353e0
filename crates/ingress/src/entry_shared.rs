//! State, clients and signals shared by all tasks of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::{
    ClientLimits, ClockChange, ColdTable, ConfigFreshness, ConfigHistory, ConfigLag,
    EvacuationTable, FeedMirror, FeedResponse, FeedTable, HealthTable, LoadTable, LogKind,
    LogRateLimiter, PeerRecord, PeerTable, ReadingState, ReplicaCatalog, RetryBudget, RouteTable,
    SWITCH_RESERVE, StorePosition, StoreRead, StoreTimes, SuspensionWatch, TIMER_RESERVE,
    TimerLateness, VersionTable,
};
use httpio::{BufferBudget, HttpClient};
use platform::{NodeSettings, RowPage, StoreClient};
use relay::boot_clock;
use routing::{CrashTable, DigestSchedule, LimitTable, PartId};
use slog::{Logger, warn};
use tokio::sync::{Notify, watch};

use crate::client_accounts::{self, ClientAccounts};
use crate::crash_guard::BrokenReplica;
use crate::entry_metrics::EntryMetrics;

/// The mutable state of an entry. All tasks run on one thread, so its lock is never contended.
#[derive(Debug)]
pub(crate) struct EntryState {
    /// Configuration in force; `None` until one has been read.
    pub(crate) routes: Option<Arc<RouteTable>>,
    /// The document in force, for entries that start.
    pub(crate) config_document: Option<Arc<[u8]>>,
    /// Entries that have a newer configuration.
    pub(crate) config_lag: ConfigLag,
    /// Which documents have been in force.
    pub(crate) config_history: ConfigHistory,
    /// When the configuration was last confirmed to be the newest.
    pub(crate) freshness: ConfigFreshness,
    /// The store's clock and the times of its changes.
    pub(crate) store_times: StoreTimes,
    /// How late timers have fired.
    pub(crate) timer_lateness: TimerLateness,
    /// Shortest time of a call to the store in microseconds.
    pub(crate) store_delay_us: Option<u32>,
    /// Tables that the store did not answer about at the last call.
    pub(crate) cut_off_feeds: BTreeSet<FeedTable>,
    /// Local copies of the store tables that this entry follows.
    feeds: BTreeMap<FeedTable, FeedMirror>,
    /// Replicas listed in the store.
    pub(crate) catalog: ReplicaCatalog,
    /// Whether the list of replicas has been read at least once.
    pub(crate) is_catalog_read: bool,
    /// Declared versions of weights.
    pub(crate) versions: VersionTable,
    /// Whether the recorded times of declarations have been read, or reading them failed.
    pub(crate) declaration_times_read: bool,
    /// Load of the replicas.
    pub(crate) loads: LoadTable,
    /// Health of the replicas as observed in requests.
    pub(crate) health: HealthTable,
    /// Evidence about requests that crash replicas.
    pub(crate) crashes: CrashTable,
    /// Whether another entry has sent its evidence.
    pub(crate) has_peer_evidence: bool,
    /// Replicas that are being probed after a broken connection, by id.
    pub(crate) broken_replicas: BTreeMap<String, BrokenReplica>,
    /// Suspected and held parts of requests that are under way at this entry.
    pub(crate) trials: BTreeSet<PartId>,
    /// Limits that replicas name for all entries together, and turns at cold replicas.
    pub(crate) limits: LimitTable,
    /// Which replicas are cold.
    pub(crate) cold: ColdTable,
    /// Availability zones that get no requests.
    pub(crate) evacuations: EvacuationTable,
    /// Whether an evacuation may have begun while this entry was suspended.
    pub(crate) suspension: SuspensionWatch,
    /// Until when other entries are told all departures, because one of them was discovered.
    pub(crate) tells_departures_until: Option<Instant>,
    /// Which heartbeats contain the evidence.
    pub(crate) heartbeat_digest: DigestSchedule,
    /// Which reports to other zones contain the evidence.
    pub(crate) report_digest: DigestSchedule,
    /// Retry budget of each service.
    pub(crate) retry_budgets: BTreeMap<String, RetryBudget>,
    /// The other entries.
    pub(crate) peers: PeerTable,
}

/// Shared by all tasks of an entry.
#[derive(Debug)]
pub(crate) struct EntryShared {
    pub(crate) settings: NodeSettings,
    /// Address on which clients connect.
    pub(crate) front: SocketAddr,
    /// Start time of the process in Unix milliseconds, which orders the incarnations of an entry.
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    pub(crate) metrics: EntryMetrics,
    log_limiter: Mutex<LogRateLimiter>,
    pub(crate) store: StoreClient,
    pub(crate) replica_client: HttpClient,
    /// What the host leaves for clients.
    pub(crate) client_limits: ClientLimits,
    /// Connections of clients, by address.
    pub(crate) client_accounts: ClientAccounts,
    /// Memory for the bodies of responses that are read completely before they are forwarded.
    pub(crate) response_budget: BufferBudget,
    /// Memory that the heads and bodies of clients' requests share until the requests end.
    pub(crate) request_budget: BufferBudget,
    /// Wakes the task that sends this entry's state to other entries, for a change that they must receive at once.
    pub(crate) urgent_change: Notify,
    /// Wakes the task that announces declared weights to agents.
    pub(crate) weights_declared: Notify,
    /// Wakes the task that reports to other zones, for a declaration that they must receive at once.
    pub(crate) urgent_report: Notify,
    /// Wakes the task that records the times of declarations.
    pub(crate) versions_changed: Notify,
    /// Wakes pending feed requests of other entries and agents when a table has changed.
    pub(crate) feed_changed: Notify,
    /// Wakes the task that sends this entry's state to other entries when its load on a replica has changed.
    pub(crate) load_changed: Notify,
    /// Wakes requests that wait for the evidence of other entries.
    pub(crate) evidence_received: Notify,
    /// Wakes the feeds when one of them has shown that the store is back.
    pub(crate) store_regained: Notify,
    /// Latest known era of the store. Notifies the tasks that write rows again which the store may have lost.
    pub(crate) store_era: watch::Sender<u64>,
    /// Notifies requests that have not begun when parts may have been held back.
    pub(crate) holds_changed: watch::Sender<()>,
    /// Notifies requests that have not begun when a version of weights becomes known or takes effect earlier.
    pub(crate) switches_changed: watch::Sender<()>,
    /// When the process started.
    pub(crate) started_at: Instant,
    /// Time since the host was booted at the start of the process.
    boot_age_at_start: Duration,
    /// Wakes the handlers of requests in flight at the end of a planned stop.
    pub(crate) final_responses_due: Notify,
    stop_began_at: Mutex<Option<Instant>>,
    state: Mutex<EntryState>,
}

impl EntryShared {
    pub(crate) fn new(
        settings: NodeSettings,
        front: SocketAddr,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let store_client = HttpClient::new(None, STORE_CONNECT_TIMEOUT)
            .with_tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT);
        let store = StoreClient::new(store_client, settings.store.address, STORE_TIMEOUT);
        let replica_client = HttpClient::new(None, REPLICA_CONNECT_TIMEOUT)
            .with_tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT);
        // With a reset, a replica learns at its next read or write that a request was cancelled. One on a frozen host learns it
        // once it is resumed.
        let replica_client = replica_client.with_reset_on_close();
        let max_config_age = settings
            .bounds
            .key_revocation
            .map(|it| it.saturating_sub(REVOCATION_RESERVE));
        let switch_bound = settings
            .bounds
            .version_switch
            .saturating_sub(SWITCH_RESERVE);
        let started_at = Instant::now();
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
        let client_limits = client_accounts::client_limits(&settings);
        let (request_budget, response_budget) = client_accounts::budgets(client_limits.memory);
        Ok(Self {
            client_limits,
            client_accounts: ClientAccounts::new(&client_limits),
            front,
            incarnation,
            metrics: EntryMetrics::new()?,
            log_limiter: Mutex::new(LogRateLimiter::new(Instant::now())),
            store,
            replica_client,
            response_budget,
            request_budget,
            urgent_change: Notify::new(),
            versions_changed: Notify::new(),
            feed_changed: Notify::new(),
            load_changed: Notify::new(),
            weights_declared: Notify::new(),
            urgent_report: Notify::new(),
            evidence_received: Notify::new(),
            store_regained: Notify::new(),
            store_era: watch::Sender::new(0),
            holds_changed: watch::Sender::new(()),
            switches_changed: watch::Sender::new(()),
            started_at,
            boot_age_at_start: boot_clock::now(),
            final_responses_due: Notify::new(),
            stop_began_at: Mutex::new(None),
            state: Mutex::new(EntryState {
                routes: None,
                config_document: None,
                config_lag: ConfigLag::new(started_at),
                config_history: ConfigHistory::default(),
                freshness: ConfigFreshness::new(max_config_age),
                store_times: StoreTimes::default(),
                timer_lateness: TimerLateness::default(),
                store_delay_us: None,
                cut_off_feeds: BTreeSet::new(),
                feeds: BTreeMap::new(),
                catalog: ReplicaCatalog::default(),
                is_catalog_read: false,
                versions: VersionTable::new(switch_bound),
                declaration_times_read: false,
                loads: LoadTable::default(),
                health: HealthTable::default(),
                crashes: CrashTable::new(&settings.node),
                has_peer_evidence: false,
                broken_replicas: BTreeMap::new(),
                trials: BTreeSet::new(),
                limits: LimitTable::new(started_at, &settings.node),
                cold: ColdTable::default(),
                evacuations: EvacuationTable::default(),
                suspension: SuspensionWatch::new(settings.bounds.evacuation, boot_clock::now()),
                tells_departures_until: None,
                heartbeat_digest: DigestSchedule::default(),
                report_digest: DigestSchedule::default(),
                retry_budgets: BTreeMap::new(),
                peers: PeerTable::default(),
            }),
            settings,
            log,
        })
    }

    /// Locks the rate limiter of log lines; never held across an await.
    pub(crate) fn log_limiter(&self) -> MutexGuard<'_, LogRateLimiter> {
        self.log_limiter
            .lock()
            .expect("no thread panics while it holds the log limiter lock")
    }

    /// Returns whether a log line of `kind` about a request may be written now.
    pub(crate) fn may_log(&self, kind: LogKind) -> bool {
        let decision = self.log_limiter().check(kind, Instant::now());
        if let Some([served, failed]) = decision.suppressed_before {
            warn!(self.log, "lines suppressed"; "served" => served, "failed" => failed);
        }
        decision.allowed
    }

    /// Returns the current time of a clock that, unlike that of `Instant`, advances while the host is suspended. Its
    /// times are comparable with each other only.
    pub(crate) fn suspend_aware_now(&self) -> Instant {
        self.started_at + boot_clock::now().saturating_sub(self.boot_age_at_start)
    }

    /// Returns the version of the configuration in force, and the time since it was confirmed to be the newest one.
    pub(crate) fn config_in_force(&self) -> (Option<u64>, Option<Duration>) {
        let state = self.state();
        let version = state.routes.as_ref().map(|it| it.version());
        (version, state.freshness.age(boot_clock::now()))
    }

    /// Locks the state; never held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state lock")
    }

    /// Returns the time since the planned stop began, if it has.
    pub(crate) fn time_since_stop(&self) -> Option<Duration> {
        let began = self
            .stop_began_at
            .lock()
            .expect("no thread panics while it holds the stop lock");
        began.map(|it| it.elapsed())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.time_since_stop().is_some()
    }

    pub(crate) fn begin_stop(&self) {
        *self
            .stop_began_at
            .lock()
            .expect("no thread panics while it holds the stop lock") = Some(Instant::now());
        self.urgent_change.notify_one();
    }

    /// Records that the store has named `era`; `is_first` is whether this process knew no era of the table before.
    pub(crate) fn record_era(&self, era: u64, is_first: bool) {
        self.store_era.send_if_modified(|known| {
            let is_later = era > *known;
            *known = era.max(*known);
            is_later && !is_first
        });
    }

    /// Records what a response of the store shows of its clock and of the times of its changes.
    pub(crate) fn record_store_time(&self, state: &mut EntryState, read: &StoreRead) {
        let change = state.store_times.record_read(read);
        self.apply_clock_change(state, change);
    }

    /// Records what a page of a table that this entry does not follow shows of the store's clock.
    pub(crate) fn record_page_time(&self, page: &RowPage, sent: Duration) {
        let received = boot_clock::now();
        let mut state = self.state();
        let known_era = *self.store_era.borrow();
        let read = page.store_read(known_era, sent, received, Duration::ZERO);
        if read.position.era() >= known_era {
            self.record_store_time(&mut state, &read);
        }
    }

    /// Records what a response of another entry shows of the store's clock and of the times of its changes.
    pub(crate) fn record_relayed_time(
        &self,
        state: &mut EntryState,
        response: &FeedResponse,
        sent: Duration,
        received: Duration,
    ) {
        let change = state.store_times.record_relayed(response, sent, received);
        self.apply_clock_change(state, change);
    }

    fn apply_clock_change(&self, state: &mut EntryState, change: ClockChange) {
        if let ClockChange::Restarted { set_back } = change {
            state.versions.set_back(set_back);
            let set_back_ms = u64::try_from(set_back.as_millis()).unwrap_or(u64::MAX);
            warn!(self.log, "the clock of the store is not steady"; "set_back_ms" => set_back_ms);
        }
    }

    /// Returns whether this entry accepts new clients.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        !self.is_stopping() && state.routes.is_some() && state.is_catalog_read
    }

    /// Returns the record that describes this entry to other entries.
    pub(crate) fn own_record(&self) -> PeerRecord {
        let state = self.state();
        let reading = ReadingState {
            store_delay_us: state.store_delay_us,
            // Bandwidths are whole numbers of Mbit/s except on very slow links.
            link_mbps: self.settings.link_mbps.max(0.0) as u32,
            config_version: state.routes.as_ref().map_or(0, |it| it.version()),
            is_cut_off: !state.cut_off_feeds.is_empty(),
        };
        drop(state);
        PeerRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            front: self.front,
            inner: (self.settings.ip, self.settings.first_port).into(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            ready: self.is_ready(),
            reading: Some(reading),
        }
    }
}

impl EntryState {
    /// Returns the latest time on the store's clock by which an action that is decided on at `since_boot` takes effect, as far
    /// as it exceeds [`SWITCH_RESERVE`]; `None` if no bound of that clock is known.
    pub(crate) fn latest_store_ms(&self, since_boot: Duration) -> Option<u64> {
        let excess = self.timer_lateness.excess(TIMER_RESERVE, since_boot);
        let latest_ms = self.store_times.clock().latest_ms(since_boot)?;
        let excess_ms = u64::try_from(excess.as_millis()).unwrap_or(u64::MAX);
        Some(latest_ms.saturating_add(excess_ms))
    }

    /// Returns the local copy of `table` and the times of the store's changes.
    pub(crate) fn feed_and_times(&mut self, table: FeedTable) -> (&mut FeedMirror, &StoreTimes) {
        let feed = self.feeds.entry(table).or_default();
        (feed, &self.store_times)
    }

    /// Returns the local copy of `table`.
    pub(crate) fn feed(&mut self, table: FeedTable) -> &mut FeedMirror {
        self.feeds.entry(table).or_default()
    }

    /// Returns the position up to which the local copy of the operator's rows has been read.
    pub(crate) fn operator_copy(&self) -> Option<StorePosition> {
        self.feeds.get(&FeedTable::Operator)?.position()
    }

    /// Returns the retry budget of `service`.
    pub(crate) fn retry_budget(
        &mut self,
        service: &str,
        settings: &NodeSettings,
        now: Instant,
    ) -> &mut RetryBudget {
        let entries = self.peers.alive(now).count() + 1;
        self.retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| {
                let bounds = &settings.bounds;
                // Halved, because entries may be added and a restarted entry does not know what its previous
                // incarnation used.
                let allowance = bounds.retry_allowance / (entries.max(MIN_ENTRIES) as f64 * 2.0);
                RetryBudget::new(
                    bounds.retry_window + WINDOW_RESERVE,
                    bounds.retry_ratio * RATIO_FRACTION,
                    allowance,
                )
            })
    }
}

/// Timeout for connecting to the store, which is a few milliseconds away.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for a response of the store, in addition to the wait that a call requests. Under a slowdown of 60 times, a
/// call that normally takes 4 ms takes 240 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout for connecting to a replica. A lost packet of the handshake would be retransmitted only after a second.
pub(crate) const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection with unacknowledged bytes is closed; many round trips even on a lossy link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Part of the bound on revocation that is reserved for the propagation of a change: a feed that receives nothing for a
/// second, and the time between sending and reading a request.
const REVOCATION_RESERVE: Duration = Duration::from_millis(1300);

/// Minimum number of entries among which the allowance of retries is divided: that of the smallest deployment.
const MIN_ENTRIES: usize = 8;

/// Fraction of the allowed ratio of retries that is used, because the windows in which the ratio is checked may not
/// align with those of the budget.
const RATIO_FRACTION: f64 = 0.6;

/// Added to the window of the retry budget, because a request is counted slightly before it arrives at a replica.
const WINDOW_RESERVE: Duration = Duration::from_millis(500);
