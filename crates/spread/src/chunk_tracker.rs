//! Plans the transfer of one group of chunks within one region.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use model::{
    ChunkAssignment, ChunkMask, ChunkOffer, ChunkReport, ChunkSource, FetchFailure, FetchFault,
    GroupKey, HostName, RegionName,
};

use crate::baseline;
use crate::host_state::{HostState, PendingFetch};
use crate::rendezvous;
use crate::source_backoff::SourceBackoff;
use crate::spread_policy::{SpreadPolicy, SpreadStrategy};

/// Assigns the next fetches to the hosts of a region. All of its state can be rebuilt from the hosts' reports.
#[derive(Clone, Debug)]
pub struct ChunkTracker {
    pub(crate) key: GroupKey,
    pub(crate) region: RegionName,
    pub(crate) policy: SpreadPolicy,
    pub(crate) hosts: BTreeMap<HostName, HostState>,
    /// Chunks offered by other regions, with a host that holds each.
    offers: BTreeMap<RegionName, BTreeMap<u8, (HostName, SocketAddr)>>,
    /// Until when a host that failed to import a chunk yields it to the next host in the ranking.
    import_cooldowns: BTreeMap<(HostName, u8), Instant>,
    origin_backoff: SourceBackoff,
    region_backoffs: BTreeMap<RegionName, SourceBackoff>,
    /// Hosts of other regions that sent corrupt chunks.
    untrusted_hosts: BTreeSet<HostName>,
    /// Chunks that arrived corrupt from another region. They may be fetched from the origin whatever this region's
    /// rank.
    corrupt_chunks: ChunkMask,
    /// When each chunk was first found to be neither held in the region nor offered by another one.
    missing_since: BTreeMap<u8, Instant>,
    /// State of the pseudo-random generator that breaks ties.
    pub(crate) tie_breaker: u64,
}

impl ChunkTracker {
    /// Creates the tracker for `key` in `region`. Equal seeds give equal tie-breaking.
    pub fn new(key: GroupKey, region: RegionName, policy: SpreadPolicy, seed: u64) -> Self {
        Self {
            key,
            region,
            policy,
            hosts: BTreeMap::new(),
            offers: BTreeMap::new(),
            import_cooldowns: BTreeMap::new(),
            origin_backoff: SourceBackoff::default(),
            region_backoffs: BTreeMap::new(),
            untrusted_hosts: BTreeSet::new(),
            corrupt_chunks: ChunkMask::default(),
            missing_since: BTreeMap::new(),
            tie_breaker: seed,
        }
    }

    /// Returns whether a newer report from the same host was already processed.
    pub fn is_superseded(&self, report: &ChunkReport) -> bool {
        let known = self.hosts.get(&report.host);
        known
            .is_some_and(|it| (it.incarnation, it.sequence) > (report.incarnation, report.sequence))
    }

    /// Replaces the limits, which operators can change at run time.
    pub fn set_policy(&mut self, policy: SpreadPolicy) {
        self.policy = policy;
    }

