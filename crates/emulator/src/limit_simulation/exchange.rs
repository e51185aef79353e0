//! Datagrams between the entries of an emulation of limits.

use std::time::Duration;

use routing::LimitDigest;

use crate::exchange_plan::HEARTBEAT_INTERVAL;
use crate::limit_simulation::{LimitEvent, LimitSimulation};

impl LimitSimulation {
    pub(super) fn send_heartbeats(&mut self) {
        self.queue
            .schedule(HEARTBEAT_INTERVAL, LimitEvent::Heartbeats);
        let (now, instant) = (self.queue.now(), self.instant());
        for entry in 0..self.entries.len() {
            if self.entries[entry].is_frozen(now) {
                continue;
            }
            self.update_members(entry);
            let state = &mut self.entries[entry];
            let is_due = state.to_zone.is_due(instant);
            if !is_due && now < state.last_heartbeat + MAX_INTERVAL {
                continue;
            }
            state.last_heartbeat = now;
            let digest = is_due.then(|| {
                state.to_zone.record_sent(instant);
                state.table.digest(instant)
            });
            let peers = self.exchange.peers_of(entry, self.entries.len());
            self.send(entry, &peers, digest.flatten().as_ref(), &[], false);
        }
    }

    pub(super) fn send_reports(&mut self) {
        let interval = self.exchange.report_interval();
        self.queue.schedule(interval, LimitEvent::Reports);
        let (now, instant) = (self.queue.now(), self.instant());
        for zone in 0..self.scenario.zones as usize {
            let reporter = zone;
            let state = &mut self.entries[reporter];
            let is_due = state.to_others.has_change() || now >= state.last_report + MAX_INTERVAL;
            if state.is_frozen(now) || !is_due {
                continue;
            }
            state.last_report = now;
            let digest = state.to_others.is_due(instant).then(|| {
                state.to_others.record_sent(instant);
                state.table.digest(instant)
            });
            let mut roster = state.alive(now);
            roster.retain(|it| self.exchange.zone_of(*it) == zone);
            roster.push(reporter);
            let targets = self.exchange.report_targets(zone, self.entries.len());
            let digest = digest.flatten();
            self.send(reporter, &targets, digest.as_ref(), &roster, true);
        }
    }

    fn update_members(&mut self, entry: usize) {
        let (now, instant) = (self.queue.now(), self.instant());
        let alive = self.entries[entry].alive(now);
        let names: Vec<String> = alive
            .iter()
            .map(|it| self.entries[*it].name.clone())
            .collect();
        let state = &mut self.entries[entry];
        let mut names = names.iter().map(String::as_str);
        state.table.update_members(instant, &mut names);
    }

    fn send(
        &mut self,
        from: usize,
        targets: &[usize],
        digest: Option<&LimitDigest>,
        roster: &[usize],
        relay: bool,
    ) {
        let bytes = digest.and_then(|it| postcard::to_allocvec(it).ok());
        let bytes = bytes.map_or(0, |it| it.len() as u64);
        for target in targets {
            self.outcome.bytes += bytes;
            if !self.is_connected(from, *target) {
                continue;
            }
            let Some(delay) = self.exchange.delay(&mut self.random) else {
                continue;
            };
            let event = LimitEvent::Received {
                entry: *target,
                from,
                digest: digest.map(|it| Box::new(it.clone())),
                roster: roster.to_vec(),
                relay: relay && self.exchange.is_reporter(*target),
            };
            self.queue.schedule(delay, event);
        }
    }

    pub(super) fn receive_message(
        &mut self,
        entry: usize,
        from: usize,
        digest: Option<Box<LimitDigest>>,
        roster: &[usize],
        relay: bool,
    ) {
        let (now, instant) = (self.queue.now(), self.instant());
        let state = &mut self.entries[entry];
        if state.is_frozen(now) {
            return;
        }
        let heard = roster.iter().copied().chain([from]);
        for other in heard.filter(|it| *it != entry) {
            let is_new = state.hear(now, other);
            if is_new {
                state.record_news();
            }
        }
        if let Some(digest) = digest.as_deref()
            && !state.table.merge(instant, digest).is_empty()
        {
            state.record_news();
            self.note_end();
        }
        if relay {
            let peers = self.exchange.peers_of(entry, self.entries.len());
            self.send(entry, &peers, digest.as_deref(), roster, false);
        }
    }
}

/// Longest time between two heartbeats or reports.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
