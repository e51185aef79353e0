//! Reports chunks to the trackers, starts the fetches that they assign, and records their results.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::HttpClient;
use model::{ChunkReport, FetchFault, VersionDigest, WeightManifest};
use settings::AgentSettings;
use slog::{Logger, debug, info, warn};
use spread::{FetchState, PlannedFetch};
use tokio::task::JoinSet;
use wire::{ChunkReportReply, WireCounters};

use crate::control::AgentView;
use crate::gate::SharedGate;
use crate::transfer::chunk_fetch;
use crate::transfer::chunk_store::ChunkStore;
use crate::transfer::shared_pacer::SharedPacer;
use crate::transfer::tracker_client::TrackerClient;

/// Dependencies of the transfer loop.
#[derive(Clone)]
pub(crate) struct TransferContext {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) store: Arc<ChunkStore>,
    pub(crate) view: Arc<AgentView>,
    pub(crate) gate: Arc<SharedGate>,
    pub(crate) pacer: Arc<SharedPacer>,
    pub(crate) counters: WireCounters,
    pub(crate) log: Logger,
}

/// The transfer of one version.
struct VersionTransfer {
    context: TransferContext,
    client: HttpClient,
    trackers: Arc<TrackerClient>,
    manifest: Arc<WeightManifest>,
    state: FetchState,
    fetches: JoinSet<(PlannedFetch, Result<Bytes, FetchFault>)>,
    reports: JoinSet<(ChunkReport, Option<ChunkReportReply>)>,
    /// Time of the last report of each group.
    reported_at: BTreeMap<u32, Instant>,
    /// Groups with changes that were not reported yet.
    unreported_groups: BTreeSet<u32>,
    /// Sequence number and time of the last report that requested assignments, until its reply arrives. Without
    /// unreported changes no further request is sent meanwhile, so that the same capacity is not assigned twice.
    pending_request: Option<(u64, Instant)>,
    sequence: u64,
    released: bool,
}

/// Fetches the current version of the store, until the runtime shuts down.
pub(crate) async fn transfer_loop(context: TransferContext) {
    let client = HttpClient::new(context.settings.bind_ip, CONNECT_TIMEOUT);
    let trackers = Arc::new(TrackerClient::new(
        context.settings.clone(),
        context.view.clone(),
        context.counters.clone(),
    ));
    let mut sequence = 0;
    loop {
        let Some((version, manifest, present)) = context.store.current() else {
            observe_token_gap(&context, false);
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        };
        let fetches = context.settings.spread.fetch_parallel;
        let mut transfer = VersionTransfer {
            state: FetchState::new(&manifest, present, fetches),
            context: context.clone(),
            client: client.clone(),
            trackers: trackers.clone(),
            manifest,
            fetches: JoinSet::new(),
            reports: JoinSet::new(),
            reported_at: BTreeMap::new(),
            unreported_groups: BTreeSet::new(),
            pending_request: None,
            sequence,
            released: false,
        };
        transfer.run(version).await;
        // Dropping the transfer cancels its fetches; the store retains chunks that both versions share.
        sequence = transfer.sequence;
    }
}

