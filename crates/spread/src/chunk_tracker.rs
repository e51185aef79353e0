//! The plan of one group of chunks in one region.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{
    ChunkAssignment, ChunkMask, ChunkOffer, ChunkReport, ChunkSource, FetchFailure, FetchFault,
    GroupKey, HostName, RegionName,
};

use crate::baseline;
use crate::holder_state::{HolderState, PendingFetch};
use crate::rendezvous;
use crate::source_backoff::SourceBackoff;
use crate::spread_policy::{SpreadPolicy, SpreadStrategy};

/// Tells the hosts of a region what to fetch next; everything in it is rebuilt from the hosts' reports.
#[derive(Clone, Debug)]
pub struct ChunkTracker {
    pub(crate) key: GroupKey,
    pub(crate) region: RegionName,
    pub(crate) policy: SpreadPolicy,
    pub(crate) hosts: BTreeMap<HostName, HolderState>,
    offers: BTreeMap<RegionName, BTreeMap<u8, (HostName, SocketAddr)>>,
    /// Owners of a chunk's entry that failed at it lately; the next in the ranking takes over.
    excuses: BTreeMap<(HostName, u8), Instant>,
    origin_backoff: SourceBackoff,
    region_backoffs: BTreeMap<RegionName, SourceBackoff>,
    /// Hosts of other regions that sent bad bytes.
    distrusted: BTreeSet<HostName>,
    /// Chunks that came from another region with bad bytes; the origin may be asked for them whatever the ranking.
    spoiled: ChunkMask,
    /// Since when a chunk neither is in the region nor on offer.
    missing_since: BTreeMap<u8, Instant>,
    pub(crate) tie_breaker: u64,
}

impl ChunkTracker {
    /// Creates the tracker of `key` in `region`; equal seeds break ties alike.
    pub fn new(key: GroupKey, region: RegionName, policy: SpreadPolicy, seed: u64) -> Self {
        Self {
            key,
            region,
            policy,
            hosts: BTreeMap::new(),
            offers: BTreeMap::new(),
            excuses: BTreeMap::new(),
            origin_backoff: SourceBackoff::default(),
            region_backoffs: BTreeMap::new(),
            distrusted: BTreeSet::new(),
            spoiled: ChunkMask::default(),
            missing_since: BTreeMap::new(),
            tie_breaker: seed,
        }
    }

    /// Tells whether a newer report of the same host has been taken.
    pub fn is_superseded(&self, report: &ChunkReport) -> bool {
        let known = self.hosts.get(&report.host);
        known
            .is_some_and(|it| (it.incarnation, it.sequence) > (report.incarnation, report.sequence))
    }

    /// Replaces the limits, which operators change at run time.
    pub fn set_policy(&mut self, policy: SpreadPolicy) {
        self.policy = policy;
    }

