//! Emulation of declared weights beside the configuration: when does each entry believe that a version was acknowledged,
//! and so from when on does it allow no request to begin on older weights?

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::declaration_report::{DeadlineRecord, DeclarationReport};
use crate::declaration_scenario::{DeclarationScenario, EntryTrouble, HopDelay, StoreTrouble};
use crate::feed_entry::{CONFIG_KEY, FIRST_VERSION, VERSION_KEY};
use crate::feed_event::{DeclarationDatagram, FeedEvent};
use crate::feed_simulation::{FeedSimulation, READERS, REQUEST_BYTES, ROW_BYTES};
use crate::simulated_store::StoreRow;

/// Entries that follow declarations of weights.
pub struct DeclarationSimulation {
    feeds: FeedSimulation,
    scenario: DeclarationScenario,
    last_declaration: Duration,
}

impl DeclarationSimulation {
    /// Creates an emulation in which `seed` determines all random choices.
    pub fn new(scenario: DeclarationScenario, seed: u64) -> Self {
        let feeds = FeedSimulation::create(scenario.feeds, Some(scenario), seed);
        Self {
            feeds,
            scenario,
            last_declaration: Duration::ZERO,
        }
    }

    /// Runs the emulation.
    pub fn run(mut self) -> DeclarationReport {
        self.schedule_declarations();
        self.delay_hops();
        self.trouble_entries();
        for entry in 0..self.feeds.entries.len() {
            let phase = self.between(Duration::ZERO, HEARTBEAT_INTERVAL);
            let heartbeat = FeedEvent::SendDeclarations(entry);
            self.feeds.queue.schedule(phase, heartbeat);
            let report = FeedEvent::SendReport(entry);
            self.feeds.queue.schedule(phase, report);
            let phase = self.between(Duration::ZERO, REPLICAS_WAIT + REPLICAS_PAUSE);
            let call = FeedEvent::ReplicaCall(entry);
            self.feeds.queue.schedule(phase, call);
        }
        let feeds = &mut self.feeds;
        feeds.run_until(self.last_declaration + self.scenario.bound + SETTLING_TIME);
        let mut report = DeclarationReport {
            unknown: feeds.unknown_versions,
            ..DeclarationReport::default()
        };
        for (index, acked) in feeds.acks.iter().enumerate() {
            let records = feeds.entries.iter();
            let records = records.map(|it| (it.started, &it.deadlines[index]));
            report.add(*acked, self.scenario.bound, records);
        }
        report
    }

    /// Returns a random time from `begin` to `end`.
    fn between(&mut self, begin: Duration, end: Duration) -> Duration {
        begin + (end - begin).mul_f64(self.feeds.random.random())
    }

    fn schedule_declarations(&mut self) {
        let first = DeclarationScenario::FIRST_DECLARATION;
        let mut at = self.between(first, first + Duration::from_secs(1));
        for version in (FIRST_VERSION..).take(self.scenario.versions) {
            self.feeds.queue.schedule(at, FeedEvent::Declare(version));
            self.last_declaration = at;
            at += self.between(MIN_DECLARATION_GAP, MAX_DECLARATION_GAP);
        }
        self.feeds.changes_until = self.last_declaration + CHANGES_AFTER;
    }

