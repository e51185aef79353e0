//! Links between hosts and regions, which transmit one message after the other.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::feed_scenario::FeedScenario;

/// A host: an entry by its index, or the store.
pub(crate) type Host = Option<usize>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Link {
    Up(usize),
    Down(usize),
    Region(usize, usize),
}

/// Occupation of the links, and the bytes that have crossed regions.
#[derive(Debug)]
pub(crate) struct FeedLinks {
    scenario: FeedScenario,
    busy_until: BTreeMap<Link, Duration>,
    /// By pair of regions, delays of messages with the times from which on they apply.
    pub(crate) hop_delays: BTreeMap<(usize, usize), Vec<(Duration, Duration)>>,
    /// Bytes by pair of regions.
    pub(crate) region_bytes: BTreeMap<(usize, usize), u64>,
}

impl FeedLinks {
    pub(crate) fn new(scenario: FeedScenario) -> Self {
        Self {
            scenario,
            busy_until: BTreeMap::new(),
            hop_delays: BTreeMap::new(),
            region_bytes: BTreeMap::new(),
        }
    }

    /// Returns the zone of `host`.
    pub(crate) fn zone(&self, host: Host) -> usize {
        host.map_or(0, |it| it / self.scenario.entries)
    }

    /// Transmits a message at `now`; returns when it has arrived.
    pub(crate) fn transmit(
        &mut self,
        now: Duration,
        from: Host,
        to: Host,
        bytes: usize,
    ) -> Duration {
        let (from_zone, to_zone) = (self.zone(from), self.zone(to));
        if from_zone != to_zone {
            *self.region_bytes.entry((from_zone, to_zone)).or_default() += bytes as u64;
        }
        let mut arrival = now;
        for link in self.path(from, to).into_iter().flatten() {
            let free = self.busy_until.get(&link).copied().unwrap_or_default();
            let start = free.max(now);
            let seconds = bytes as f64 * 8.0 / (self.mbps(link, start) * 1e6);
            let end = start + Duration::from_secs_f64(seconds);
            self.busy_until.insert(link, end);
            arrival = arrival.max(end);
        }
        arrival + one_way_delay(from_zone, to_zone) + self.hop_delay(now, from_zone, to_zone)
    }

    /// Returns when a datagram arrives that is sent at `now`: behind what the links transmit, and too small to occupy them.
    pub(crate) fn datagram_arrival(&self, now: Duration, from: Host, to: Host) -> Duration {
        let (from_zone, to_zone) = (self.zone(from), self.zone(to));
        let links = self.path(from, to).into_iter().flatten();
        let free = links.filter_map(|it| self.busy_until.get(&it).copied());
        let left = free.max().unwrap_or_default().max(now);
        left + one_way_delay(from_zone, to_zone) + self.hop_delay(now, from_zone, to_zone)
    }

    fn path(&self, from: Host, to: Host) -> [Option<Link>; 3] {
        let (from_zone, to_zone) = (self.zone(from), self.zone(to));
        let region = (from_zone != to_zone).then_some(Link::Region(from_zone, to_zone));
        [from.map(Link::Up), region, to.map(Link::Down)]
    }

    /// Returns the delay of a message from one zone to another beside that of the links.
    pub(crate) fn hop_delay(&self, now: Duration, from_zone: usize, to_zone: usize) -> Duration {
        let delays = self.hop_delays.get(&(from_zone, to_zone));
        let delays = delays.map_or(&[][..], Vec::as_slice);
        let current = delays.iter().rfind(|it| it.0 <= now);
        current.map_or(Duration::ZERO, |it| it.1)
    }

    fn mbps(&self, link: Link, at: Duration) -> f64 {
        let scenario = &self.scenario;
        let rate = match link {
            Link::Up(_) | Link::Down(_) => scenario.entry_mbps,
            Link::Region(..) => scenario.region_mbps,
        };
        let (begin, length) = FeedScenario::SQUEEZE;
        let is_narrow = at >= begin && at < begin + length;
        if is_narrow {
            rate / scenario.squeeze
        } else {
            rate
        }
    }
}

fn one_way_delay(from_zone: usize, to_zone: usize) -> Duration {
    if from_zone == to_zone {
        ZONE_DELAY
    } else {
        REGION_DELAY
    }
}

/// One-way delay between regions.
const REGION_DELAY: Duration = Duration::from_micros(2800);

/// One-way delay within a zone.
const ZONE_DELAY: Duration = Duration::from_micros(200);
