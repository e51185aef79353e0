//! Datagrams between the entries of an emulation of limits.

use std::time::Duration;

use routing::LimitDigest;

use crate::exchange_plan::HEARTBEAT_INTERVAL;
use crate::limit_simulation::{LimitEvent, LimitSimulation};

impl LimitSimulation {
    pub(super) fn send_heartbeats(&mut self) {
        self.queue
            .schedule(HEARTBEAT_INTERVAL, LimitEvent::Heartbeats);
        let now = self.queue.now();
        for entry in 0..self.entries.len() {
            let instant = self.instant(entry);
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
            let repeats = self.zone_rank(entry) < REPEATING_ENTRIES;
            let state = &mut self.entries[entry];
            let digest = is_due.then(|| {
                state.to_zone.record_sent(instant);
                state.table.digest(instant, repeats)
            });
            let peers = self.exchange.peers_of(entry, self.entries.len());
            self.send(entry, &peers, digest.flatten().as_ref(), &[], false);
        }
    }

    pub(super) fn send_reports(&mut self) {
        let interval = self.exchange.report_interval();
        self.queue.schedule(interval, LimitEvent::Reports);
        let now = self.queue.now();
        for reporter in 0..self.entries.len() {
            let instant = self.instant(reporter);
            if self.zone_rank(reporter) > 0 {
                continue;
            }
            let zone = self.exchange.zone_of(reporter);
            let state = &mut self.entries[reporter];
            let is_due = state.to_others.has_change() || now >= state.last_report + MAX_INTERVAL;
            if state.is_frozen(now) || !is_due {
                continue;
            }
            state.last_report = now;
            let round = state.reports;
            state.reports += 1;
            let digest = state.to_others.is_due(instant).then(|| {
                state.to_others.record_sent(instant);
                state.table.digest(instant, true)
            });
            let mut roster = state.alive(now);
            roster.retain(|it| self.exchange.zone_of(*it) == zone);
            roster.push(reporter);
            let targets = self.report_targets(reporter, round);
            let digest = digest.flatten();
            self.send(reporter, &targets, digest.as_ref(), &roster, true);
        }
    }

    /// Returns the number of entries of the zone before `entry` that it considers alive; the first one reports for the
    /// zone.
    fn zone_rank(&self, entry: usize) -> usize {
        let zone = self.exchange.zone_of(entry);
        let alive = self.entries[entry].alive(self.queue.now()).into_iter();
        let before = alive.filter(|it| *it < entry && self.exchange.zone_of(*it) == zone);
        before.count()
    }

    /// Returns two entries of each other zone: the first ones that `reporter` considers alive, or else others in each
    /// `round`.
    fn report_targets(&self, reporter: usize, round: usize) -> Vec<usize> {
        let alive = self.entries[reporter].alive(self.queue.now());
        let own_zone = self.exchange.zone_of(reporter);
        let mut targets = Vec::new();
        for zone in (0..self.scenario.zones as usize).filter(|it| *it != own_zone) {
            let in_zone = |it: &usize| self.exchange.zone_of(*it) == zone;
            let live: Vec<usize> = alive.iter().copied().filter(in_zone).take(2).collect();
            if live.is_empty() {
                let listed: Vec<usize> = (0..self.entries.len()).filter(in_zone).collect();
                let first = round * 2 % listed.len();
                let in_turn = listed.iter().cycle().skip(first).take(2);
                targets.extend(in_turn.copied());
            }
            targets.extend(live);
        }
        targets
    }

    fn update_members(&mut self, entry: usize) {
        let (now, instant) = (self.queue.now(), self.instant(entry));
        let alive = self.entries[entry].alive(now);
        let names: Vec<String> = alive
            .iter()
            .map(|it| self.entries[*it].name.clone())
            .collect();
        let has_cold_starts = self.scenario.cold.is_some();
        let state = &mut self.entries[entry];
        state.table.set_repeats_base(has_cold_starts);
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
                relay: relay && self.zone_rank(*target) == 0,
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
        let (now, instant) = (self.queue.now(), self.instant(entry));
        let state = &mut self.entries[entry];
        if state.is_frozen(now) {
            return;
        }
        let heard = roster.iter().copied().chain([from]);
        for other in heard.filter(|it| *it != entry) {
            let is_new = state.hear(now, other);
            if is_new {
                state.record_news();
                state.table.record_discovery();
            }
        }
        state.has_evidence |= digest.is_some();
        if let Some(digest) = digest.as_deref()
            && !state.table.merge(instant, digest).is_empty()
        {
            state.to_others.record_change();
            self.note_end();
        }
        if relay {
            let peers = self.exchange.peers_of(entry, self.entries.len());
            self.send(entry, &peers, digest.as_deref(), roster, false);
        }
    }
}

/// Number of entries of a zone that repeat what they know.
const REPEATING_ENTRIES: usize = 2;

/// Longest time between two heartbeats or reports.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