    fn delay_hops(&mut self) {
        let end = match self.scenario.hop_delay {
            HopDelay::None => return,
            HopDelay::Both | HopDelay::OneWay => self.last_declaration + DELAYS_AFTER,
            HopDelay::UntilSwitch => self.last_declaration + self.scenario.bound,
        };
        let zones = self.scenario.feeds.zones;
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|it| it.0 != it.1) {
            // The lower zone of a pair is the slow sender if the sum of both is even.
            let is_slow_sender = (from < to) == (from + to).is_multiple_of(2);
            if self.scenario.hop_delay == HopDelay::OneWay && !is_slow_sender {
                continue;
            }
            let mut delays = Vec::new();
            let mut at = DELAYS_BEGIN;
            while at < end {
                let max_delay = if self.feeds.random.random_bool(0.5) {
                    DeclarationScenario::MAX_HOP_DELAY
                } else {
                    Duration::ZERO
                };
                let delay = self.between(Duration::ZERO, max_delay);
                delays.push((at, delay));
                at += self.between(MIN_DELAY_TIME, MAX_DELAY_TIME);
            }
            delays.push((end, Duration::ZERO));
            self.feeds.links.hop_delays.insert((from, to), delays);
        }
    }

    fn trouble_entries(&mut self) {
        let first = DeclarationScenario::FIRST_DECLARATION;
        let last = self.last_declaration;
        let (share, last_start) = match self.scenario.entry_trouble {
            EntryTrouble::AllStart => (1.0, first + MAX_START_DELAY),
            _ => (TROUBLED_SHARE, last + Duration::from_secs(1)),
        };
        for entry in 0..self.feeds.entries.len() {
            if !self.feeds.random.random_bool(share) {
                continue;
            }
            match self.scenario.entry_trouble {
                EntryTrouble::None => {}
                EntryTrouble::Starts | EntryTrouble::AllStart => {
                    let start = self.between(first, last_start);
                    self.feeds.entries[entry].is_up = false;
                    self.feeds.entries[entry].started = start;
                    self.feeds.queue.schedule(start, FeedEvent::Thaw(entry));
                }
                EntryTrouble::Suspended => {
                    let begin = self.between(first - Duration::from_secs(1), last);
                    let length = self.between(MIN_SUSPENSION, MAX_SUSPENSION);
                    self.feeds.entries[entry].clock.suspension = Some((begin, length));
                    self.feeds.queue.schedule(begin, FeedEvent::Judge(entry));
                }
                EntryTrouble::Starved => {
                    let interval = self.between(MIN_RUN_INTERVAL, MAX_RUN_INTERVAL);
                    let clock = &mut self.feeds.entries[entry].clock;
                    clock.starvation = Some((first - Duration::from_secs(1), last + DELAYS_AFTER));
                    clock.run_interval = interval;
                }
            }
        }
    }
}

impl FeedSimulation {
    pub(crate) fn handle_declaration(&mut self, event: FeedEvent) {
        let now = self.queue.now();
        match event {
            FeedEvent::Declare(version) => self.declare(version),
            FeedEvent::StoreLost => {
                self.store.is_away = true;
                self.store.held.clear();
            }
            FeedEvent::StoreBack => self.return_store(),
            FeedEvent::Rewrite(rows) => {
                self.store.is_behind = false;
                for row in rows {
                    self.write(&row.key, row.value);
                }
            }
            FeedEvent::SendDeclarations(entry) => {
                self.send_to_zone(entry);
                self.queue
                    .schedule(HEARTBEAT_INTERVAL, FeedEvent::SendDeclarations(entry));
            }
            FeedEvent::SendReport(entry) => self.send_report(entry),
            FeedEvent::Datagram(entry, datagram) => self.receive_datagram(entry, &datagram),
            FeedEvent::ReplicaCall(entry) => self.call_for_replicas(entry),
            FeedEvent::ReplicaRead(entry, sent) => {
                if !self.store.is_away && !self.is_response_lost() {
                    let page = self.store.page(Some(self.store.position()), now);
                    let answered = now + self.store_delay() / 2;
                    let arrival = self.links.transmit(answered, None, Some(entry), ROW_BYTES);
                    let event = FeedEvent::ReplicaPage(entry, sent, page);
                    self.queue.schedule(arrival - now, event);
                }
            }
            FeedEvent::ReplicaPage(entry, sent, page) => {
                let own = &mut self.entries[entry];
                if own.is_up {
                    own.record_other_page(&page, sent, REPLICAS_WAIT, now);
                    own.record_deadlines(now);
                }
            }
            FeedEvent::Judge(entry) => self.entries[entry].record_deadlines(now),
            FeedEvent::BoundPassed(entry, version) => {
                let own = &self.entries[entry];
                let record = &own.deadlines[(version - FIRST_VERSION) as usize];
                let has_read = own.mirror.position().is_some();
                self.unknown_versions += usize::from(own.is_up && has_read && !record.is_known());
            }
            event => unreachable!("{event:?} is no event of declarations"),
        }
    }

