//! Datagrams between the entries of an emulation.

use std::time::Duration;

use rand::RngExt;
use routing::{CrashDigest, DigestSource};

use crate::crash_simulation::CrashSimulation;
use crate::simulation_event::SimulationEvent;

impl CrashSimulation {
    pub(super) fn send_heartbeats(&mut self) {
        self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::Heartbeats);
        let now = self.instant();
        for entry in 0..self.entries.len() {
            let replicas = self.scenario.replicas;
            let state = &mut self.entries[entry];
            if state.table.is_unsettled() {
                let conclusions = state.conclude(now, replicas);
                self.note(entry, &conclusions);
            }
            let state = &mut self.entries[entry];
            if !state.to_zone.is_due(now) {
                continue;
            }
            state.to_zone.record_sent(now);
            let digest = state.table.own_digest(now);
            if !digest.is_empty() {
                let peers = self.peers_of(entry);
                self.send(&peers, &digest, DigestSource::Entry, false);
            }
        }
    }

    pub(super) fn send_reports(&mut self) {
        self.schedule(self.report_interval(), SimulationEvent::Reports);
        let now = self.instant();
        let zones = self.scenario.zones;
        for zone in 0..zones {
            // Entries are numbered by zone in turn, so the first one of a zone has its number.
            let reporter = zone as usize;
            let state = &mut self.entries[reporter];
            if !state.to_others.is_due(now) {
                continue;
            }
            state.to_others.record_sent(now);
            let digest = state.table.zone_digest(now, &zone.to_string());
            if digest.is_empty() {
                continue;
            }
            let others = (0..zones).filter(|it| *it != zone);
            let targets = others.flat_map(|it| [it, it + zones]);
            let targets = targets.map(|it| it as usize);
            let targets: Vec<usize> = targets.filter(|it| *it < self.entries.len()).collect();
            self.send(&targets, &digest, DigestSource::Zone, true);
        }
    }

    pub(super) fn send(
        &mut self,
        targets: &[usize],
        digest: &CrashDigest,
        source: DigestSource,
        relay: bool,
    ) {
        let bytes = postcard::to_allocvec(digest).map_or(0, |it| it.len());
        for target in targets {
            self.outcome.datagrams += 1;
            self.outcome.bytes += bytes as u64;
            if self.random.random_bool(self.scenario.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..8));
            // Only the first entry of a zone passes reports on.
            let relay = relay && (*target as u64) < self.scenario.zones;
            let digest = Box::new(digest.clone());
            let event = SimulationEvent::Received {
                entry: *target,
                digest,
                source,
                relay,
            };
            self.schedule(delay, event);
        }
    }

    pub(super) fn peers_of(&self, entry: usize) -> Vec<usize> {
        let zone = self.entries[entry].zone;
        let peers = (0..self.entries.len()).filter(|it| *it != entry);
        peers.filter(|it| self.entries[*it].zone == zone).collect()
    }

    /// Returns the interval of reports, which grows with the number of zones.
    pub(super) fn report_interval(&self) -> Duration {
        let scale = (self.scenario.zones - 1).div_ceil(ZONES_AT_MIN_INTERVAL);
        REPORT_INTERVAL * u32::try_from(scale.max(1)).unwrap_or(u32::MAX)
    }
}

/// Interval of heartbeats under load, and of reports between zones.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of other zones up to which reports are sent at this interval.
const ZONES_AT_MIN_INTERVAL: u64 = 5;
