//! The trackers of the chunk groups that are assigned to this entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use model::{
    ChunkMask, ChunkOffer, ChunkReport, EntryRow, FleetConfig, GroupKey, RegionName, TargetKind,
    VersionDigest,
};
use settings::EntrySettings;
use spread::{ChunkTracker, SpreadPolicy, SpreadStrategy};
use tokio::sync::Notify;
use wire::ChunkReportReply;

use crate::control::ControlSnapshot;

/// All trackers on this entry. They are soft state: lost when the entry stops and rebuilt elsewhere from
/// the agents' reports.
#[derive(Debug)]
pub(crate) struct TrackerSet {
    settings: Arc<EntrySettings>,
    slots: Mutex<BTreeMap<(RegionName, GroupKey), TrackerSlot>>,
}

#[derive(Debug)]
struct TrackerSlot {
    tracker: ChunkTracker,
    /// Wakes the pending long polls of agents that wait for chunks to fetch.
    changed: Arc<Notify>,
}

/// A tracker that needs offers from other regions.
#[derive(Debug)]
pub(crate) struct OfferRequest {
    pub(crate) region: RegionName,
    pub(crate) key: GroupKey,
    pub(crate) known_chunks: ChunkMask,
}

impl TrackerSet {
    pub(crate) fn new(settings: Arc<EntrySettings>) -> Self {
        Self {
            settings,
            slots: Mutex::default(),
        }
    }

    /// Processes an agent's report and returns its assignments.
    ///
    /// Waits up to [`LONG_POLL_TIMEOUT`] if the agent can accept assignments and there are none.
    pub(crate) async fn report(
        &self,
        snapshot: &ControlSnapshot,
        mut report: ChunkReport,
        excluded: &[SocketAddr],
    ) -> ChunkReportReply {
        let policy = spread_policy(&self.settings, snapshot.config.as_deref());
        let tracker = tracker_entry(
            snapshot,
            &report.key,
            &report.region,
            policy.strategy,
            excluded,
        );
        if let Some(it) = tracker
            && it.host != self.settings.host.name
        {
            return ChunkReportReply {
                redirect: Some(it.control),
                ..ChunkReportReply::default()
            };
        }
        let regions: BTreeSet<RegionName> = match policy.strategy {
            SpreadStrategy::RandomPeers => BTreeSet::new(),
            _ => snapshot
                .targets
                .values()
                .map(|it| it.row.region.clone())
                .collect(),
        };
        let released = is_released(snapshot, report.key.version);
        let deadline = tokio::time::Instant::now() + LONG_POLL_TIMEOUT;
        let mut is_new_report = true;
        loop {
            let (assignments, changed) = self.plan(&report, &regions, policy, is_new_report);
            if !assignments.is_empty() || report.max_assignments == 0 {
                return ChunkReportReply {
                    redirect: None,
                    assignments,
                    released,
                };
            }
            is_new_report = false;
            report.failures.clear();
            let waited = tokio::time::timeout_at(deadline, changed.notified()).await;
            if waited.is_err() || self.is_superseded(&report) {
                return ChunkReportReply::default();
            }
            // Reports arrive in bursts. Planning once after a burst is enough.
            tokio::time::sleep(BURST_DELAY).await;
            if self.is_superseded(&report) {
                return ChunkReportReply::default();
            }
        }
    }

    /// Returns chunks outside `known_chunks` that another region may fetch from `region`.
    pub(crate) fn select_offers(
        &self,
        region: &RegionName,
        key: &GroupKey,
        known_chunks: ChunkMask,
    ) -> Vec<ChunkOffer> {
        let mut slots = self.lock();
        let slot = slots.get_mut(&(region.clone(), *key));
        slot.map(|it| {
            it.tracker
                .select_offers(known_chunks, MAX_OFFERS, Instant::now())
        })
        .unwrap_or_default()
    }

    /// Returns a request for each tracker that needs offers, and drops the trackers that receive no more
    /// reports.
    pub(crate) fn offer_requests(&self) -> Vec<OfferRequest> {
        let now = Instant::now();
        let mut slots = self.lock();
        slots.retain(|_, it| {
            let last_report = it.tracker.last_report();
            last_report.is_some_and(|it| now.saturating_duration_since(it) < TRACKER_TIMEOUT)
        });
        slots
            .iter()
            .filter(|(_, it)| it.tracker.needs_offers())
            .map(|((region, key), it)| OfferRequest {
                region: region.clone(),
                key: *key,
                known_chunks: it.tracker.known_chunks(),
            })
            .collect()
    }