    /// Reads the replicas' table, if the entry does so for others. It does not change, so each answer comes after the wait.
    fn call_for_replicas(&mut self, entry: usize) {
        let pause = REPLICAS_WAIT + REPLICAS_PAUSE + self.store_delay();
        self.queue.schedule(pause, FeedEvent::ReplicaCall(entry));
        let own = &self.entries[entry];
        if !own.is_up || own.is_cut_off || entry % self.scenario.entries >= READERS {
            return;
        }
        let now = self.queue.now();
        let sent = own.clock.since_boot(now);
        let left = self.departure(entry);
        let arrival = self.links.transmit(left, Some(entry), None, REQUEST_BYTES);
        let read = arrival + REPLICAS_WAIT + self.store_delay() / 2;
        self.queue
            .schedule(read - now, FeedEvent::ReplicaRead(entry, sent));
    }

    fn declare(&mut self, version: u64) {
        let Some(scenario) = self.declarations else {
            return;
        };
        // An operator declares a version only after the one before it was acknowledged.
        let is_next = version == FIRST_VERSION + self.acks.len() as u64;
        if !is_next || self.store.is_away || self.store.is_behind {
            self.queue
                .schedule(WRITE_RETRY_INTERVAL, FeedEvent::Declare(version));
            return;
        }
        let now = self.queue.now();
        self.acks.push(now);
        for (index, entry) in self.entries.iter_mut().enumerate() {
            entry.deadlines.push(DeadlineRecord::default());
            self.queue
                .schedule(scenario.bound, FeedEvent::BoundPassed(index, version));
        }
        self.write(VERSION_KEY, Arc::new(version.to_string().into_bytes()));
        let lost_after_ms = match scenario.store_trouble {
            StoreTrouble::None | StoreTrouble::Slow | StoreTrouble::Silent => return,
            StoreTrouble::Away | StoreTrouble::Returns => 2..300,
            StoreTrouble::ReturnsWithDeclaration => 300..3000,
        };
        if version == FIRST_VERSION {
            let lost = Duration::from_millis(self.random.random_range(lost_after_ms));
            let length = Duration::from_millis(self.random.random_range(500..2000));
            self.queue.schedule(lost, FeedEvent::StoreLost);
            self.queue.schedule(lost + length, FeedEvent::StoreBack);
        }
    }

    fn return_store(&mut self) {
        self.store.is_away = false;
        let distance = Duration::from_millis(self.random.random_range(1..300));
        let copied = match self.declarations.map(|it| it.store_trouble) {
            Some(StoreTrouble::Returns) => self.acks[0] - distance,
            Some(StoreTrouble::ReturnsWithDeclaration) => self.acks[0] + distance,
            _ => return,
        };
        self.store.is_behind = true;
        let lost = self.store.return_from_copy(copied);
        let newest_config = lost.iter().rfind(|it| it.key == CONFIG_KEY);
        let versions = lost.iter().filter(|it| it.key == VERSION_KEY);
        let rows: Vec<StoreRow> = newest_config.into_iter().chain(versions).cloned().collect();
        let delay = Duration::from_millis(self.random.random_range(1..600));
        self.queue.schedule(delay, FeedEvent::Rewrite(rows));
    }

    /// Returns the time that a call takes at the store.
    pub(crate) fn store_delay(&self) -> Duration {
        match self.declarations.map(|it| it.store_trouble) {
            None => Duration::ZERO,
            Some(StoreTrouble::Slow) => CALL_TIME * 60,
            Some(_) => CALL_TIME,
        }
    }

    /// Returns whether the next response of the store is lost.
    pub(crate) fn is_response_lost(&mut self) -> bool {
        let trouble = self.declarations.map(|it| it.store_trouble);
        let is_silent = matches!(
            trouble,
            Some(StoreTrouble::Silent | StoreTrouble::ReturnsWithDeclaration)
        );
        is_silent && self.random.random_bool(RESPONSE_LOSS)
    }

    /// Returns when a message of `entry` leaves: a starved process may not run between composing and sending it.
    pub(crate) fn departure(&mut self, entry: usize) -> Duration {
        let now = self.queue.now();
        let clock = self.entries[entry].clock;
        if clock.is_starved(now) && self.random.random_bool(0.5) {
            now + clock.run_interval
        } else {
            now
        }
    }

    fn send_declarations(&mut self, entry: usize, targets: Vec<usize>, zone: Option<usize>) {
        let own = &self.entries[entry];
        if !own.is_up {
            return;
        }
        let declarations = own.declarations(self.queue.now());
        if declarations.is_empty() {
            return;
        }
        let datagram = DeclarationDatagram {
            declarations,
            reporting_zone: zone,
        };
        self.send_datagram(entry, targets, &Rc::new(datagram));
    }

