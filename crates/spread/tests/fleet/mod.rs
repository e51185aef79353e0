//! In-memory simulation of hosts and trackers that advances in time steps.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{
    ChunkReport, ChunkSet, ChunkSource, FetchFault, HostName, Incarnation, RegionName,
    VersionLabel, WeightManifest, ZoneName,
};
use spread::{ChunkTracker, FetchState, PlannedFetch, SpreadPolicy};

/// A simulated host: its transfer state and its running fetches, each with the fraction of the chunk that remains.
pub struct Host {
    pub region: RegionName,
    pub zone: ZoneName,
    pub incarnation: u64,
    pub alive: bool,
    pub sends_corrupt_data: bool,
    pub state: FetchState,
    pub running: Vec<(PlannedFetch, f64)>,
    pub sent: u32,
    pub completed_at: Option<Duration>,
}

/// The simulated fleet and the counters that tests check.
pub struct Fleet {
    pub start: Instant,
    pub now: Duration,
    pub policy: SpreadPolicy,
    pub manifest: WeightManifest,
    pub hosts: BTreeMap<HostName, Host>,
    pub trackers: BTreeMap<(RegionName, u32), ChunkTracker>,
    pub origin_sent: BTreeMap<usize, u32>,
    pub region_pair_sent: BTreeMap<(RegionName, RegionName, usize), u32>,
    pub failed_imports: u32,
    pub failed_region_fetches: u32,
    pub seed: u64,
    pub max_fetches: usize,
}

/// Link rates in chunks per second.
pub struct Rates {
    pub host: f64,
    pub origin: f64,
    pub region_pair: f64,
}

pub fn manifest(label: &str, chunks: usize) -> WeightManifest {
    let data: Vec<u8> = (0..chunks as u64)
        .flat_map(|it| (it ^ (label.len() as u64 * (it % 2))).to_le_bytes())
        .collect();
    let model = "m".parse().unwrap();
    WeightManifest::from_data(model, VersionLabel::new(label).unwrap(), 8, &data)
}

pub fn host_name(idx: usize) -> HostName {
    HostName::new(format!("h{idx:03}")).unwrap()
}

pub fn region_name(idx: usize) -> RegionName {
    RegionName::new(format!("r{idx}")).unwrap()
}

