//! Reports to the trackers, starts the fetches that they assign, and books how these end.

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
use wire::{ChunkReply, WireCounters};

use crate::control::AgentView;
use crate::gate::GateShared;
use crate::transfer::chunk_fetch;
use crate::transfer::chunk_store::ChunkStore;
use crate::transfer::tracker_links::TrackerLinks;
use crate::transfer::transfer_pace::TransferPace;

/// What the transfer works with.
#[derive(Clone)]
pub(crate) struct TransferParts {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) store: Arc<ChunkStore>,
    pub(crate) view: Arc<AgentView>,
    pub(crate) gate: Arc<GateShared>,
    pub(crate) pace: Arc<TransferPace>,
    pub(crate) counters: WireCounters,
    pub(crate) log: Logger,
}

/// The transfer of one version.
struct VersionTransfer {
    parts: TransferParts,
    client: HttpClient,
    links: Arc<TrackerLinks>,
    manifest: Arc<WeightManifest>,
    state: FetchState,
    fetches: JoinSet<(PlannedFetch, Result<Bytes, FetchFault>)>,
    reports: JoinSet<(ChunkReport, Option<ChunkReply>)>,
    /// When each group was reported last.
    reported: BTreeMap<u32, Instant>,
    /// Groups with news that no tracker has yet.
    news: BTreeSet<u32>,
    /// The report that asked for work and was not answered yet; one at a time keeps the room from being given twice.
    asking: Option<(u64, Instant)>,
    sequence: u64,
    released: bool,
}

