//! The one thread that owns an entry's control state.

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
use crate::control::control_snapshot::{ControlSnapshot, SeenEntry, SnapshotCell};
use crate::control::exchange_loop::quiet_interval;

/// Applies events in order and publishes a snapshot after each batch.
#[derive(Debug)]
pub(crate) struct ControlThread {
    events: Sender<ControlEvent>,
}

struct ControlState {
    settings: Arc<EntrySettings>,
    incarnation: Incarnation,
    sequence: u64,
    holder: ConfigCache,
    view: TargetView,
    entries: BTreeMap<HostName, SeenEntry>,
    candidates: BTreeMap<SocketAddr, Instant>,
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
            holder: ConfigCache::default(),
            view: TargetView::default(),
            entries: BTreeMap::new(),
            candidates: BTreeMap::new(),
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
        match events.recv_timeout(STEP) {
            Ok(event) => state.take(event, Instant::now()),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        // One snapshot for a batch keeps its cost apart from the rate of events.
        let publish_at = Instant::now() + BATCH_TIME;
        while let Some(rest) = publish_at.checked_duration_since(Instant::now())
            && let Ok(event) = events.recv_timeout(rest)
        {
            state.take(event, Instant::now());
        }
        state.forget(Instant::now());
        snapshots.store(state.snapshot());
    }
}

impl ControlState {
    fn take(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Heartbeat(row) => {
                if let Some(claim) = self.view.apply_heartbeat(*row, now) {
                    warn!(self.log, "two processes claim a host"; "host" => %claim.host);
                }
            }
            ControlEvent::Exchange(summary) => self.take_summary(*summary, now),
            ControlEvent::Config(config, source) => {
                let revision = config.revision;
                if self.holder.update(*config, &source, now) {
                    info!(self.log, "configuration held"; "revision" => %revision);
                }
            }
            ControlEvent::Heard(revision, source) => {
                self.holder.observe_revision(revision, &source, now)
            }
            ControlEvent::Permits(permits) => self.own_permits = permits,
            ControlEvent::Stop => self.leaving = true,
        }
    }

    fn take_summary(&mut self, summary: EntrySummary, now: Instant) {
        let home = summary.entry.host.clone();
        if home == self.settings.host.name {
            return;
        }
        let stamp = |it: &EntryRow| (it.incarnation, it.sequence);
        let late = |it: &SeenEntry| stamp(&it.row) > stamp(&summary.entry);
        if self.entries.get(&home).is_some_and(late) {
            return;
        }
        for address in summary.others {
            self.candidates.insert(address, now);
        }
        let share = TargetUpdate {
            rows: summary.targets,
            revisions: summary.revisions,
            removed: summary.gone,
            complete: summary.complete,
        };
        self.view.apply_update(&home, share, now);
        if summary.entry.ready {
            let source = control::ConfigSource::Peer(home);
            self.holder.observe_revision(summary.revision, &source, now);
        }
        let seen = SeenEntry {
            row: summary.entry,
            seen: now,
            permits: summary.permits,
        };
        self.entries.insert(seen.row.host.clone(), seen);
    }

    fn forget(&mut self, now: Instant) {
        let dead_after = entry_dead_after(self.entries.len());
        self.entries
            .retain(|_, it| now.duration_since(it.seen) < dead_after);
        let entries = &self.entries;
        self.view.remove_expired(now, |it| entries.contains_key(it));
        self.candidates
            .retain(|_, it| now.duration_since(*it) < dead_after);
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
            config: self.holder.ready_config().cloned(),
            held: self.holder.held_revision(),
            confirmed: self.holder.confirmed_at(),
            targets: self.view.targets().clone(),
            entries: self.entries.clone(),
            candidates: self.candidates.keys().copied().collect(),
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
            ready: self.holder.ready_config().is_some(),
            leaving: self.leaving,
            streams: self.calls.in_flight(),
            overloaded_ms: overload.map(|it| it.0),
            overload_cause: overload.map(|it| it.1),
            revision: self
                .holder
                .ready_config()
                .map_or(ConfigRevision::default(), |it| it.revision),
        }
    }
}

/// Time over which events are gathered into one snapshot.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// Longest time between snapshots.
const STEP: Duration = Duration::from_millis(100);

/// Silence after which a process counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Returns the silence after which another entry counts as dead: several missed exchanges.
fn entry_dead_after(entries: usize) -> Duration {
    DEAD_AFTER.max(quiet_interval(entries) * MISSED_EXCHANGES)
}

/// Exchanges that may be missed, because one of them may be lost or late.
const MISSED_EXCHANGES: u32 = 4;