    fn send_datagram(
        &mut self,
        entry: usize,
        targets: Vec<usize>,
        datagram: &Rc<DeclarationDatagram>,
    ) {
        let loss = self.declarations.map_or(0.0, |it| it.datagram_loss);
        let now = self.queue.now();
        let sent = self.departure(entry);
        for target in targets.into_iter().filter(|it| *it != entry) {
            if !self.entries[target].is_up || self.random.random_bool(loss) {
                continue;
            }
            let arrival = self
                .links
                .transmit(sent, Some(entry), Some(target), DATAGRAM_BYTES);
            let event = FeedEvent::Datagram(target, datagram.clone());
            self.queue.schedule(arrival.saturating_sub(now), event);
        }
    }

    /// Tells others at once that an entry has learned of a version by itself.
    pub(crate) fn pass_on_declarations(&mut self, entry: usize) {
        self.send_to_zone(entry);
        self.report_to_zones(entry);
    }

    fn send_to_zone(&mut self, entry: usize) {
        self.send_declarations(entry, self.in_zone(entry), None);
    }

    fn send_report(&mut self, entry: usize) {
        let interval = self.report_interval();
        self.queue.schedule(interval, FeedEvent::SendReport(entry));
        self.report_to_zones(entry);
    }

    fn report_to_zones(&mut self, entry: usize) {
        if !self.is_reporter(entry) {
            return;
        }
        let targets = self.report_targets(entry);
        let zone = self.links.zone(Some(entry));
        self.send_declarations(entry, targets, Some(zone));
    }

    fn receive_datagram(&mut self, entry: usize, datagram: &DeclarationDatagram) {
        let now = self.queue.now();
        let own = &mut self.entries[entry];
        if !own.is_up {
            return;
        }
        let is_new = own.record_declarations(&datagram.declarations);
        own.record_deadlines(now);
        if datagram.reporting_zone.is_some() && self.is_reporter(entry) {
            let passed_on = DeclarationDatagram {
                declarations: datagram.declarations.clone(),
                reporting_zone: None,
            };
            self.send_datagram(entry, self.in_zone(entry), &Rc::new(passed_on));
        } else if is_new {
            // What an entry of the zone has sent was sent to all of them, and likewise for another zone.
            match datagram.reporting_zone {
                Some(_) => self.send_to_zone(entry),
                None => self.report_to_zones(entry),
            }
        }
    }
}

/// Time between two declarations.
const MIN_DECLARATION_GAP: Duration = Duration::from_secs(1);
const MAX_DECLARATION_GAP: Duration = Duration::from_secs(6);

/// Time for which the configuration goes on changing after the last declaration, and messages are delayed.
const CHANGES_AFTER: Duration = Duration::from_secs(2);
const DELAYS_AFTER: Duration = Duration::from_secs(4);

/// Time from which on messages are delayed, and for how long by the same time.
const DELAYS_BEGIN: Duration = Duration::from_secs(4);
const MIN_DELAY_TIME: Duration = Duration::from_millis(300);
const MAX_DELAY_TIME: Duration = Duration::from_secs(3);

/// Time after the last bound until the end.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Share of the entries that are troubled.
const TROUBLED_SHARE: f64 = 0.3;

/// Time within which all entries start.
const MAX_START_DELAY: Duration = Duration::from_secs(3);

const MIN_SUSPENSION: Duration = Duration::from_millis(300);
const MAX_SUSPENSION: Duration = Duration::from_secs(3);

const MIN_RUN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RUN_INTERVAL: Duration = Duration::from_secs(1);

/// Time of a call at the store.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Share of the calls to a silent store that remain without a response.
const RESPONSE_LOSS: f64 = 0.3;

/// Time after which the operator tries to write again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time between the datagrams of an entry to its zone; under load it is shorter.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Wait of a call for the replicas' table, and the pause after it; see `fleet::FeedPlan`.
const REPLICAS_WAIT: Duration = Duration::from_millis(300);
const REPLICAS_PAUSE: Duration = Duration::from_millis(300);

const DATAGRAM_BYTES: usize = 400;
