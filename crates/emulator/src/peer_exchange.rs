//! Emulation of what entries know of each other: heartbeats within a zone, and the list of its entries that the reporter of a
//! zone sends to the others.

use std::rc::Rc;
use std::time::Duration;

use fleet::PeerRecord;
use rand::RngExt;

use crate::feed_event::FeedEvent;
use crate::feed_simulation::FeedSimulation;

/// Descriptions of entries that an entry sends to others.
#[derive(Debug)]
pub(crate) struct PeerDatagram {
    records: Vec<PeerRecord>,
    kind: PeerDatagramKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerDatagramKind {
    Heartbeat,
    ZoneReport,
    /// A report that the reporter of the receiving zone passes on.
    RelayedReport,
}

impl FeedSimulation {
    /// Lists all entries at all others, as by the store, and schedules the first messages.
    pub(crate) fn start_peer_exchange(&mut self) {
        let records: Vec<_> = (0..self.entries.len()).map(|it| self.record(it)).collect();
        for entry in 0..self.entries.len() {
            let own = &mut self.entries[entry];
            for record in records.iter().filter(|it| it.node != own.name) {
                own.peers.insert_listed(record.clone());
            }
            self.queue
                .schedule(Duration::ZERO, FeedEvent::Heartbeat(entry));
            let phase = ROSTER_INTERVAL.mul_f64(self.random.random());
            self.queue.schedule(phase, FeedEvent::Roster(entry));
        }
    }

    pub(crate) fn handle_peer_event(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Heartbeat(entry) => {
                self.queue
                    .schedule(HEARTBEAT_INTERVAL, FeedEvent::Heartbeat(entry));
                self.send_heartbeat(entry);
            }
            FeedEvent::UrgentHeartbeat(entry) => {
                self.entries[entry].is_heartbeat_due = false;
                self.send_heartbeat(entry);
            }
            FeedEvent::Roster(entry) => self.send_roster(entry),
            FeedEvent::Peers(entry, datagram) => self.receive_peers(entry, &datagram),
            event => unreachable!("{event:?} is no event of the exchange between entries"),
        }
    }

    /// Tells the other entries of the zone soon about a change of `entry`.
    pub(crate) fn request_heartbeat(&mut self, entry: usize) {
        if !std::mem::replace(&mut self.entries[entry].is_heartbeat_due, true) {
            let event = FeedEvent::UrgentHeartbeat(entry);
            self.queue.schedule(MIN_HEARTBEAT_INTERVAL, event);
        }
    }

    fn send_heartbeat(&mut self, entry: usize) {
        let datagram = PeerDatagram {
            records: vec![self.record(entry)],
            kind: PeerDatagramKind::Heartbeat,
        };
        self.send_peers(entry, self.in_zone(entry), datagram);
    }

    fn send_roster(&mut self, entry: usize) {
        self.queue
            .schedule(self.report_interval(), FeedEvent::Roster(entry));
        let now = self.queue.now();
        let last = self.entries[entry].last_roster;
        let is_due = last.is_none_or(|it| now - it >= ROSTER_INTERVAL);
        if !is_due || !self.is_reporter(entry) {
            return;
        }
        let own = self.record(entry);
        let alive = self.entries[entry].peers.alive(self.now());
        let in_zone = alive.filter(|it| it.zone == own.zone).cloned();
        let datagram = PeerDatagram {
            records: in_zone.chain([own.clone()]).collect(),
            kind: PeerDatagramKind::ZoneReport,
        };
        self.entries[entry].last_roster = Some(now);
        self.send_peers(entry, self.report_targets(entry), datagram);
    }

    fn send_peers(&mut self, entry: usize, targets: Vec<usize>, datagram: PeerDatagram) {
        if !self.entries[entry].is_up {
            return;
        }
        let loss = self.declarations.map_or(0.0, |it| it.datagram_loss);
        let now = self.queue.now();
        let sent = self.departure(entry);
        let datagram = Rc::new(datagram);
        for target in targets.into_iter().filter(|it| *it != entry) {
            if self.random.random_bool(loss) {
                continue;
            }
            let arrival = self.links.datagram_arrival(sent, Some(entry), Some(target));
            let event = FeedEvent::Peers(target, datagram.clone());
            self.queue.schedule(arrival.saturating_sub(now), event);
        }
    }

    fn receive_peers(&mut self, entry: usize, datagram: &PeerDatagram) {
        let now = self.now();
        let own = &mut self.entries[entry];
        if !own.is_up {
            return;
        }
        let mut has_discovered = false;
        for record in &datagram.records {
            has_discovered |= own.peers.record_heartbeat(record.clone(), now);
        }
        match datagram.kind {
            PeerDatagramKind::Heartbeat if has_discovered => self.request_heartbeat(entry),
            PeerDatagramKind::ZoneReport if self.is_reporter(entry) => {
                let relayed = PeerDatagram {
                    records: datagram.records.clone(),
                    kind: PeerDatagramKind::RelayedReport,
                };
                self.send_peers(entry, self.in_zone(entry), relayed);
            }
            _ => {}
        }
    }

    /// Returns the entries of the zone of `entry`.
    pub(crate) fn in_zone(&self, entry: usize) -> Vec<usize> {
        let first = entry - entry % self.scenario.entries;
        (first..first + self.scenario.entries).collect()
    }

    /// Returns whether `entry` reports for its zone and passes on what other zones report.
    pub(crate) fn is_reporter(&self, entry: usize) -> bool {
        let own = &self.entries[entry];
        let zone = self.zone_name(entry);
        own.is_up && fleet::is_zone_reporter(&own.peers, &own.name, &zone, self.now())
    }

    /// Returns the entries of other zones that receive the reports of `entry`.
    pub(crate) fn report_targets(&self, entry: usize) -> Vec<usize> {
        let peers = &self.entries[entry].peers;
        let zone = self.zone_name(entry);
        let targets = fleet::report_targets(peers, &zone, TARGETS_PER_ZONE, 0, self.now());
        let targets = targets.concat();
        targets.iter().map(|it| usize::from(it.port())).collect()
    }

    /// Returns the time between two reports of a zone.
    pub(crate) fn report_interval(&self) -> Duration {
        let scale = (self.scenario.zones - 1).div_ceil(ZONES_AT_MIN_INTERVAL);
        MIN_REPORT_INTERVAL * u32::try_from(scale).unwrap_or(1)
    }

    fn zone_name(&self, entry: usize) -> String {
        format!("z{}", self.links.zone(Some(entry)))
    }
}

/// Time between the heartbeats of an entry, and from a change to the heartbeat that tells it; see the crate `ingress`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(15);

/// Exchange between zones; see the crate `ingress`. A list of entries is sent with the first report after its interval.
const ROSTER_INTERVAL: Duration = Duration::from_millis(500);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);
const ZONES_AT_MIN_INTERVAL: usize = 5;
const TARGETS_PER_ZONE: usize = 2;
