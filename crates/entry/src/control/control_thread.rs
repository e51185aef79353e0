//! The one thread that owns an entry's control state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use model::{
    ConfigRevision, EntryRow, FleetConfig, HostName, Incarnation, SwitchPermit, TargetRow,
};
use settings::EntrySettings;
use slog::{Logger, info};
use wire::EntrySummary;

use crate::calls::CallCounters;
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SeenEntry, SeenTarget, SnapshotCell};

/// Applies events in order and publishes a snapshot after each batch.
#[derive(Debug)]
pub(crate) struct ControlThread {
    events: Sender<ControlEvent>,
}

struct ControlState {
    settings: Arc<EntrySettings>,
    incarnation: Incarnation,
    sequence: u64,
    config: Option<Arc<FleetConfig>>,
    targets: BTreeMap<HostName, SeenTarget>,
    entries: BTreeMap<HostName, SeenEntry>,
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
            config: None,
            targets: BTreeMap::new(),
            entries: BTreeMap::new(),
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
        while let Ok(event) = events.try_recv() {
            state.take(event, Instant::now());
        }
        state.forget(Instant::now());
        snapshots.store(state.snapshot());
    }
}

impl ControlState {
    fn take(&mut self, event: ControlEvent, now: Instant) {
        match event {
            ControlEvent::Heartbeat(row) => self.take_row(*row, now, true),
            ControlEvent::Exchange(summary) => self.take_summary(*summary, now),
            ControlEvent::Config(config) => self.take_config(*config),
            ControlEvent::Permits(permits) => self.own_permits = permits,
            ControlEvent::Stop => self.leaving = true,
        }
    }

    fn take_config(&mut self, config: FleetConfig) {
        let known = self.config.as_ref().map(|it| it.revision);
        if known.is_some_and(|it| it >= config.revision) {
            return;
        }
        info!(self.log, "configuration in force"; "revision" => %config.revision);
        self.config = Some(Arc::new(config));
    }

    fn take_row(&mut self, row: TargetRow, now: Instant, direct: bool) {
        if let Some(known) = self.targets.get_mut(&row.host) {
            let age = (known.row.incarnation, known.row.sequence);
            if age > (row.incarnation, row.sequence) {
                return;
            }
            let direct = direct || known.direct && now.duration_since(known.seen) < DIRECT_AGE;
            *known = SeenTarget {
                row,
                seen: now,
                direct,
            };
            return;
        }
        self.targets.insert(
            row.host.clone(),
            SeenTarget {
                row,
                seen: now,
                direct,
            },
        );
    }

    fn take_summary(&mut self, summary: EntrySummary, now: Instant) {
        for row in summary.targets {
            let known = self
                .targets
                .get(&row.host)
                .map(|it| (it.row.incarnation, it.row.sequence));
            if known.is_none_or(|it| it < (row.incarnation, row.sequence)) {
                self.take_row(row, now, false);
            }
        }
        if summary.entry.host == self.settings.host.name {
            return;
        }
        let seen = SeenEntry {
            row: summary.entry,
            seen: now,
            permits: summary.permits,
        };
        self.entries.insert(seen.row.host.clone(), seen);
    }

    fn forget(&mut self, now: Instant) {
        self.targets
            .retain(|_, it| now.duration_since(it.seen) < DEAD_AFTER);
        self.entries
            .retain(|_, it| now.duration_since(it.seen) < DEAD_AFTER);
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
            config: self.config.clone(),
            targets: self.targets.clone(),
            entries: self.entries.clone(),
            own: Some(self.own_row()),
            permits,
            own_permits: self.own_permits.clone(),
        }
    }

    fn own_row(&self) -> EntryRow {
        let host = &self.settings.host;
        EntryRow {
            host: host.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            zone: host.zone.clone(),
            region: host.region.clone(),
            callers: self.settings.listen.callers,
            control: self.settings.listen.control,
            operators: self.settings.listen.operators,
            ready: self.config.is_some(),
            leaving: self.leaving,
            streams: self.calls.streams(),
            overloaded_ms: None,
            revision: self
                .config
                .as_ref()
                .map_or(ConfigRevision::default(), |it| it.revision),
        }
    }
}

/// Longest time between snapshots.
const STEP: Duration = Duration::from_millis(100);

/// Silence after which a process counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Silence after which an agent does not count as this entry's own.
const DIRECT_AGE: Duration = Duration::from_secs(3);
