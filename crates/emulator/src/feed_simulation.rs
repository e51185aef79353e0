//! Emulation, in virtual time, of entries that follow the configuration over links which it may fill.
//!
//! Sources, retries and copies are those of `fleet`, as in an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{
    FeedCall, FeedChange, FeedOutcome, FeedPlan, FeedResponse, FeedTable, PeerRecord, ReadingState,
    StorePosition,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::declaration_scenario::DeclarationScenario;
use crate::entry_clock::EntryClock;
use crate::event_queue::EventQueue;
use crate::feed_document::config_document;
use crate::feed_entry::{CONFIG_KEY, FeedEntry, PendingCall};
use crate::feed_event::FeedEvent;
use crate::feed_links::FeedLinks;
use crate::feed_scenario::{FeedScenario, ReaderFault};
use crate::simulated_store::{FeedRequest, SimulatedStore, StorePage};

/// What an emulation measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedReport {
    /// Longest time from the store's acknowledgement of a version until it, or a newer one, is in force at an entry in touch.
    pub worst_lag: Duration,
    /// Most bytes over a link between two regions.
    pub region_bytes: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Reads of the store by entries that have a live reader in their zone.
    pub direct_reads: u64,
}

/// Entries, the store, and the links between them.
pub struct FeedSimulation {
    pub(crate) scenario: FeedScenario,
    /// Declared weights, if they are emulated beside the configuration.
    pub(crate) declarations: Option<DeclarationScenario>,
    /// When each version was acknowledged, by number.
    pub(crate) acks: Vec<Duration>,
    /// Entries and versions that the entry did not know when the bound had passed.
    pub(crate) unknown_versions: usize,
    /// Until when the configuration changes.
    pub(crate) changes_until: Duration,
    pub(crate) queue: EventQueue<FeedEvent>,
    pub(crate) links: FeedLinks,
    pub(crate) random: StdRng,
    pub(crate) start: Instant,
    pub(crate) entries: Vec<FeedEntry>,
    pub(crate) store: SimulatedStore,
    config_version: u64,
    store_calls: u64,
    direct_reads: u64,
}

impl FeedSimulation {
    /// Creates an emulation in which `seed` determines all random choices.
    pub fn new(scenario: FeedScenario, seed: u64) -> Self {
        Self::create(scenario, None, seed)
    }

    pub(crate) fn create(
        scenario: FeedScenario,
        declarations: Option<DeclarationScenario>,
        seed: u64,
    ) -> Self {
        let start = Instant::now() + START_AGE;
        let count = scenario.zones * scenario.entries;
        let switch_bound = declarations.map_or(Duration::ZERO, |it| it.bound);
        let entries = (0..count).map(|it| {
            let (zone, number) = (it / scenario.entries, it % scenario.entries);
            let boot_age = START_AGE + BOOT_GAP * u32::try_from(it).unwrap_or_default();
            FeedEntry::new(
                format!("z{zone:02}-e{number:02}"),
                FeedPlan::new(FeedTable::Operator, scenario.bound, start),
                EntryClock::new(boot_age),
                switch_bound,
            )
        });
        Self {
            scenario,
            declarations,
            acks: Vec::new(),
            unknown_versions: 0,
            changes_until: FeedScenario::DURATION,
            queue: EventQueue::new(),
            links: FeedLinks::new(scenario),
            random: StdRng::seed_from_u64(seed),
            start,
            entries: entries.collect(),
            store: SimulatedStore::default(),
            config_version: 0,
            store_calls: 0,
            direct_reads: 0,
        }
    }