impl Fleet {
    pub fn new(hosts: usize, regions: usize, chunks: usize, policy: SpreadPolicy) -> Self {
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            policy,
            manifest: manifest("v1", chunks),
            hosts: BTreeMap::new(),
            trackers: BTreeMap::new(),
            origin_sent: BTreeMap::new(),
            region_pair_sent: BTreeMap::new(),
            failed_imports: 0,
            failed_region_fetches: 0,
            seed: 7,
            max_fetches: 3,
        };
        for idx in 0..hosts {
            fleet.add_host(idx, idx % regions);
        }
        fleet
    }

    pub fn add_host(&mut self, idx: usize, region: usize) {
        let state = FetchState::new(&self.manifest, ChunkSet::default(), self.max_fetches);
        let host = Host {
            region: region_name(region),
            zone: ZoneName::new(format!("z{region}-{}", idx / 7 % 2)).unwrap(),
            incarnation: 1 + self.now.as_millis() as u64,
            alive: true,
            sends_corrupt_data: false,
            state,
            running: Vec::new(),
            sent: 0,
            completed_at: None,
        };
        self.hosts.insert(host_name(idx), host);
    }

    pub fn regions(&self) -> BTreeSet<RegionName> {
        let live = self.hosts.values().filter(|it| it.alive);
        live.map(|it| it.region.clone()).collect()
    }

    /// Sends one report of the host `name` to each of its trackers and starts the assigned fetches.
    pub fn send_reports(&mut self, name: &HostName) {
        let regions = self.regions();
        let (now, policy, seed) = (self.start + self.now, self.policy, self.seed);
        let host = self.hosts.get_mut(name).unwrap();
        if !host.alive {
            return;
        }
        for group in 0..host.state.group_count() {
            let (present, fetching, importing) = host.state.group_masks(group);
            let report = ChunkReport {
                host: name.clone(),
                incarnation: Incarnation(host.incarnation),
                zone: host.zone.clone(),
                region: host.region.clone(),
                peers: "127.0.0.1:1".parse().unwrap(),
                sequence: self.now.as_nanos() as u64,
                key: host.state.group_key(group),
                present,
                fetching,
                importing,
                sent: host.state.sent_count(group),
                max_assignments: host.state.available_fetches() as u8,
                failures: host.state.take_failures(group),
            };
            let region = host.region.clone();
            let tracker = self
                .trackers
                .entry((region.clone(), group))
                .or_insert_with(|| ChunkTracker::new(report.key, region, policy, seed));
            let assignments = tracker.plan(&report, &regions, now);
            let planned = host.state.accept_assignments(group, assignments, now);
            host.running.extend(planned.into_iter().map(|it| (it, 1.0)));
        }
    }

    /// Exchanges offers between the trackers of all pairs of regions.
    pub fn exchange_offers(&mut self) {
        let now = self.start + self.now;
        let keys: Vec<(RegionName, u32)> = self.trackers.keys().cloned().collect();
        for (to, group) in &keys {
            for (from, _) in keys.iter().filter(|(it, other)| it != to && other == group) {
                let known = self.trackers[&(to.clone(), *group)].known_chunks();
                let sender = self.trackers.get_mut(&(from.clone(), *group)).unwrap();
                let offers = sender.select_offers(known, 8, now);
                let receiver = self.trackers.get_mut(&(to.clone(), *group)).unwrap();
                receiver.add_offers(from, &offers);
            }
        }
    }

    /// Completes or fails a running fetch, depending on the state of its source.
    pub fn finish_fetch(&mut self, name: &HostName, chunk: usize) {
        let now = self.start + self.now;
        let host = self.hosts.get_mut(name).unwrap();
        let Some(index) = host.running.iter().position(|(it, _)| it.chunk == chunk) else {
            return;
        };
        let (fetch, _) = host.running.remove(index);
        let to = host.region.clone();
        let fault = match fetch.source.host() {
            None => {
                *self.origin_sent.entry(chunk).or_default() += 1;
                None
            }
            Some(source) => self.serve_chunk(source.clone(), chunk, &to),
        };
        let crosses_regions = matches!(fetch.source, ChunkSource::Region { .. });
        let host = self.hosts.get_mut(name).unwrap();
        match fault {
            None => host.state.complete_fetch(chunk),
            Some(fault) => {
                host.state.fail_fetch(chunk, fault, now);
                self.failed_region_fetches += u32::from(crosses_regions);
                self.failed_imports += u32::from(fetch.source.is_external());
            }
        }
        let host = self.hosts.get_mut(name).unwrap();
        if host.state.is_complete() && host.completed_at.is_none() {
            host.completed_at = Some(self.now);
        }
    }

    fn serve_chunk(
        &mut self,
        source: HostName,
        chunk: usize,
        to: &RegionName,
    ) -> Option<FetchFault> {
        let version = self.hosts[&source].state.version();
        let host = self.hosts.get_mut(&source).unwrap();
        if !host.alive {
            return Some(FetchFault::Stalled);
        }
        if version != self.manifest.version() || !host.state.present().contains(chunk) {
            return Some(FetchFault::Absent);
        }
        host.state.record_sent(chunk);
        host.sent += 1;
        if host.region != *to {
            let key = (host.region.clone(), to.clone(), chunk);
            *self.region_pair_sent.entry(key).or_default() += 1;
        }
        host.sends_corrupt_data.then_some(FetchFault::Corrupt)
    }

    /// Advances all fetches by `step`. The rate of a link is shared by its fetches in several rounds, so that capacity
    /// which one fetch cannot use becomes available to the others.
    pub fn advance(&mut self, step: Duration, rates: &Rates) {
        self.now += step;
        let mut fetches: Vec<(HostName, usize, Vec<usize>, f64)> = Vec::new();
        let mut links: BTreeMap<String, usize> = BTreeMap::new();
        let mut capacities: Vec<f64> = Vec::new();
        for (name, host) in self.hosts.iter().filter(|(_, it)| it.alive) {
            for (fetch, _) in &host.running {
                let names = link_names(name, &host.region, &fetch.source);
                let ids = names.into_iter().map(|(link, rate)| {
                    *links.entry(link).or_insert_with(|| {
                        capacities.push(rate(rates));
                        capacities.len() - 1
                    })
                });
                fetches.push((name.clone(), fetch.chunk, ids.collect(), 0.0));
            }
        }
        for _ in 0..SHARING_ROUNDS {
            let mut fetch_counts = vec![0.0; capacities.len()];
            let has_capacity =
                |ids: &[usize], capacities: &[f64]| ids.iter().all(|&id| capacities[id] > 1e-9);
            for (_, _, ids, _) in &fetches {
                if has_capacity(ids, &capacities) {
                    ids.iter().for_each(|&id| fetch_counts[id] += 1.0);
                }
            }
            let round_capacities = capacities.clone();
            for (_, _, ids, rate) in &mut fetches {
                if has_capacity(ids, &round_capacities) {
                    let shares = ids
                        .iter()
                        .map(|&id| round_capacities[id] / fetch_counts[id]);
                    let share = shares.fold(f64::INFINITY, f64::min);
                    *rate += share;
                    ids.iter().for_each(|&id| capacities[id] -= share);
                }
            }
        }
        for (name, chunk, _, rate) in fetches {
            let host = self.hosts.get_mut(&name).unwrap();
            let running = host.running.iter_mut().find(|(it, _)| it.chunk == chunk);
            let (_, remaining) = running.unwrap();
            *remaining -= rate * step.as_secs_f64();
            if *remaining <= 0.0 {
                self.finish_fetch(&name, chunk);
            }
        }
    }

    pub fn is_complete(&self) -> bool {
        let mut live = self.hosts.values().filter(|it| it.alive);
        live.all(|it| it.state.is_complete())
    }

    pub fn origin_copies(&self) -> f64 {
        let chunks: u32 = self.origin_sent.values().sum();
        f64::from(chunks) / self.manifest.chunk_count() as f64
    }
}

type LinkRate = fn(&Rates) -> f64;

fn link_names(host: &HostName, to: &RegionName, source: &ChunkSource) -> Vec<(String, LinkRate)> {
    let host_rate: LinkRate = |it| it.host;
    let mut links = vec![(format!("host {host}"), host_rate)];
    if let Some(host) = source.host() {
        links.push((format!("host {host}"), host_rate));
    }
    match source {
        ChunkSource::Origin => links.push(("origin".into(), |it| it.origin)),
        ChunkSource::Region { region, .. } => {
            links.push((format!("pair {region} {to}"), |it| it.region_pair));
        }
        ChunkSource::Peer { .. } => {}
    }
    links
}

const SHARING_ROUNDS: usize = 4;