impl VersionTransfer {
    /// Transfers `version` until the store's current version changes.
    async fn run(&mut self, version: VersionDigest) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.context.store.current_version() == Some(version) {
            self.send_reports();
            tokio::select! {
                Some(Ok((fetch, outcome))) = self.fetches.join_next() => self.finish_fetch(&fetch, outcome),
                Some(Ok((report, reply))) = self.reports.join_next() => self.handle_reply(report, reply),
                _ = tick.tick() => self.on_tick(version),
            }
        }
    }

    fn on_tick(&mut self, version: VersionDigest) {
        observe_token_gap(&self.context, !self.state.is_complete());
        for chunk in self.context.store.take_sent_chunks() {
            self.state.record_sent(chunk);
        }
        let is_serving = self.context.gate.state().1 == Some(version);
        if self.released && !is_serving {
            // The engine no longer serves the version, so the chunks are needed again.
            self.released = false;
            self.context.store.clear_released();
            let Some((_, _, present)) = self.context.store.current() else {
                return;
            };
            let fetches = self.context.settings.spread.fetch_parallel;
            self.state = FetchState::new(&self.manifest, present, fetches);
        }
    }

    /// Reports the groups that changed, the group to request assignments for, and those whose last report is old.
    fn send_reports(&mut self) {
        if self.released {
            return;
        }
        let now = Instant::now();
        if self
            .pending_request
            .is_some_and(|(_, at)| now.duration_since(at) > REQUEST_TIMEOUT)
        {
            self.pending_request = None;
        }
        let may_request = self.state.available_fetches() > 0
            && (self.pending_request.is_none() || !self.unreported_groups.is_empty());
        let request_group = if may_request {
            self.state.next_group()
        } else {
            None
        };
        let is_due = |group: &u32| {
            let elapsed = self
                .reported_at
                .get(group)
                .map(|at| now.duration_since(*at));
            self.unreported_groups.contains(group)
                || elapsed.is_none_or(|it| it >= MAX_REPORT_INTERVAL)
        };
        let due = (0..self.state.group_count()).filter(is_due);
        let due: BTreeSet<u32> = due.chain(request_group).collect();
        for group in due {
            let max_assignments = if Some(group) == request_group {
                self.state.available_fetches()
            } else {
                0
            };
            self.send_report(group, max_assignments, now);
        }
    }

    fn send_report(&mut self, group: u32, max_assignments: usize, now: Instant) {
        self.unreported_groups.remove(&group);
        self.reported_at.insert(group, now);
        self.sequence += 1;
        let (present, fetching, importing) = self.state.group_masks(group);
        let host = &self.context.settings.host;
        let report = ChunkReport {
            host: host.name.clone(),
            incarnation: self.context.view.incarnation(),
            sequence: self.sequence,
            zone: host.zone.clone(),
            region: host.region.clone(),
            peers: self.context.settings.advertise.peers,
            key: self.state.group_key(group),
            present,
            fetching,
            importing,
            sent: self.state.sent_count(group),
            max_assignments: max_assignments as u8,
            failures: self.state.take_failures(group),
        };
        if max_assignments > 0 {
            self.pending_request = Some((self.sequence, now));
        }
        let trackers = self.trackers.clone();
        self.reports.spawn(async move {
            let reply = trackers.report(&report).await;
            (report, reply)
        });
    }

    fn handle_reply(&mut self, report: ChunkReport, reply: Option<ChunkReportReply>) {
        let group = report.key.group;
        // A report to an unreachable tracker may fail at once. The request then stays pending until `REQUEST_TIMEOUT`,
        // which delays the next one.
        if reply.is_some()
            && self
                .pending_request
                .is_some_and(|(it, _)| it == report.sequence)
        {
            self.pending_request = None;
        }
        if report.key.version != self.state.version() {
            return;
        }
        let Some(reply) = reply else {
            if !report.failures.is_empty() {
                self.state.restore_failures(group, report.failures);
            }
            return;
        };
        if reply.released && self.state.is_complete() {
            self.release();
            return;
        }
        let planned = self
            .state
            .accept_assignments(group, reply.assignments, Instant::now());
        for fetch in planned {
            self.start_fetch(fetch);
        }
    }

    fn start_fetch(&mut self, fetch: PlannedFetch) {
        let (client, pacer) = (self.client.clone(), self.context.pacer.clone());
        let (manifest, version) = (self.manifest.clone(), self.state.version());
        let origin = self.context.settings.sources.origin;
        self.fetches.spawn(async move {
            let (chunk, source) = (fetch.chunk, &fetch.source);
            let outcome = chunk_fetch::fetch_chunk(
                &client, origin, &pacer, version, &manifest, chunk, source,
            )
            .await;
            (fetch, outcome)
        });
    }

    fn finish_fetch(&mut self, fetch: &PlannedFetch, outcome: Result<Bytes, FetchFault>) {
        let group = FetchState::group_of(fetch.chunk);
        self.unreported_groups.insert(group);
        let fault = match outcome {
            Ok(bytes) => {
                // The store verifies the digest again, because it serves all its chunks to peers.
                if self
                    .context
                    .store
                    .insert(self.state.version(), fetch.chunk, bytes)
                {
                    self.state.complete_fetch(fetch.chunk);
                    if self.state.is_complete() {
                        info!(self.context.log, "version is complete"; "version" => %self.state.version());
                    }
                    return;
                }
                FetchFault::Corrupt
            }
            Err(fault) => fault,
        };
        let log = &self.context.log;
        let source = format!("{:?}", fetch.source);
        if fault == FetchFault::Corrupt {
            warn!(log, "chunk is corrupted"; "chunk" => fetch.chunk, "source" => source);
        } else {
            debug!(log, "chunk fetch failed"; "chunk" => fetch.chunk, "source" => source, "fault" => format!("{fault:?}"));
        }
        self.state.fail_fetch(fetch.chunk, fault, Instant::now());
    }

    /// Frees the chunks if the engine serves the version and therefore has its own copy of the weights. Called once a
    /// tracker reports that all hosts serve the version.
    fn release(&mut self) {
        if self.context.gate.state().1 != Some(self.state.version()) {
            return;
        }
        self.context.store.release(self.state.version());
        self.released = true;
    }
}

fn observe_token_gap(context: &TransferContext, is_transferring: bool) {
    let gap = context.gate.load().token_gap_us;
    let gap = (gap > 0).then(|| Duration::from_micros(u64::from(gap)));
    context.pacer.observe_token_gap(gap, is_transferring);
}

/// Timeout for connecting to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between checks for a version to fetch.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between checks of the store and the gate.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a request for assignments without a reply may be retried.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum time between two reports of a group, well below the time after which a tracker drops a host that does not
/// report.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