    /// Runs the emulation.
    pub fn run(mut self) -> FeedReport {
        self.run_until(FeedScenario::DURATION + SETTLING_TIME);
        self.report()
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        self.start_peer_exchange();
        self.queue.schedule(Duration::ZERO, FeedEvent::Change);
        for entry in 0..self.entries.len() {
            let delay = Duration::from_millis(self.random.random_range(1..300));
            self.queue.schedule(delay, FeedEvent::Next(entry));
        }
        let mut is_fault_due = self.scenario.fault != ReaderFault::None;
        while let Some(event) = self.queue.next(end) {
            let now = self.queue.now();
            if is_fault_due && now >= FeedScenario::FAULT.0 {
                is_fault_due = false;
                self.begin_fault();
            }
            let next_run = event.entry().map(|it| self.entries[it].clock.next_run(now));
            match next_run.filter(|it| *it > now) {
                Some(next_run) => self.queue.schedule(next_run - now, event),
                None => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Change => self.change(),
            FeedEvent::Heartbeat(_)
            | FeedEvent::UrgentHeartbeat(_)
            | FeedEvent::Roster(_)
            | FeedEvent::Peers(..) => self.handle_peer_event(event),
            FeedEvent::Next(entry) => self.begin_call(entry),
            FeedEvent::StoreCall(request) => {
                self.queue
                    .schedule(self.store_delay() / 2, FeedEvent::StoreRead(request));
            }
            FeedEvent::StoreRead(request) => self.receive_at_store(request),
            FeedEvent::StoreDeadline(request) => {
                if SimulatedStore::release(&mut self.store.held, &request) {
                    self.answer_from_store(request);
                }
            }
            FeedEvent::EntryCall(entry, request) => self.receive_at_entry(entry, request),
            FeedEvent::EntryDeadline(entry, request) => {
                if SimulatedStore::release(&mut self.entries[entry].held, &request) {
                    self.answer_from_entry(entry, request);
                }
            }
            FeedEvent::Rows(entry, call, page) => self.receive_rows(entry, call, page),
            FeedEvent::Relayed(entry, call, response) => {
                self.receive_relayed(entry, call, *response);
            }
            FeedEvent::NotReady(entry, call) => self.finish(entry, call, FeedOutcome::Late),
            FeedEvent::TimedOut(entry, call) => self.time_out(entry, call),
            FeedEvent::Overdue(entry, call) => self.note_overdue(entry, call),
            FeedEvent::Refused(entry, call) => self.finish(entry, call, FeedOutcome::Failed),
            FeedEvent::Thaw(entry) => {
                self.entries[entry].is_up = true;
                self.entries[entry].call = None;
                self.queue.schedule(Duration::ZERO, FeedEvent::Next(entry));
                self.request_heartbeat(entry);
            }
            event => self.handle_declaration(event),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.queue.now()
    }

    fn change(&mut self) {
        let now = self.queue.now();
        if !self.store.is_away && !self.store.is_behind {
            self.config_version += 1;
            let document = config_document(self.config_version, self.scenario.routes);
            self.write(CONFIG_KEY, Arc::new(document));
        }
        if now + self.scenario.gap < self.changes_until {
            self.queue.schedule(self.scenario.gap, FeedEvent::Change);
        }
    }

    /// Writes a row to the store, which answers the calls that wait for a change.
    pub(crate) fn write(&mut self, key: &str, value: Arc<Vec<u8>>) {
        self.store.write(self.queue.now(), key, value);
        for request in std::mem::take(&mut self.store.held) {
            self.answer_from_store(request);
        }
    }

    pub(crate) fn record(&self, entry: usize) -> PeerRecord {
        let zone = self.links.zone(Some(entry));
        let number = u16::try_from(entry).unwrap_or_default();
        PeerRecord {
            node: self.entries[entry].name.clone(),
            incarnation: 1,
            front: ([10, 0, 0, 1], number).into(),
            inner: ([10, 0, 0, 2], number).into(),
            zone: format!("z{zone}"),
            region: format!("r{zone}"),
            ready: true,
            reading: Some(ReadingState {
                // The delay of the first region grows with the distance from it.
                store_delay_us: Some(5000 + u32::from(zone > 0) * 5600),
                link_mbps: 0,
                config_version: 0,
                is_cut_off: self.entries[entry].is_overdue || self.entries[entry].plan.is_cut_off(),
            }),
        }
    }

    fn begin_fault(&mut self) {
        if self.scenario.fault.is_at_store() {
            self.begin_fault_at_store();
            return;
        }
        for zone in 0..self.scenario.zones {
            let entry = zone * self.scenario.entries;
            let reader = &mut self.entries[entry];
            match self.scenario.fault {
                ReaderFault::None | ReaderFault::TurnedAway | ReaderFault::Unheard => {}
                ReaderFault::Killed => reader.is_up = false,
                ReaderFault::CutOff => reader.is_cut_off = true,
                ReaderFault::Frozen => {
                    reader.is_up = false;
                    self.queue
                        .schedule(FeedScenario::FAULT.1, FeedEvent::Thaw(entry));
                }
            }
        }
    }

    fn begin_fault_at_store(&mut self) {
        let (first, share) = FeedScenario::TURNED_AWAY;
        let is_silent = self.scenario.fault == ReaderFault::Unheard;
        for entry in 0..self.entries.len() {
            let is_first = entry % self.scenario.entries < first;
            if is_first || self.random.random_bool(share) {
                let own = &mut self.entries[entry];
                own.is_cut_off = is_silent;
                own.is_turned_away = !is_silent;
            }
        }
        for request in std::mem::take(&mut self.store.held) {
            if self.entries[request.from].is_cut_off {
                let event = FeedEvent::TimedOut(request.from, request.call);
                self.queue.schedule(request.wait + STORE_TIMEOUT, event);
            } else {
                self.store.held.push(request);
            }
        }
    }

    fn begin_call(&mut self, entry: usize) {
        let now = self.now();
        let record = self.record(entry);
        let own = &mut self.entries[entry];
        if !own.is_up || own.call.is_some() {
            return;
        }
        let since = own.mirror.position();
        let relay_since = own.mirror.request_since();
        let call = own
            .plan
            .next_call(&own.peers, &record, since.is_some(), now);
        own.calls += 1;
        own.call = Some(PendingCall {
            number: own.calls,
            call,
            sent: own.clock.since_boot(self.queue.now()),
            is_responded: false,
        });
        let (delay, wait, is_full) = match call {
            FeedCall::Entry { delay, .. } => (delay, RELAY_WAIT, false),
            FeedCall::Changes { wait } => (Duration::ZERO, wait, false),
            FeedCall::Table => (Duration::ZERO, Duration::ZERO, true),
        };
        let request = FeedRequest {
            from: entry,
            call: own.calls,
            since: match call {
                FeedCall::Entry { .. } => relay_since,
                FeedCall::Changes { .. } | FeedCall::Table => since.filter(|_| !is_full),
            },
            wait,
            arrived: Duration::ZERO,
        };
        let probe_timeout = own.plan.probe_timeout().filter(|_| own.is_cut_off);
        let overdue_time = own.plan.overdue_time(call);
        let (is_cut_off, is_turned_away) = (own.is_cut_off, own.is_turned_away);
        let time_out = match call {
            FeedCall::Entry { address, .. } => {
                let reader = usize::from(address.port());
                let arrival =
                    self.links
                        .transmit(self.queue.now(), Some(entry), Some(reader), REQUEST_BYTES);
                let until = delay + arrival.saturating_sub(self.queue.now());
                self.queue
                    .schedule(until, FeedEvent::EntryCall(reader, request));
                delay + RELAY_WAIT + RELAY_TIMEOUT
            }
            FeedCall::Changes { .. } | FeedCall::Table => {
                self.store_calls += 1;
                self.count_direct_read(entry);
                if let Some(time) = overdue_time {
                    let event = FeedEvent::Overdue(entry, request.call);
                    self.queue.schedule(time, event);
                }
                let arrival =
                    self.links
                        .transmit(self.queue.now(), Some(entry), None, REQUEST_BYTES);
                if is_turned_away {
                    let until = arrival.saturating_sub(self.queue.now()) + self.store_delay();
                    let event = FeedEvent::Refused(entry, request.call);
                    self.queue.schedule(until, event);
                    return;
                }
                if !is_cut_off {
                    let until = arrival.saturating_sub(self.queue.now());
                    self.queue.schedule(until, FeedEvent::StoreCall(request));
                    if self.declarations.is_none() {
                        return;
                    }
                }
                wait + probe_timeout.unwrap_or(STORE_TIMEOUT)
            }
        };
        self.queue
            .schedule(time_out, FeedEvent::TimedOut(entry, request.call));
    }

    /// Counts a read of the store by an entry that could have followed a reader of its zone.
    fn count_direct_read(&mut self, entry: usize) {
        let first = entry - entry % self.scenario.entries;
        let readers = &self.entries[first..first + READERS];
        let is_served = |it: &FeedEntry| it.is_up && !it.is_cut_off && !it.is_turned_away;
        let has_reader = readers.iter().any(is_served);
        if entry >= first + READERS && has_reader && self.queue.now() >= FeedScenario::SQUEEZE.0 {
            self.direct_reads += 1;
        }
    }

    fn receive_at_store(&mut self, request: FeedRequest) {
        if self.store.is_away {
            return;
        }
        let position = self.store.position();
        let has_changes = request.since.is_none_or(|it| it < position);
        if has_changes || request.wait.is_zero() {
            self.answer_from_store(request);
            return;
        }
        self.store.held.push(request);
        self.queue
            .schedule(request.wait, FeedEvent::StoreDeadline(request));
    }

    fn answer_from_store(&mut self, request: FeedRequest) {
        if self.is_response_lost() {
            return;
        }
        let now = self.queue.now();
        let page = self.store.page(request.since, now);
        // Values are encoded in base64.
        let bytes = page
            .rows
            .iter()
            .map(|it| it.value.len() * 4 / 3 + ROW_BYTES);
        let bytes = bytes.sum::<usize>() + ROW_BYTES;
        let sent = now + self.store_delay() / 2;
        let arrival = self.links.transmit(sent, None, Some(request.from), bytes);
        let event = FeedEvent::Rows(request.from, request.call, page);
        self.queue.schedule(arrival.saturating_sub(now), event);
    }

    fn receive_at_entry(&mut self, entry: usize, mut request: FeedRequest) {
        if !self.entries[entry].is_up {
            return;
        }
        let now = self.queue.now();
        request.arrived = now;
        let response = self.entries[entry].response(request.since, Duration::ZERO, now);
        let stale_age = fleet::stale_age(FeedTable::Operator, self.scenario.bound);
        let age = response.as_ref().map_or(0, |it| it.age_ms);
        let until_stale = stale_age.saturating_sub(Duration::from_millis(age.into()));
        let has_rows = response.is_some_and(|it| !it.rows.is_empty());
        if has_rows || until_stale.is_zero() {
            return self.answer_from_entry(entry, request);
        }
        self.entries[entry].held.push(request);
        let own = &self.entries[entry];
        let is_cut_off = own.is_overdue || own.plan.is_cut_off();
        let wait = fleet::relay_wait(request.wait, is_cut_off).min(until_stale);
        self.queue
            .schedule(wait, FeedEvent::EntryDeadline(entry, request));
    }

    fn answer_from_entry(&mut self, entry: usize, request: FeedRequest) {
        if !self.entries[entry].is_up {
            return;
        }
        let now = self.queue.now();
        let held = now.saturating_sub(request.arrived);
        let Some(response) = self.entries[entry].response(request.since, held, now) else {
            let event = FeedEvent::NotReady(request.from, request.call);
            self.queue.schedule(Duration::from_millis(1), event);
            return;
        };
        let bytes = postcard::to_allocvec(&response).map_or(0, |it| it.len());
        let (from, to) = (Some(entry), Some(request.from));
        let sent = self.departure(entry);
        let arrival = self.links.transmit(sent, from, to, bytes + ROW_BYTES);
        let (from_zone, to_zone) = (self.links.zone(from), self.links.zone(to));
        if !self.links.hop_delay(sent, from_zone, to_zone).is_zero() {
            let call = self.entries[request.from].call.as_mut();
            if let Some(call) = call.filter(|it| it.number == request.call) {
                call.is_responded = true;
            }
        }
        let event = FeedEvent::Relayed(request.from, request.call, Box::new(response));
        self.queue.schedule(arrival.saturating_sub(now), event);
    }

    fn receive_rows(&mut self, entry: usize, call: u64, page: StorePage) {
        let Some(pending) = self.awaited(entry, call) else {
            return;
        };
        let now = self.queue.now();
        let copy = self.entries[entry].mirror.position();
        match self.entries[entry].apply_page(page, pending, now) {
            Some((changes, outcome)) => {
                self.apply(entry, &changes, copy);
                self.finish(entry, call, outcome);
            }
            None => self.finish(entry, call, FeedOutcome::HistoryExpired),
        }
    }

    fn receive_relayed(&mut self, entry: usize, call: u64, response: FeedResponse) {
        let Some(pending) = self.awaited(entry, call) else {
            return;
        };
        let now = self.queue.now();
        let copy = self.entries[entry].mirror.position();
        let bound = self.scenario.bound;
        let applied = self.entries[entry].apply_response(response, pending.sent, now, bound);
        match applied {
            Ok((changes, outcome)) => {
                self.apply(entry, &changes, copy);
                self.finish(entry, call, outcome);
            }
            Err(_) => self.finish(entry, call, FeedOutcome::Failed),
        }
    }

    /// Returns the call if the entry still waits for it.
    fn awaited(&self, entry: usize, call: u64) -> Option<PendingCall> {
        let own = &self.entries[entry];
        own.call.filter(|it| own.is_up && it.number == call)
    }

    fn time_out(&mut self, entry: usize, call: u64) {
        let pending = self.entries[entry].call;
        let is_responded = pending.is_some_and(|it| it.number == call && it.is_responded);
        if !is_responded {
            self.finish(entry, call, FeedOutcome::TimedOut);
        }
    }

    /// Puts changes to the copy up to `copy` in force and answers the requests that wait for them.
    fn apply(&mut self, entry: usize, changes: &[FeedChange], copy: Option<StorePosition>) {
        let now = self.queue.now();
        let own = &mut self.entries[entry];
        let is_new = own.record_rows(changes, copy);
        own.record_deadlines(now);
        let configs = changes.iter().filter(|it| it.key == CONFIG_KEY);
        if let Some(position) = configs.map(|it| it.position).max() {
            own.in_force.push((now, position));
        }
        if !changes.is_empty() {
            for request in std::mem::take(&mut own.held) {
                self.answer_from_entry(entry, request);
            }
        }
        if is_new {
            self.pass_on_declarations(entry);
        }
    }

    fn finish(&mut self, entry: usize, call: u64, outcome: FeedOutcome) {
        if self.awaited(entry, call).is_none() {
            return;
        }
        let (now, jitter) = (self.now(), self.random.random());
        let own = &mut self.entries[entry];
        let Some(pending) = own.call.take() else {
            return;
        };
        let pause = own.plan.record(pending.call, outcome, jitter, now);
        own.is_overdue = false;
        self.tell_contact(entry);
        self.queue.schedule(pause, FeedEvent::Next(entry));
    }

    fn note_overdue(&mut self, entry: usize, call: u64) {
        if self.awaited(entry, call).is_some() {
            self.entries[entry].is_overdue = true;
            self.tell_contact(entry);
        }
    }

    /// Tells the others if the store begins or ceases to serve the entry.
    fn tell_contact(&mut self, entry: usize) {
        let own = &mut self.entries[entry];
        let is_cut_off = own.is_overdue || own.plan.is_cut_off();
        if std::mem::replace(&mut own.is_told_cut_off, is_cut_off) != is_cut_off {
            let held = std::mem::take(&mut own.held);
            self.request_heartbeat(entry);
            for request in held {
                self.receive_at_entry(entry, request);
            }
        }
    }

    fn report(&self) -> FeedReport {
        let is_faulted = |it: usize| {
            let fault = self.scenario.fault;
            fault != ReaderFault::None
                && !fault.is_at_store()
                && it.is_multiple_of(self.scenario.entries)
        };
        let in_touch = (0..self.entries.len()).filter(|it| !is_faulted(*it));
        let entries: Vec<_> = in_touch.map(|it| &self.entries[it]).collect();
        let end = FeedScenario::DURATION + SETTLING_TIME;
        // The first versions are read while all entries start.
        let configs = self.store.rows.iter().filter(|it| it.key == CONFIG_KEY);
        let judged = configs.filter(|it| it.acked >= STARTING_TIME);
        let lags = judged.flat_map(|row| {
            entries.iter().map(|it| {
                let newer = it.in_force.iter().find(|it| it.1 >= row.position);
                newer.map_or(end, |it| it.0).saturating_sub(row.acked)
            })
        });
        let bytes: &BTreeMap<(usize, usize), u64> = &self.links.region_bytes;
        FeedReport {
            worst_lag: lags.max().unwrap_or_default(),
            region_bytes: bytes.values().copied().max().unwrap_or_default(),
            store_calls: self.store_calls,
            direct_reads: self.direct_reads,
        }
    }
}

/// Number of entries of a zone that read the store.
pub(crate) const READERS: usize = 2;

/// Time after the last change in which it must be in force everywhere.
const SETTLING_TIME: Duration = Duration::from_secs(10);

/// Time in which entries start.
const STARTING_TIME: Duration = Duration::from_secs(2);

/// Time for which an entry holds a request for changes, and time for its response; see the crate `relay`.
const RELAY_WAIT: Duration = Duration::from_millis(500);
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a call to the store beyond its wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Sizes of a request, and of a row or a response without its value.
pub(crate) const REQUEST_BYTES: usize = 150;
pub(crate) const ROW_BYTES: usize = 120;

/// Time since boot of the first host at the start.
const START_AGE: Duration = Duration::from_secs(10_000);

/// Time between the boots of two hosts.
const BOOT_GAP: Duration = Duration::from_millis(137_219);
