//! The thread that owns an entry's control state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use control::{ConfigCache, TargetUpdate, TargetView};
use model::{ConfigRevision, EntryRow, HostName, Incarnation, SwitchPermit};
use settings::EntrySettings;
use slog::{Logger, info, warn};
use wire::EntrySummary;

use crate::calls::CallCounters;
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, KnownEntry, SnapshotCell};
use crate::control::exchange_loop::idle_exchange_interval;

/// Handle of the thread that applies events in order and publishes a snapshot after each batch.
#[derive(Debug)]
pub(crate) struct ControlThread {
    events: Sender<ControlEvent>,
}

struct ControlState {
    settings: Arc<EntrySettings>,
    incarnation: Incarnation,
    sequence: u64,
    config_cache: ConfigCache,
    view: TargetView,
    entries: BTreeMap<HostName, KnownEntry>,
    candidate_addresses: BTreeMap<SocketAddr, Instant>,
    own_permits: Vec<SwitchPermit>,
    leaving: bool,
    calls: Arc<CallCounters>,
    log: Logger,
}

impl ControlThread {
    pub(crate) fn start(
        settings: Arc<EntrySettings>,
        incarnation: Incarnation,
        snapshots: Arc<SnapshotCell>,
        calls: Arc<CallCounters>,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let (events, receiver) = mpsc::channel();
        let state = ControlState {
            settings,
            incarnation,
            sequence: 0,
            config_cache: ConfigCache::default(),
            view: TargetView::default(),
            entries: BTreeMap::new(),
            candidate_addresses: BTreeMap::new(),
            own_permits: Vec::new(),
            leaving: false,
            calls,
            log,
        };
        std::thread::Builder::new()
            .name("control".to_string())
            .spawn(move || run(state, &receiver, &snapshots))?;
        Ok(Self { events })
    }

    pub(crate) fn sender(&self) -> Sender<ControlEvent> {
        self.events.clone()
    }

    pub(crate) fn request_stop(&self) {
        let _ = self.events.send(ControlEvent::Stop);
    }
}

fn run(mut state: ControlState, events: &Receiver<ControlEvent>, snapshots: &SnapshotCell) {
    loop {
        match events.recv_timeout(EVENT_TIMEOUT) {
            Ok(event) => state.apply(event, Instant::now()),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        // Publishing one snapshot per batch bounds the cost of snapshots, whatever the rate of events.
        let publish_at = Instant::now() + BATCH_TIME;
        while let Some(remaining) = publish_at.checked_duration_since(Instant::now())
            && let Ok(event) = events.recv_timeout(remaining)
        {
            state.apply(event, Instant::now());
        }
        state.remove_expired(Instant::now());
        snapshots.store(state.snapshot());
    }
}

impl ControlState {
    fn apply(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Heartbeat(row) => {
                if let Some(conflict) = self.view.apply_heartbeat(*row, now) {
                    warn!(self.log, "two processes use the same host name"; "host" => %conflict.host);
                }
            }
            ControlEvent::Exchange(summary) => self.apply_summary(*summary, now),
            ControlEvent::Config(config, source) => {
                let revision = config.revision;
                if self.config_cache.update(*config, &source, now) {
                    info!(self.log, "configuration updated"; "revision" => %revision);
                }
            }
            ControlEvent::RevisionObserved(revision, source) => {
                self.config_cache.observe_revision(revision, &source, now)
            }
            ControlEvent::Permits(permits) => self.own_permits = permits,
            ControlEvent::Stop => self.leaving = true,
        }
    }

    fn apply_summary(&mut self, summary: EntrySummary, now: Instant) {
        let sender = summary.entry.host.clone();
        if sender == self.settings.host.name {
            return;
        }
        let row_version = |it: &EntryRow| (it.incarnation, it.sequence);
        let is_newer = |it: &KnownEntry| row_version(&it.row) > row_version(&summary.entry);
        if self.entries.get(&sender).is_some_and(is_newer) {
            return;
        }
        for address in summary.entry_addresses {
            self.candidate_addresses.insert(address, now);
        }
        let update = TargetUpdate {
            rows: summary.targets,
            revisions: summary.revisions,
            removed: summary.removed,
            complete: summary.complete,
        };
        self.view.apply_update(&sender, update, now);
        if summary.entry.ready {
            let source = control::ConfigSource::Peer(sender);
            self.config_cache
                .observe_revision(summary.revision, &source, now);
        }
        let entry = KnownEntry {
            row: summary.entry,
            last_seen: now,
            permits: summary.permits,
        };
        self.entries.insert(entry.row.host.clone(), entry);
    }

    fn remove_expired(&mut self, now: Instant) {
        let timeout = entry_timeout(self.entries.len());
        self.entries
            .retain(|_, it| now.duration_since(it.last_seen) < timeout);
        let entries = &self.entries;
        self.view.remove_expired(now, |it| entries.contains_key(it));
        self.candidate_addresses
            .retain(|_, it| now.duration_since(*it) < timeout);
    }

    fn snapshot(&mut self) -> ControlSnapshot {
        self.sequence += 1;
        let mut permits = self.own_permits.clone();
        permits.extend(
            self.entries
                .values()
                .flat_map(|it| it.permits.iter().cloned()),
        );
        ControlSnapshot {
            config: self.config_cache.ready_config().cloned(),
            held_revision: self.config_cache.held_revision(),
            confirmed_at: self.config_cache.confirmed_at(),
            targets: self.view.targets().clone(),
            entries: self.entries.clone(),
            candidate_addresses: self.candidate_addresses.keys().copied().collect(),
            own: Some(self.own_row()),
            permits,
            own_permits: self.own_permits.clone(),
        }
    }

    fn own_row(&self) -> EntryRow {
        let host = &self.settings.host;
        let overload = self.calls.overload();
        EntryRow {
            host: host.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            zone: host.zone.clone(),
            region: host.region.clone(),
            callers: self.settings.listen.callers,
            control: self.settings.listen.control,
            operators: self.settings.listen.operators,
            ready: self.config_cache.ready_config().is_some(),
            leaving: self.leaving,
            streams: self.calls.in_flight(),
            overloaded_ms: overload.map(|it| it.0),
            overload_cause: overload.map(|it| it.1),
            revision: self
                .config_cache
                .ready_config()
                .map_or(ConfigRevision::default(), |it| it.revision),
        }
    }
}

/// Time over which events are batched into one snapshot.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// Maximum time to wait for an event before a snapshot is published without one.
const EVENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum time without an exchange after which another entry counts as dead.
const MIN_ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the time without an exchange after which another entry counts as dead, when there are
/// `entries` other entries.
fn entry_timeout(entries: usize) -> Duration {
    MIN_ENTRY_TIMEOUT.max(idle_exchange_interval(entries) * MAX_MISSED_EXCHANGES)
}

/// Number of idle intervals without an exchange after which another entry counts as dead. It is greater
/// than one because a single exchange may be lost or late.
const MAX_MISSED_EXCHANGES: u32 = 4;
