//! The groups of chunks that this entry tracks.

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
use wire::ChunkReply;

use crate::control::ControlSnapshot;

/// Soft state of all trackers on this entry; lost with it and rebuilt from the reports of the agents.
#[derive(Debug)]
pub(crate) struct TrackerSet {
    settings: Arc<EntrySettings>,
    slots: Mutex<BTreeMap<(RegionName, GroupKey), TrackerSlot>>,
}

#[derive(Debug)]
struct TrackerSlot {
    tracker: ChunkTracker,
    /// Wakes agents that wait for something to fetch.
    changed: Arc<Notify>,
}

/// A tracker that would use offers of other regions.
#[derive(Debug)]
pub(crate) struct OfferWish {
    pub(crate) region: RegionName,
    pub(crate) key: GroupKey,
    pub(crate) known: ChunkMask,
}

impl TrackerSet {
    pub(crate) fn new(settings: Arc<EntrySettings>) -> Self {
        Self {
            settings,
            slots: Mutex::default(),
        }
    }

    /// Answers a report; waits up to [`LONG_POLL`] while the agent has room and there is nothing to fetch.
    pub(crate) async fn report(
        &self,
        snapshot: &ControlSnapshot,
        mut report: ChunkReport,
        avoid: &[SocketAddr],
    ) -> ChunkReply {
        let policy = policy(&self.settings, snapshot.config.as_deref());
        let tracker = tracker_entry(
            snapshot,
            &report.key,
            &report.region,
            policy.strategy,
            avoid,
        );
        if let Some(it) = tracker
            && it.host != self.settings.host.name
        {
            return ChunkReply {
                redirect: Some(it.control),
                ..ChunkReply::default()
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
        let deadline = tokio::time::Instant::now() + LONG_POLL;
        let mut first = true;
        loop {
            let (assignments, changed) = self.plan(&report, &regions, policy, first);
            if !assignments.is_empty() || report.room == 0 {
                return ChunkReply {
                    redirect: None,
                    assignments,
                    released,
                };
            }
            first = false;
            report.failures.clear();
            let waited = tokio::time::timeout_at(deadline, changed.notified()).await;
            if waited.is_err() || self.is_superseded(&report) {
                return ChunkReply::default();
            }
            // Reports come in bursts; one look after a burst is enough.
            tokio::time::sleep(BURST_PAUSE).await;
            if self.is_superseded(&report) {
                return ChunkReply::default();
            }
        }
    }

    /// Returns what another region may fetch from `region`.
    pub(crate) fn offer(
        &self,
        region: &RegionName,
        key: &GroupKey,
        known: ChunkMask,
    ) -> Vec<ChunkOffer> {
        let mut slots = self.lock();
        let slot = slots.get_mut(&(region.clone(), *key));
        slot.map(|it| it.tracker.select_offers(known, MAX_OFFERS, Instant::now()))
            .unwrap_or_default()
    }

    /// Returns the trackers that would use offers, and forgets those that nobody reports to any more.
    pub(crate) fn offer_wishes(&self) -> Vec<OfferWish> {
        let now = Instant::now();
        let mut slots = self.lock();
        slots.retain(|_, it| {
            let last = it.tracker.last_report();
            last.is_some_and(|it| now.saturating_duration_since(it) < FORGET_AFTER)
        });
        slots
            .iter()
            .filter(|(_, it)| it.tracker.needs_offers())
            .map(|((region, key), it)| OfferWish {
                region: region.clone(),
                key: *key,
                known: it.tracker.known_chunks(),
            })
            .collect()
    }

    /// Hands the offers of the region `from` to the tracker that wished for them.
    pub(crate) fn take_offers(&self, wish: &OfferWish, from: &RegionName, offers: &[ChunkOffer]) {
        let mut slots = self.lock();
        if let Some(slot) = slots.get_mut(&(wish.region.clone(), wish.key)) {
            slot.tracker.add_offers(from, offers);
            slot.changed.notify_waiters();
        }
    }

    fn plan(
        &self,
        report: &ChunkReport,
        regions: &BTreeSet<RegionName>,
        policy: SpreadPolicy,
        first: bool,
    ) -> (Vec<model::ChunkAssignment>, Arc<Notify>) {
        let region = match policy.strategy {
            // This one does not know regions, so one tracker serves them all.
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
        if first {
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
            .expect("no holder of the trackers' lock panics")
    }
}

/// Finds the entry that tracks `key` in `region`: one of the region, or any where the region has none.
pub(crate) fn tracker_entry<'a>(
    snapshot: &'a ControlSnapshot,
    key: &GroupKey,
    region: &RegionName,
    strategy: SpreadStrategy,
    avoid: &[SocketAddr],
) -> Option<&'a EntryRow> {
    let others = snapshot.entries.values().map(|it| &it.row);
    let live: Vec<&EntryRow> = others
        .chain(&snapshot.own)
        .filter(|it| !it.leaving && !avoid.contains(&it.control))
        .collect();
    let near: Vec<&EntryRow> = live
        .iter()
        .copied()
        .filter(|it| it.region == *region)
        .collect();
    let any_region = near.is_empty() || strategy == SpreadStrategy::RandomPeers;
    let entries = if any_region { live } else { near };
    let name = spread::select_tracker(key, entries.iter().map(|it| it.host.as_str()))?.to_string();
    entries.into_iter().find(|it| it.host.as_str() == name)
}

/// Builds the limits from the settings and the parameters that operators change at run time.
pub(crate) fn policy(settings: &EntrySettings, config: Option<&FleetConfig>) -> SpreadPolicy {
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

/// Tells whether every target of the version's model serves it.
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

/// How long a report waits for something to fetch.
const LONG_POLL: Duration = Duration::from_millis(500);

/// Pause between a change and the next look at it.
const BURST_PAUSE: Duration = Duration::from_millis(5);

/// Silence of all agents after which a tracker is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Offers in one answer.
const MAX_OFFERS: usize = 8;