    /// Takes a host's report and returns what it should fetch next, the most urgent first.
    ///
    /// `regions` are the regions with live hosts; they decide which region asks the origin for which chunk.
    pub fn plan(
        &mut self,
        report: &ChunkReport,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Vec<ChunkAssignment> {
        if !self.absorb(report, now) {
            return Vec::new();
        }
        self.expire(now);
        match self.policy.strategy {
            SpreadStrategy::Regional => self.plan_regional(report, regions, now),
            SpreadStrategy::OriginOnly => baseline::origin_only(self, report, now),
            SpreadStrategy::BinaryTree => baseline::binary_tree(self, report, now),
            SpreadStrategy::RandomPeers => baseline::random_peers(self, report, now),
        }
    }

    /// Returns chunks that another region may fetch here, outside those in `known`, each from the host that has sent
    /// least.
    pub fn offer(&mut self, known: ChunkMask, limit: usize, now: Instant) -> Vec<ChunkOffer> {
        self.expire(now);
        let mut offers = Vec::new();
        for slot in self.all_slots().without(known).slots() {
            if offers.len() >= limit {
                break;
            }
            let holder = self
                .hosts
                .iter_mut()
                .filter(|(_, it)| it.have.contains(slot) && it.accusers.is_empty())
                .filter(|(_, it)| it.backoff.is_ready(now))
                .min_by_key(|(_, it)| it.sent + it.uploads);
            if let Some((host, holder)) = holder {
                holder.sent += 1;
                offers.push(ChunkOffer {
                    slot,
                    host: host.clone(),
                    address: holder.address,
                });
            }
        }
        offers
    }

    /// Returns the chunks that this tracker needs no offers for: held in its region, entering it or on offer already.
    pub fn known_chunks(&self) -> ChunkMask {
        let mut known = self.entering_chunks().union(self.held_chunks());
        for slot in self.offers.values().flat_map(BTreeMap::keys) {
            known.insert(*slot);
        }
        known
    }

    /// Tells whether offers of other regions would still help.
    pub fn wants_offers(&self) -> bool {
        !self.hosts.is_empty() && !self.all_slots().without(self.known_chunks()).is_empty()
    }

    /// Takes what the tracker of `region` offers.
    pub fn take_offers(&mut self, region: &RegionName, offers: &[ChunkOffer]) {
        let known = self.offers.entry(region.clone()).or_default();
        for offer in offers {
            if self.distrusted.contains(&offer.host) {
                continue;
            }
            known.insert(offer.slot, (offer.host.clone(), offer.address));
        }
    }

    /// Returns when the last report came, so that trackers nobody asks any more can be dropped.
    pub fn last_report(&self) -> Option<Instant> {
        self.hosts.values().map(|it| it.seen).max()
    }

    /// Tells whether every live host holds every chunk, so that chunks need not be kept for others.
    pub fn is_complete(&self) -> bool {
        let all = self.all_slots();
        !self.hosts.is_empty() && self.hosts.values().all(|it| it.have == all)
    }

    /// Returns the hosts that report to this tracker and how many of them hold every chunk.
    pub fn progress(&self) -> (usize, usize) {
        let all = self.all_slots();
        let complete = self.hosts.values().filter(|it| it.have == all).count();
        (self.hosts.len(), complete)
    }

    pub(crate) fn all_slots(&self) -> ChunkMask {
        ChunkMask::first(usize::from(self.key.chunks))
    }

    /// Returns the chunks that the region has from hosts which nobody accuses of bad bytes.
    fn held_chunks(&self) -> ChunkMask {
        let trusted = self.hosts.values().filter(|it| it.accusers.is_empty());
        let masks = trusted.map(|it| it.have);
        masks.fold(ChunkMask::default(), ChunkMask::union)
    }

    pub(crate) fn next_tie(&mut self) -> u64 {
        self.tie_breaker = rendezvous::mix(self.tie_breaker);
        self.tie_breaker
    }

    pub(crate) fn origin_is_ready(&self, now: Instant) -> bool {
        self.origin_backoff.is_ready(now)
    }

    /// Books a fetch of `host` and returns it as an assignment.
    pub(crate) fn assign(
        &mut self,
        host: &HostName,
        slot: u8,
        source: ChunkSource,
        now: Instant,
    ) -> ChunkAssignment {
        if let ChunkSource::Peer { host, .. } = &source
            && let Some(holder) = self.hosts.get_mut(host)
        {
            holder.uploads += 1;
        }
        if let Some(state) = self.hosts.get_mut(host) {
            let pending = PendingFetch {
                enters: source.enters_region(),
                source: Some(source.clone()),
                since: now,
            };
            state.fetches.insert(slot, pending);
        }
        ChunkAssignment { slot, source }
    }

    fn plan_regional(
        &mut self,
        report: &ChunkReport,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Vec<ChunkAssignment> {
        let mut assignments = Vec::new();
        while assignments.len() < usize::from(report.room) {
            let next = match self.next_entry(&report.host, regions, now) {
                Some(next) => Some(next),
                None => self.next_peer_fetch(&report.host, now),
            };
            let Some((slot, source)) = next else {
                break;
            };
            assignments.push(self.assign(&report.host, slot, source, now));
        }
        assignments
    }

    /// Finds a chunk that `host` is to bring into the region.
    fn next_entry(
        &mut self,
        host: &HostName,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Option<(u8, ChunkSource)> {
        let entering = self.entering_chunks();
        let missing = self.missing_chunks(host)?.without(entering);
        let absent: Vec<u8> = missing
            .slots()
            .filter(|&slot| self.usable_holders(host, slot, now).next().is_none())
            .collect();
        let mut best: Option<(u64, u8, ChunkSource)> = None;
        for slot in absent {
            if !self.is_entry_owner(host, slot, now) {
                continue;
            }
            let Some((urgency, source)) = self.entry_source(slot, regions, now) else {
                continue;
            };
            let rank = urgency << RANDOM_BITS | self.next_tie() >> (u64::BITS - RANDOM_BITS);
            if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
                best = Some((rank, slot, source));
            }
        }
        best.map(|(_, slot, source)| (slot, source))
    }

    /// Chooses between another region and the origin for a chunk that is not in the region, with its urgency.
    fn entry_source(
        &mut self,
        slot: u8,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Option<(u64, ChunkSource)> {
        if let Some(source) = self.region_source(slot, now) {
            self.missing_since.remove(&slot);
            return Some((URGENCY_FIRST, source));
        }
        let since = *self.missing_since.entry(slot).or_insert(now);
        if !self.origin_is_ready(now) || self.origin_fetches() >= self.policy.origin_fetches {
            return None;
        }
        let seed = rendezvous::chunk_seed(&self.key, slot);
        let names = regions.iter().map(RegionName::as_str);
        let place = rendezvous::ranked(seed, names)
            .iter()
            .position(|it| *it == self.region.as_str())
            .unwrap_or(0);
        let waited = now.saturating_duration_since(since).as_secs_f64();
        let patience = self.policy.patience.as_secs_f64().max(SHORTEST_PATIENCE_S);
        let allowed = self.policy.origin_copies as usize + (waited / patience) as usize;
        let urgency = if place == 0 {
            URGENCY_FIRST
        } else {
            URGENCY_EXTRA
        };
        // One copy has to leave the origin, whatever the budget says.
        let may_ask = place < allowed.max(1) || self.spoiled.contains(slot);
        may_ask.then_some((urgency, ChunkSource::Origin))
    }

    fn region_source(&self, slot: u8, now: Instant) -> Option<ChunkSource> {
        self.offers
            .iter()
            .filter(|(region, _)| {
                self.region_backoffs
                    .get(*region)
                    .is_none_or(|it| it.is_ready(now))
                    && self.fetches_from(region) < self.policy.region_fetches
            })
            .find_map(|(region, offers)| {
                let (host, address) = offers.get(&slot)?;
                Some(ChunkSource::Region {
                    region: region.clone(),
                    host: host.clone(),
                    address: *address,
                })
            })
    }

    /// Tells whether nobody ranked above `host` could bring the chunk into the region.
    fn is_entry_owner(&self, host: &HostName, slot: u8, now: Instant) -> bool {
        let seed = rendezvous::chunk_seed(&self.key, slot);
        let score = |name: &HostName, state: &HolderState| {
            let excuse = self.excuses.get(&(name.clone(), slot));
            let excused = excuse.is_some_and(|until| *until > now);
            (!excused, rendezvous::mix(seed ^ state.name_hash))
        };
        let Some(own) = self.hosts.get(host).map(|state| score(host, state)) else {
            return false;
        };
        self.hosts
            .iter()
            .filter(|(name, state)| *name != host && !state.have.contains(slot))
            .all(|(name, state)| score(name, state) <= own)
    }

    /// Finds the rarest chunk that a host of the region can send to `host` now.
    fn next_peer_fetch(&mut self, host: &HostName, now: Instant) -> Option<(u8, ChunkSource)> {
        let missing = self.missing_chunks(host)?;
        let copies = self.copy_counts();
        let zone = self.hosts.get(host)?.zone.clone();
        let sent_limit = (self.policy.host_sent_copies * f64::from(self.key.chunks)).ceil() as u32;
        let tie = self.next_tie();
        let mut best: Option<(PeerRank, u8, &HostName, SocketAddr)> = None;
        for slot in missing.slots() {
            for (name, holder) in self.usable_holders(host, slot, now) {
                if holder.uploads >= self.policy.host_uploads {
                    continue;
                }
                let sent = holder.sent + holder.uploads;
                let rank = PeerRank {
                    over_limit: sent >= sent_limit,
                    copies: copies[usize::from(slot)],
                    chunk_tie: rendezvous::mix(tie ^ u64::from(slot)),
                    other_zone: holder.zone != zone && sent * 8 > u32::from(self.key.chunks),
                    load: holder.uploads * UPLOAD_WEIGHT + sent,
                    host_tie: rendezvous::mix(tie ^ holder.name_hash),
                };
                if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
                    best = Some((rank, slot, name, holder.address));
                }
            }
        }
        best.map(|(_, slot, name, address)| {
            let host = name.clone();
            (slot, ChunkSource::Peer { host, address })
        })
    }

    /// Counts the hosts that hold each chunk or fetch it.
    fn copy_counts(&self) -> [u32; ChunkMask::GROUP_CHUNKS] {
        let mut copies = [0; ChunkMask::GROUP_CHUNKS];
        for state in self.hosts.values() {
            for slot in state.have.slots().chain(state.fetches.keys().copied()) {
                copies[usize::from(slot)] += 1;
            }
        }
        copies
    }

    pub(crate) fn missing_chunks(&self, host: &HostName) -> Option<ChunkMask> {
        let state = self.hosts.get(host)?;
        let mut missing = self.all_slots().without(state.have);
        for slot in state.fetches.keys() {
            missing.remove(*slot);
        }
        Some(missing)
    }

    pub(crate) fn usable_holders(
        &self,
        host: &HostName,
        slot: u8,
        now: Instant,
    ) -> impl Iterator<Item = (&HostName, &HolderState)> {
        self.hosts.iter().filter(move |(name, state)| {
            *name != host
                && state.have.contains(slot)
                && state.is_trusted_by(host)
                && state.backoff.is_ready(now)
        })
    }

    pub(crate) fn entering_chunks(&self) -> ChunkMask {
        let mut entering = ChunkMask::default();
        for state in self.hosts.values() {
            for (slot, _) in state.fetches.iter().filter(|(_, it)| it.enters) {
                entering.insert(*slot);
            }
        }
        entering
    }

    fn origin_fetches(&self) -> usize {
        self.fetches_where(|it| matches!(it, ChunkSource::Origin))
    }

    fn fetches_from(&self, from: &RegionName) -> usize {
        self.fetches_where(|it| matches!(it, ChunkSource::Region { region, .. } if region == from))
    }

    fn fetches_where(&self, matches: impl Fn(&ChunkSource) -> bool) -> usize {
        self.hosts
            .values()
            .flat_map(|it| it.fetches.values())
            .filter(|it| it.source.as_ref().is_some_and(&matches))
            .count()
    }

    /// Takes the state of a report over and returns whether it comes from the newest process of its host.
    fn absorb(&mut self, report: &ChunkReport, now: Instant) -> bool {
        if self.is_superseded(report) {
            return false;
        }
        let known = self.hosts.get(&report.host).map(|it| it.incarnation);
        if known.is_some_and(|it| it < report.incarnation) {
            self.forget(&report.host);
        }
        if known != Some(report.incarnation) {
            let state = HolderState::new(report, now);
            self.hosts.insert(report.host.clone(), state);
        }
        for failure in &report.failures {
            self.note_failure(&report.host, failure, now);
        }
        let all = self.all_slots();
        let Some(state) = self.hosts.get_mut(&report.host) else {
            return false;
        };
        state.seen = now;
        state.sequence = report.sequence;
        state.sent = report.sent;
        state.have = ChunkMask(report.have.0 & all.0);
        // An assignment may still be on its way to the host, which then cannot report it yet.
        let is_unknown = |it: &PendingFetch| now.saturating_duration_since(it.since) < REPLY_GRACE;
        let ended: Vec<u8> = state
            .fetches
            .iter()
            .filter(|(slot, _)| !report.fetching.contains(**slot))
            .filter(|(slot, it)| report.have.contains(**slot) || !is_unknown(it))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in report.fetching.slots() {
            state.fetches.entry(slot).or_insert(PendingFetch {
                source: None,
                enters: report.entering.contains(slot),
                since: now,
            });
        }
        for slot in ended {
            let arrived = report.have.contains(slot);
            if let Some(pending) = self.end_fetch(&report.host, slot)
                && arrived
            {
                self.note_success(pending.source.as_ref());
            }
        }
        true
    }

    fn note_success(&mut self, source: Option<&ChunkSource>) {
        match source {
            Some(ChunkSource::Origin) => self.origin_backoff.succeeded(),
            Some(ChunkSource::Region { region, .. }) => {
                self.region_backoffs.remove(region);
            }
            Some(ChunkSource::Peer { host, .. }) => {
                if let Some(state) = self.hosts.get_mut(host) {
                    state.backoff.succeeded();
                }
            }
            None => {}
        }
    }

    fn note_failure(&mut self, reporter: &HostName, failure: &FetchFailure, now: Instant) {
        self.end_fetch(reporter, failure.slot);
        if failure.source.enters_region() {
            let until = now + EXCUSE;
            self.excuses.insert((reporter.clone(), failure.slot), until);
        }
        match &failure.source {
            // Bad bytes may be the reporter's own fault, and must not keep the others from the origin.
            ChunkSource::Origin if failure.fault == FetchFault::Corrupted => {}
            ChunkSource::Origin => self.origin_backoff.failed(now, None),
            ChunkSource::Region { region, host, .. } => {
                if let Some(offers) = self.offers.get_mut(region) {
                    offers.remove(&failure.slot);
                }
                if failure.fault == FetchFault::Corrupted {
                    self.distrusted.insert(host.clone());
                    self.spoiled.insert(failure.slot);
                }
                if failure.fault == FetchFault::Stalled {
                    let backoff = self.region_backoffs.entry(region.clone()).or_default();
                    backoff.failed(now, None);
                }
            }
            ChunkSource::Peer { host, .. } => {
                let Some(state) = self.hosts.get_mut(host) else {
                    return;
                };
                match failure.fault {
                    FetchFault::Corrupted => {
                        state.accusers.insert(reporter.clone());
                    }
                    FetchFault::Absent => state.have.remove(failure.slot),
                    FetchFault::Busy | FetchFault::Stalled => state.backoff.failed(now, None),
                }
            }
        }
    }

    /// Drops hosts that fell silent and fetches that led to nothing.
    fn expire(&mut self, now: Instant) {
        let silent: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.seen) > self.policy.host_timeout)
            .map(|(name, _)| name.clone())
            .collect();
        for host in silent {
            self.forget(&host);
        }
        let timeout = self.policy.fetch_timeout;
        let late = |it: &PendingFetch| now.saturating_duration_since(it.since) > timeout;
        let overdue: Vec<(HostName, u8)> = self
            .hosts
            .iter()
            .flat_map(|(name, it)| it.fetches.iter().map(move |(slot, it)| (name, *slot, it)))
            .filter(|(_, _, it)| late(it))
            .map(|(name, slot, _)| (name.clone(), slot))
            .collect();
        for (host, slot) in overdue {
            self.end_fetch(&host, slot);
            self.excuses.insert((host, slot), now + EXCUSE);
        }
        self.excuses.retain(|_, until| *until > now);
        let held = self.held_chunks();
        self.missing_since.retain(|slot, _| !held.contains(*slot));
    }

