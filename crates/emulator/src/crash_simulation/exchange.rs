//! Datagrams between the entries of an emulation.

use routing::{CrashDigest, DigestSource};

use crate::crash_simulation::CrashSimulation;
use crate::exchange_plan::HEARTBEAT_INTERVAL;
use crate::simulation_event::SimulationEvent;

impl CrashSimulation {
    pub(super) fn send_heartbeats(&mut self) {
        self.queue
            .schedule(HEARTBEAT_INTERVAL, SimulationEvent::Heartbeats);
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
                let peers = self.exchange.peers_of(entry, self.entries.len());
                self.send(&peers, &digest, DigestSource::Entry, false);
            }
        }
    }

    pub(super) fn send_reports(&mut self) {
        let interval = self.exchange.report_interval();
        self.queue.schedule(interval, SimulationEvent::Reports);
        let now = self.instant();
        for zone in 0..self.scenario.zones as usize {
            let state = &mut self.entries[zone];
            if !state.to_others.is_due(now) {
                continue;
            }
            state.to_others.record_sent(now);
            let digest = state.table.zone_digest(now, &zone.to_string());
            if digest.is_empty() {
                continue;
            }
            let targets = self.exchange.report_targets(zone, self.entries.len());
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
            let Some(delay) = self.exchange.delay(&mut self.random) else {
                continue;
            };
            let event = SimulationEvent::Received {
                entry: *target,
                digest: Box::new(digest.clone()),
                source,
                relay: relay && self.exchange.is_reporter(*target),
            };
            self.queue.schedule(delay, event);
        }
    }
}