/// Fetches whatever the store is aimed at, until the runtime ends.
pub(crate) async fn transfer_loop(parts: TransferParts) {
    let client = HttpClient::new(parts.settings.bind_ip, CONNECT_TIMEOUT);
    let links = Arc::new(TrackerLinks::new(
        parts.settings.clone(),
        parts.view.clone(),
        parts.counters.clone(),
    ));
    let mut sequence = 0;
    loop {
        let Some((version, manifest, have)) = parts.store.goal() else {
            observe_gap(&parts, false);
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        let fetches = parts.settings.spread.fetch_parallel;
        let mut transfer = VersionTransfer {
            state: FetchState::new(&manifest, have, fetches),
            parts: parts.clone(),
            client: client.clone(),
            links: links.clone(),
            manifest,
            fetches: JoinSet::new(),
            reports: JoinSet::new(),
            reported: BTreeMap::new(),
            news: BTreeSet::new(),
            asking: None,
            sequence,
            released: false,
        };
        transfer.run(version).await;
        // Dropping the transfer ends its fetches; chunks that both versions share are kept by the store.
        sequence = transfer.sequence;
    }
}

impl VersionTransfer {
    /// Works on `version` until the store is aimed at another one.
    async fn run(&mut self, version: VersionDigest) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.parts.store.goal_version() == Some(version) {
            self.send_reports();
            tokio::select! {
                Some(Ok((fetch, outcome))) = self.fetches.join_next() => self.end_fetch(&fetch, outcome),
                Some(Ok((report, reply))) = self.reports.join_next() => self.take_reply(report, reply),
                _ = tick.tick() => self.look_around(version),
            }
        }
    }

    fn look_around(&mut self, version: VersionDigest) {
        observe_gap(&self.parts, !self.state.is_complete());
        for chunk in self.parts.store.take_sent() {
            self.state.record_sent(chunk);
        }
        let serving = self.parts.gate.state().1 == Some(version);
        if self.released && !serving {
            // The engine lost the version, so the chunks are needed again.
            self.released = false;
            self.parts.store.reclaim();
            let Some((_, _, have)) = self.parts.store.goal() else {
                return;
            };
            let fetches = self.parts.settings.spread.fetch_parallel;
            self.state = FetchState::new(&self.manifest, have, fetches);
        }
    }

    /// Reports the groups with news, with something to fetch, or of which the tracker has not heard for long.
    fn send_reports(&mut self) {
        if self.released {
            return;
        }
        let now = Instant::now();
        if self
            .asking
            .is_some_and(|(_, at)| now.duration_since(at) > ASK_AGAIN)
        {
            self.asking = None;
        }
        let may_ask =
            self.state.available_fetches() > 0 && (self.asking.is_none() || !self.news.is_empty());
        let asking = if may_ask {
            self.state.next_group()
        } else {
            None
        };
        let is_due = |group: &u32| {
            let silence = self.reported.get(group).map(|at| now.duration_since(*at));
            self.news.contains(group) || silence.is_none_or(|it| it >= KEEP_ALIVE)
        };
        let due = (0..self.state.group_count()).filter(is_due);
        let due: BTreeSet<u32> = due.chain(asking).collect();
        for group in due {
            let room = if Some(group) == asking {
                self.state.available_fetches()
            } else {
                0
            };
            self.send_report(group, room, now);
        }
    }

    fn send_report(&mut self, group: u32, room: usize, now: Instant) {
        self.news.remove(&group);
        self.reported.insert(group, now);
        self.sequence += 1;
        let (have, fetching, entering) = self.state.group_masks(group);
        let host = &self.parts.settings.host;
        let report = ChunkReport {
            host: host.name.clone(),
            incarnation: self.parts.view.incarnation(),
            sequence: self.sequence,
            zone: host.zone.clone(),
            region: host.region.clone(),
            peers: self.parts.settings.advertise.peers,
            key: self.state.group_key(group),
            have,
            fetching,
            entering,
            sent: self.state.sent_count(group),
            room: room as u8,
            failures: self.state.take_failures(group),
        };
        if room > 0 {
            self.asking = Some((self.sequence, now));
        }
        let links = self.links.clone();
        self.reports.spawn(async move {
            let reply = links.report(&report).await;
            (report, reply)
        });
    }

    fn take_reply(&mut self, report: ChunkReport, reply: Option<ChunkReply>) {
        let group = report.key.group;
        // A tracker that was lost answers at once; the next question then waits for `ASK_AGAIN`.
        if reply.is_some() && self.asking.is_some_and(|(it, _)| it == report.sequence) {
            self.asking = None;
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
        let starts = self
            .state
            .accept_assignments(group, reply.assignments, Instant::now());
        for fetch in starts {
            self.start_fetch(fetch);
        }
    }

    fn start_fetch(&mut self, fetch: PlannedFetch) {
        let (client, pace) = (self.client.clone(), self.parts.pace.clone());
        let (manifest, version) = (self.manifest.clone(), self.state.version());
        let origin = self.parts.settings.sources.origin;
        self.fetches.spawn(async move {
            let (chunk, source) = (fetch.chunk, &fetch.source);
            let outcome =
                chunk_fetch::fetch_chunk(&client, origin, &pace, version, &manifest, chunk, source)
                    .await;
            (fetch, outcome)
        });
    }

    fn end_fetch(&mut self, fetch: &PlannedFetch, outcome: Result<Bytes, FetchFault>) {
        let group = FetchState::group_of(fetch.chunk);
        self.news.insert(group);
        let fault = match outcome {
            Ok(bytes) => {
                // The store checks the digest again, because everything that it holds is served to peers.
                if self
                    .parts
                    .store
                    .insert(self.state.version(), fetch.chunk, bytes)
                {
                    self.state.complete_fetch(fetch.chunk);
                    if self.state.is_complete() {
                        info!(self.parts.log, "version is complete"; "version" => %self.state.version());
                    }
                    return;
                }
                FetchFault::Corrupted
            }
            Err(fault) => fault,
        };
        let log = &self.parts.log;
        let source = format!("{:?}", fetch.source);
        if fault == FetchFault::Corrupted {
            warn!(log, "chunk is corrupted"; "chunk" => fetch.chunk, "source" => source);
        } else {
            debug!(log, "chunk was not fetched"; "chunk" => fetch.chunk, "source" => source, "fault" => format!("{fault:?}"));
        }
        self.state.fail_fetch(fetch.chunk, fault, Instant::now());
    }

    /// Frees the chunks once every target serves the version; its engine has the bytes now.
    fn release(&mut self) {
        if self.parts.gate.state().1 != Some(self.state.version()) {
            return;
        }
        self.parts.store.release(self.state.version());
        self.released = true;
    }
}

fn observe_gap(parts: &TransferParts, is_transferring: bool) {
    let gap = parts.gate.load().token_gap_us;
    let gap = (gap > 0).then(|| Duration::from_micros(u64::from(gap)));
    parts.pace.observe(gap, is_transferring);
}

/// Time to connect to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause while there is nothing to fetch.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Time between looks at the store and the gate.
const TICK: Duration = Duration::from_millis(50);

/// Time after which a question without an answer is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(700);

/// Time between reports of a host that has nothing to fetch, well below the tracker's patience with silent hosts.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