    fn forget(&mut self, host: &HostName) {
        let slots: Vec<u8> = match self.hosts.get(host) {
            Some(state) => state.fetches.keys().copied().collect(),
            None => return,
        };
        for slot in slots {
            self.end_fetch(host, slot);
        }
        self.hosts.remove(host);
    }

    fn end_fetch(&mut self, host: &HostName, slot: u8) -> Option<PendingFetch> {
        let pending = self.hosts.get_mut(host)?.fetches.remove(&slot)?;
        if let Some(ChunkSource::Peer { host, .. }) = &pending.source
            && let Some(holder) = self.hosts.get_mut(host)
        {
            holder.uploads = holder.uploads.saturating_sub(1);
        }
        Some(pending)
    }
}

/// Order in which a host's possible fetches from peers are taken, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerRank {
    over_limit: bool,
    copies: u32,
    chunk_tie: u64,
    other_zone: bool,
    load: u32,
    host_tie: u64,
}

/// A chunk that another region offers, or that this region takes from the origin for all.
const URGENCY_FIRST: u64 = 0;
/// A further copy from the origin, taken when nothing else is to be done.
const URGENCY_EXTRA: u64 = 1;
/// Low bits of a rank, which break ties.
const RANDOM_BITS: u32 = 32;
/// Chunks sent that weigh as much as one being sent.
const UPLOAD_WEIGHT: u32 = 4;
/// How long a host that failed to bring a chunk in leaves it to the next one.
const EXCUSE: Duration = Duration::from_secs(5);
/// How long an assignment may be on its way to its host.
const REPLY_GRACE: Duration = Duration::from_millis(1500);
/// The shortest patience that is taken seriously, in seconds.
const SHORTEST_PATIENCE_S: f64 = 0.5;