    /// Applies a host's report and returns the chunks that it should fetch next, in order of priority.
    ///
    /// `regions` are the regions with live hosts; their ranking decides which region fetches which chunk from the
    /// origin.
    pub fn plan(
        &mut self,
        report: &ChunkReport,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Vec<ChunkAssignment> {
        if !self.apply_report(report, now) {
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

    /// Returns up to `limit` chunks outside `known` that another region may fetch from this one, each from the holder
    /// that has sent the fewest chunks.
    pub fn select_offers(
        &mut self,
        known: ChunkMask,
        limit: usize,
        now: Instant,
    ) -> Vec<ChunkOffer> {
        self.expire(now);
        let mut offers = Vec::new();
        for slot in self.all_slots().difference(known).slots() {
            if offers.len() >= limit {
                break;
            }
            let holder = self
                .hosts
                .iter_mut()
                .filter(|(_, it)| it.present.contains(slot) && it.corruption_reporters.is_empty())
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

    /// Returns the chunks for which this tracker needs no offers: those held in its region, being imported or already
    /// offered.
    pub fn known_chunks(&self) -> ChunkMask {
        let mut known = self.importing_chunks().union(self.held_chunks());
        for slot in self.offers.values().flat_map(BTreeMap::keys) {
            known.insert(*slot);
        }
        known
    }

    /// Returns whether some chunk still needs an offer from another region.
    pub fn needs_offers(&self) -> bool {
        !self.hosts.is_empty() && !self.all_slots().difference(self.known_chunks()).is_empty()
    }

    /// Records the offers of the tracker of `region`, except those from untrusted hosts.
    pub fn add_offers(&mut self, region: &RegionName, offers: &[ChunkOffer]) {
        let known = self.offers.entry(region.clone()).or_default();
        for offer in offers {
            if self.untrusted_hosts.contains(&offer.host) {
                continue;
            }
            known.insert(offer.slot, (offer.host.clone(), offer.address));
        }
    }

    /// Returns the time of the last report, by which unused trackers are dropped.
    pub fn last_report(&self) -> Option<Instant> {
        self.hosts.values().map(|it| it.last_report_at).max()
    }

    /// Returns whether every live host holds every chunk, so that no host needs to keep chunks for others.
    pub fn is_complete(&self) -> bool {
        let all = self.all_slots();
        !self.hosts.is_empty() && self.hosts.values().all(|it| it.present == all)
    }

    /// Returns the number of hosts that report to this tracker and how many of them hold every chunk.
    pub fn progress(&self) -> (usize, usize) {
        let all = self.all_slots();
        let complete = self.hosts.values().filter(|it| it.present == all).count();
        (self.hosts.len(), complete)
    }

    pub(crate) fn all_slots(&self) -> ChunkMask {
        ChunkMask::all(usize::from(self.key.chunks))
    }

    /// Returns the chunks held by hosts of the region that were never reported for sending corrupt data.
    fn held_chunks(&self) -> ChunkMask {
        let trusted = self
            .hosts
            .values()
            .filter(|it| it.corruption_reporters.is_empty());
        let masks = trusted.map(|it| it.present);
        masks.fold(ChunkMask::default(), ChunkMask::union)
    }

    pub(crate) fn next_tie_breaker(&mut self) -> u64 {
        self.tie_breaker = rendezvous::splitmix64(self.tie_breaker);
        self.tie_breaker
    }

    pub(crate) fn origin_is_ready(&self, now: Instant) -> bool {
        self.origin_backoff.is_ready(now)
    }

    /// Records a pending fetch of `host` and returns its assignment.
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
                is_import: source.is_external(),
                source: Some(source.clone()),
                started_at: now,
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
        while assignments.len() < usize::from(report.max_assignments) {
            let next = match self.next_import(&report.host, regions, now) {
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

    /// Selects a chunk that `host` should import into the region.
    fn next_import(
        &mut self,
        host: &HostName,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Option<(u8, ChunkSource)> {
        let importing = self.importing_chunks();
        let missing = self.missing_chunks(host)?.difference(importing);
        let absent: Vec<u8> = missing
            .slots()
            .filter(|&slot| self.usable_holders(host, slot, now).next().is_none())
            .collect();
        let mut best: Option<(u64, u8, ChunkSource)> = None;
        for slot in absent {
            if !self.is_import_owner(host, slot, now) {
                continue;
            }
            let Some((priority, source)) = self.import_source(slot, regions, now) else {
                continue;
            };
            let rank = priority << TIE_BREAKER_BITS
                | self.next_tie_breaker() >> (u64::BITS - TIE_BREAKER_BITS);
            if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
                best = Some((rank, slot, source));
            }
        }
        best.map(|(_, slot, source)| (slot, source))
    }

    /// Selects another region or the origin as the source of a chunk that the region lacks, and returns the priority of
    /// the fetch.
    fn import_source(
        &mut self,
        slot: u8,
        regions: &BTreeSet<RegionName>,
        now: Instant,
    ) -> Option<(u64, ChunkSource)> {
        if let Some(source) = self.region_source(slot, now) {
            self.missing_since.remove(&slot);
            return Some((PRIORITY_REQUIRED, source));
        }
        let since = *self.missing_since.entry(slot).or_insert(now);
        if !self.origin_is_ready(now) || self.origin_fetches() >= self.policy.origin_fetches {
            return None;
        }
        let seed = rendezvous::chunk_seed(&self.key, slot);
        let names = regions.iter().map(RegionName::as_str);
        let region_rank = rendezvous::rank_names(seed, names)
            .iter()
            .position(|it| *it == self.region.as_str())
            .unwrap_or(0);
        let waited = now.saturating_duration_since(since).as_secs_f64();
        let fallback_delay = self
            .policy
            .origin_fallback_delay
            .as_secs_f64()
            .max(MIN_FALLBACK_DELAY_S);
        let allowed = self.policy.origin_copies as usize + (waited / fallback_delay) as usize;
        let priority = if region_rank == 0 {
            PRIORITY_REQUIRED
        } else {
            PRIORITY_EXTRA_COPY
        };
        // At least one region must fetch the chunk from the origin, even with a budget of zero copies.
        let may_fetch = region_rank < allowed.max(1) || self.corrupt_chunks.contains(slot);
        may_fetch.then_some((priority, ChunkSource::Origin))
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

    /// Returns whether `host` has the highest rank among the hosts that lack the chunk. Hosts in cooldown rank last.
    fn is_import_owner(&self, host: &HostName, slot: u8, now: Instant) -> bool {
        let seed = rendezvous::chunk_seed(&self.key, slot);
        let score = |name: &HostName, state: &HostState| {
            let cooldown = self.import_cooldowns.get(&(name.clone(), slot));
            let in_cooldown = cooldown.is_some_and(|until| *until > now);
            (!in_cooldown, rendezvous::splitmix64(seed ^ state.name_hash))
        };
        let Some(own) = self.hosts.get(host).map(|state| score(host, state)) else {
            return false;
        };
        self.hosts
            .iter()
            .filter(|(name, state)| *name != host && !state.present.contains(slot))
            .all(|(name, state)| score(name, state) <= own)
    }

    /// Selects the rarest chunk that a host of the region can send to `host` now.
    fn next_peer_fetch(&mut self, host: &HostName, now: Instant) -> Option<(u8, ChunkSource)> {
        let missing = self.missing_chunks(host)?;
        let copies = self.copy_counts();
        let zone = self.hosts.get(host)?.zone.clone();
        let sent_limit = (self.policy.host_sent_copies * f64::from(self.key.chunks)).ceil() as u32;
        let tie_breaker = self.next_tie_breaker();
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
                    chunk_tie_breaker: rendezvous::splitmix64(tie_breaker ^ u64::from(slot)),
                    other_zone: holder.zone != zone && sent * 8 > u32::from(self.key.chunks),
                    load: holder.uploads * UPLOAD_WEIGHT + sent,
                    host_tie_breaker: rendezvous::splitmix64(tie_breaker ^ holder.name_hash),
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

    /// Counts the hosts that hold or fetch each chunk.
    fn copy_counts(&self) -> [u32; ChunkMask::CHUNKS_PER_GROUP] {
        let mut copies = [0; ChunkMask::CHUNKS_PER_GROUP];
        for state in self.hosts.values() {
            for slot in state.present.slots().chain(state.fetches.keys().copied()) {
                copies[usize::from(slot)] += 1;
            }
        }
        copies
    }

    pub(crate) fn missing_chunks(&self, host: &HostName) -> Option<ChunkMask> {
        let state = self.hosts.get(host)?;
        let mut missing = self.all_slots().difference(state.present);
        for slot in state.fetches.keys() {
            missing.remove(*slot);
        }
        Some(missing)
    }

    /// Returns the holders of the chunk that `host` trusts and that are not backing off.
    pub(crate) fn usable_holders(
        &self,
        host: &HostName,
        slot: u8,
        now: Instant,
    ) -> impl Iterator<Item = (&HostName, &HostState)> {
        self.hosts.iter().filter(move |(name, state)| {
            *name != host
                && state.present.contains(slot)
                && state.is_trusted_by(host)
                && state.backoff.is_ready(now)
        })
    }

    /// Returns the chunks that a host is fetching from outside the region.
    pub(crate) fn importing_chunks(&self) -> ChunkMask {
        let mut importing = ChunkMask::default();
        for state in self.hosts.values() {
            for (slot, _) in state.fetches.iter().filter(|(_, it)| it.is_import) {
                importing.insert(*slot);
            }
        }
        importing
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

    /// Updates the state of the reporting host. Returns `false` if the report is superseded by a newer one.
    fn apply_report(&mut self, report: &ChunkReport, now: Instant) -> bool {
        if self.is_superseded(report) {
            return false;
        }
        let known = self.hosts.get(&report.host).map(|it| it.incarnation);
        if known.is_some_and(|it| it < report.incarnation) {
            self.remove_host(&report.host);
        }
        if known != Some(report.incarnation) {
            let state = HostState::new(report, now);
            self.hosts.insert(report.host.clone(), state);
        }
        for failure in &report.failures {
            self.record_failure(&report.host, failure, now);
        }
        let all = self.all_slots();
        let Some(state) = self.hosts.get_mut(&report.host) else {
            return false;
        };
        state.last_report_at = now;
        state.sequence = report.sequence;
        state.sent = report.sent;
        state.present = ChunkMask(report.present.0 & all.0);
        // The host cannot report an assignment that is still in transit to it.
        let may_be_in_transit =
            |it: &PendingFetch| now.saturating_duration_since(it.started_at) < ASSIGNMENT_GRACE;
        let ended: Vec<u8> = state
            .fetches
            .iter()
            .filter(|(slot, _)| !report.fetching.contains(**slot))
            .filter(|(slot, it)| report.present.contains(**slot) || !may_be_in_transit(it))
            .map(|(slot, _)| *slot)
            .collect();
        for slot in report.fetching.slots() {
            state.fetches.entry(slot).or_insert(PendingFetch {
                source: None,
                is_import: report.importing.contains(slot),
                started_at: now,
            });
        }
        for slot in ended {
            let arrived = report.present.contains(slot);
            if let Some(pending) = self.end_fetch(&report.host, slot)
                && arrived
            {
                self.record_success(pending.source.as_ref());
            }
        }
        true
    }

    fn record_success(&mut self, source: Option<&ChunkSource>) {
        match source {
            Some(ChunkSource::Origin) => self.origin_backoff.record_success(),
            Some(ChunkSource::Region { region, .. }) => {
                self.region_backoffs.remove(region);
            }
            Some(ChunkSource::Peer { host, .. }) => {
                if let Some(state) = self.hosts.get_mut(host) {
                    state.backoff.record_success();
                }
            }
            None => {}
        }
    }

    fn record_failure(&mut self, reporter: &HostName, failure: &FetchFailure, now: Instant) {
        self.end_fetch(reporter, failure.slot);
        if failure.source.is_external() {
            let until = now + IMPORT_COOLDOWN;
            self.import_cooldowns
                .insert((reporter.clone(), failure.slot), until);
        }
        match &failure.source {
            // The corruption may be the reporter's own fault and must not stop other hosts from using the origin.
            ChunkSource::Origin if failure.fault == FetchFault::Corrupt => {}
            ChunkSource::Origin => self.origin_backoff.record_failure(now, None),
            ChunkSource::Region { region, host, .. } => {
                if let Some(offers) = self.offers.get_mut(region) {
                    offers.remove(&failure.slot);
                }
                if failure.fault == FetchFault::Corrupt {
                    self.untrusted_hosts.insert(host.clone());
                    self.corrupt_chunks.insert(failure.slot);
                }
                if failure.fault == FetchFault::Stalled {
                    let backoff = self.region_backoffs.entry(region.clone()).or_default();
                    backoff.record_failure(now, None);
                }
            }
            ChunkSource::Peer { host, .. } => {
                let Some(state) = self.hosts.get_mut(host) else {
                    return;
                };
                match failure.fault {
                    FetchFault::Corrupt => {
                        state.corruption_reporters.insert(reporter.clone());
                    }
                    FetchFault::Absent => state.present.remove(failure.slot),
                    FetchFault::Busy | FetchFault::Stalled => {
                        state.backoff.record_failure(now, None)
                    }
                }
            }
        }
    }

    /// Removes hosts that stopped reporting and fetches that timed out.
    fn expire(&mut self, now: Instant) {
        let timed_out: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, it)| {
                now.saturating_duration_since(it.last_report_at) > self.policy.host_timeout
            })
            .map(|(name, _)| name.clone())
            .collect();
        for host in timed_out {
            self.remove_host(&host);
        }
        let timeout = self.policy.fetch_timeout;
        let is_overdue = |it: &PendingFetch| now.saturating_duration_since(it.started_at) > timeout;
        let overdue: Vec<(HostName, u8)> = self
            .hosts
            .iter()
            .flat_map(|(name, it)| it.fetches.iter().map(move |(slot, it)| (name, *slot, it)))
            .filter(|(_, _, it)| is_overdue(it))
            .map(|(name, slot, _)| (name.clone(), slot))
            .collect();
        for (host, slot) in overdue {
            self.end_fetch(&host, slot);
            self.import_cooldowns
                .insert((host, slot), now + IMPORT_COOLDOWN);
        }
        self.import_cooldowns.retain(|_, until| *until > now);
        let held = self.held_chunks();
        self.missing_since.retain(|slot, _| !held.contains(*slot));
    }

    fn remove_host(&mut self, host: &HostName) {
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

/// Sort key of a host's candidate fetches from peers; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PeerRank {
    /// Whether the holder has reached [`SpreadPolicy::host_sent_copies`].
    over_limit: bool,
    /// Hosts that hold or fetch the chunk.
    copies: u32,
    chunk_tie_breaker: u64,
    /// Whether the holder is in another zone and has already sent more than an eighth of the group.
    other_zone: bool,
    load: u32,
    host_tie_breaker: u64,
}

/// Priority of a chunk that another region offers, or for which this region ranks first at the origin.
const PRIORITY_REQUIRED: u64 = 0;
/// Priority of an additional copy from the origin, fetched when the host can import no chunk of higher priority.
const PRIORITY_EXTRA_COPY: u64 = 1;
/// Number of low bits of a rank that break ties.
const TIE_BREAKER_BITS: u32 = 32;
/// Number of finished uploads that count as much as one in progress in a holder's load.
const UPLOAD_WEIGHT: u32 = 4;
/// Time for which a host that failed to import a chunk yields it to the next host in the ranking.
const IMPORT_COOLDOWN: Duration = Duration::from_secs(5);
/// Time for which a host may not yet report an assigned fetch, since the assignment may still be in transit.
const ASSIGNMENT_GRACE: Duration = Duration::from_millis(1500);
/// Lower bound of [`SpreadPolicy::origin_fallback_delay`], in seconds.
const MIN_FALLBACK_DELAY_S: f64 = 0.5;