    /// Adds the offers of `region` to the tracker that requested them.
    pub(crate) fn add_offers(
        &self,
        request: &OfferRequest,
        region: &RegionName,
        offers: &[ChunkOffer],
    ) {
        let mut slots = self.lock();
        if let Some(slot) = slots.get_mut(&(request.region.clone(), request.key)) {
            slot.tracker.add_offers(region, offers);
            slot.changed.notify_waiters();
        }
    }

    fn plan(
        &self,
        report: &ChunkReport,
        regions: &BTreeSet<RegionName>,
        policy: SpreadPolicy,
        is_new_report: bool,
    ) -> (Vec<model::ChunkAssignment>, Arc<Notify>) {
        let region = match policy.strategy {
            // This strategy ignores regions, so one tracker serves all of them.
            SpreadStrategy::RandomPeers => self.settings.host.region.clone(),
            _ => report.region.clone(),
        };
        let mut slots = self.lock();
        let slot = slots
            .entry((region.clone(), report.key))
            .or_insert_with(|| TrackerSlot {
                tracker: ChunkTracker::new(report.key, region, policy, rand::random()),
                changed: Arc::default(),
            });
        slot.tracker.set_policy(policy);
        let assignments = slot.tracker.plan(report, regions, Instant::now());
        if is_new_report {
            slot.changed.notify_waiters();
        }
        (assignments, slot.changed.clone())
    }

    fn is_superseded(&self, report: &ChunkReport) -> bool {
        let slots = self.lock();
        let mut slots = slots.iter().filter(|((_, key), _)| *key == report.key);
        slots.any(|(_, it)| it.tracker.is_superseded(report))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(RegionName, GroupKey), TrackerSlot>> {
        self.slots
            .lock()
            .expect("no thread panics while it holds the tracker lock")
    }
}

/// Returns the entry that tracks `key` in `region`: an entry of that region, or of any region if it has
/// none or if the strategy ignores regions.
pub(crate) fn tracker_entry<'a>(
    snapshot: &'a ControlSnapshot,
    key: &GroupKey,
    region: &RegionName,
    strategy: SpreadStrategy,
    excluded: &[SocketAddr],
) -> Option<&'a EntryRow> {
    let other_entries = snapshot.entries.values().map(|it| &it.row);
    let live: Vec<&EntryRow> = other_entries
        .chain(&snapshot.own)
        .filter(|it| !it.leaving && !excluded.contains(&it.control))
        .collect();
    let in_region: Vec<&EntryRow> = live
        .iter()
        .copied()
        .filter(|it| it.region == *region)
        .collect();
    let any_region = in_region.is_empty() || strategy == SpreadStrategy::RandomPeers;
    let entries = if any_region { live } else { in_region };
    let name = spread::select_tracker(key, entries.iter().map(|it| it.host.as_str()))?.to_string();
    entries.into_iter().find(|it| it.host.as_str() == name)
}

/// Returns the policy from the settings and the parameters that operators change at run time.
pub(crate) fn spread_policy(
    settings: &EntrySettings,
    config: Option<&FleetConfig>,
) -> SpreadPolicy {
    let parameter = |name: &str| config.and_then(|it| it.parameters.get(name)).copied();
    let copies = parameter("origin_copies").unwrap_or(settings.spread.origin_copies);
    let strategy = match parameter("spread_strategy").unwrap_or_default() as u8 {
        1 => SpreadStrategy::OriginOnly,
        2 => SpreadStrategy::BinaryTree,
        3 => SpreadStrategy::RandomPeers,
        _ => SpreadStrategy::Regional,
    };
    SpreadPolicy {
        origin_copies: copies as u32,
        strategy,
        ..SpreadPolicy::default()
    }
}

/// Returns whether every target of the version's model serves it.
fn is_released(snapshot: &ControlSnapshot, version: VersionDigest) -> bool {
    let config = snapshot.config.as_ref();
    let mut models = config.iter().flat_map(|it| &it.models);
    let Some((model, _)) = models.find(|(_, it)| it.manifest.version() == version) else {
        return false;
    };
    let kind = TargetKind::Model(model.clone());
    let mut rows = snapshot
        .targets
        .values()
        .map(|it| &it.row)
        .filter(|it| it.kind == kind);
    rows.all(|it| it.serving == Some(version))
}

/// Maximum time that a report waits for an assignment.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between a change and the next planning.
const BURST_DELAY: Duration = Duration::from_millis(5);

/// Time without a report from any agent after which a tracker is dropped.
const TRACKER_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of offers in one reply.
const MAX_OFFERS: usize = 8;
