//! Starts of requests that replicas survived, by the parts of the requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::crash_digest::{DigestSource, SurvivalRecord};
use crate::crash_score::KEPT_SURVIVALS;
use crate::crash_table::age_ms;
use crate::part_id::PartId;

/// The latest survived starts by part, of this entry and of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct SurvivalLog {
    own: BTreeMap<PartId, RecentTimes>,
    /// What entries of the zone told, by part and reporter; only for parts that crashes implicate.
    peers: BTreeMap<(PartId, u64), RecentTimes>,
    /// What other zones told, likewise.
    zones: BTreeMap<(PartId, u64), RecentTimes>,
}

/// The latest times in descending order.
#[derive(Clone, Copy, Debug)]
struct RecentTimes([Option<Instant>; KEPT_SURVIVALS]);

impl RecentTimes {
    fn new(times: impl Iterator<Item = Instant>) -> Self {
        let mut kept = [None; KEPT_SURVIVALS];
        for (slot, time) in kept.iter_mut().zip(times) {
            *slot = Some(time);
        }
        Self(kept)
    }

    fn newest(&self) -> Option<Instant> {
        self.0[0]
    }

    fn iter(&self) -> impl Iterator<Item = Instant> {
        self.0.iter().flatten().copied()
    }

    fn insert(&mut self, time: Instant) {
        let mut times: Vec<Instant> = self.iter().chain([time]).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        *self = Self::new(times.into_iter());
    }
}

impl SurvivalLog {
    /// Records that this entry has seen a replica survive the start of a request with `part`.
    pub(crate) fn record_own(&mut self, part: PartId, begun_at: Instant) {
        let times = self.own.entry(part);
        times
            .or_insert(RecentTimes([None; KEPT_SURVIVALS]))
            .insert(begun_at);
        if self.own.len() > MAX_PARTS {
            self.remove_oldest();
        }
    }

    /// Replaces what a reporter has told before, if `record` is newer. Returns whether it is.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        record: &SurvivalRecord,
        source: DigestSource,
    ) -> bool {
        let reported = match source {
            DigestSource::Entry => &mut self.peers,
            DigestSource::Zone => &mut self.zones,
        };
        let ages = record.ages_ms.iter().take(KEPT_SURVIVALS);
        let times = ages.filter_map(|it| now.checked_sub(Duration::from_millis(u64::from(*it))));
        let times = RecentTimes::new(times);
        let known = reported.entry((record.part, record.reporter));
        let known = known.or_insert(RecentTimes([None; KEPT_SURVIVALS]));
        // Ages are as inexact as the delays of messages.
        let is_newer = times.newest() > known.newest().map(|it| it + MERGE_TOLERANCE);
        if is_newer {
            *known = times;
        }
        is_newer
    }

    /// Returns all known times of survived starts with `part`, in ascending order.
    pub(crate) fn times(&self, part: PartId) -> Vec<Instant> {
        let zones = of_part(&self.zones, part).flat_map(RecentTimes::iter);
        let mut times: Vec<Instant> = self.zone_times(part).chain(zones).collect();
        times.sort_unstable();
        times
    }

    /// Returns this entry's own survivals with the parts `watched`.
    pub(crate) fn own_records(
        &self,
        now: Instant,
        reporter: u64,
        watched: &BTreeSet<PartId>,
    ) -> Vec<SurvivalRecord> {
        let parts = watched
            .iter()
            .filter_map(|it| Some((*it, self.own.get(it)?)));
        parts
            .map(|(part, times)| record(now, part, reporter, times.iter()))
            .collect()
    }

    /// Returns the latest survivals with the parts `watched` at this entry and the others of its zone.
    pub(crate) fn zone_records(
        &self,
        now: Instant,
        reporter: u64,
        watched: &BTreeSet<PartId>,
    ) -> Vec<SurvivalRecord> {
        let records = watched.iter().filter_map(|part| {
            let mut times: Vec<Instant> = self.zone_times(*part).collect();
            times.sort_unstable_by(|a, b| b.cmp(a));
            (!times.is_empty()).then(|| record(now, *part, reporter, times.into_iter()))
        });
        records.collect()
    }

    /// Removes what others told about other parts than `watched`.
    pub(crate) fn retain_reported(&mut self, watched: &BTreeSet<PartId>) {
        self.peers.retain(|(part, _), _| watched.contains(part));
        self.zones.retain(|(part, _), _| watched.contains(part));
    }

    fn zone_times(&self, part: PartId) -> impl Iterator<Item = Instant> {
        let own = self.own.get(&part).into_iter();
        own.chain(of_part(&self.peers, part))
            .flat_map(RecentTimes::iter)
    }

    /// Removes the parts that were not requested for the longest time. Callers may invent any number of parts.
    fn remove_oldest(&mut self) {
        let mut newest: Vec<Option<Instant>> = self.own.values().map(RecentTimes::newest).collect();
        let middle = newest.len() / 2;
        let (_, median, _) = newest.select_nth_unstable(middle);
        let median = *median;
        self.own.retain(|_, it| it.newest() > median);
    }
}

fn of_part(
    reported: &BTreeMap<(PartId, u64), RecentTimes>,
    part: PartId,
) -> impl Iterator<Item = &RecentTimes> {
    reported.range((part, 0)..=(part, u64::MAX)).map(|it| it.1)
}

fn record(
    now: Instant,
    part: PartId,
    reporter: u64,
    times: impl Iterator<Item = Instant>,
) -> SurvivalRecord {
    let ages = times.take(KEPT_SURVIVALS).map(|it| age_ms(now, it));
    SurvivalRecord {
        part,
        reporter,
        ages_ms: ages.collect(),
    }
}

/// Maximum number of parts of this entry.
const MAX_PARTS: usize = 4096;

/// Difference between two times up to which they may be the same one, told twice.
const MERGE_TOLERANCE: Duration = Duration::from_millis(10);
