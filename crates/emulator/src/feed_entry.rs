//! An entry of an emulation of feeds: its copy of the operator's table, and the versions of weights that it knows.

use std::time::Duration;

use fleet::{
    ClockChange, DeclarationChange, DeclaredWeights, FeedCall, FeedChange, FeedContinuity,
    FeedMirror, FeedOutcome, FeedPlan, FeedResponse, FeedTable, PatchMismatch, PeerTable,
    StorePosition, StoreRead, StoreTimes, VersionTable,
};

use crate::declaration_report::DeadlineRecord;
use crate::entry_clock::EntryClock;
use crate::simulated_store::{FeedRequest, StorePage};

/// The call of an entry that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    pub(crate) number: u64,
    pub(crate) call: FeedCall,
    /// Time since boot at which it was sent.
    pub(crate) sent: Duration,
    /// Whether the response is on its way: what still arrives is late, not lost.
    pub(crate) is_responded: bool,
}

pub(crate) struct FeedEntry {
    pub(crate) name: String,
    pub(crate) plan: FeedPlan,
    /// The other entries, as far as this one knows.
    pub(crate) peers: PeerTable,
    /// Whether a heartbeat about a change is scheduled.
    pub(crate) is_heartbeat_due: bool,
    /// When it last sent the list of its zone's entries.
    pub(crate) last_roster: Option<Duration>,
    pub(crate) mirror: FeedMirror,
    pub(crate) call: Option<PendingCall>,
    pub(crate) calls: u64,
    pub(crate) held: Vec<FeedRequest>,
    pub(crate) is_up: bool,
    pub(crate) is_cut_off: bool,
    /// Whether the response of the store to its call is late.
    pub(crate) is_overdue: bool,
    /// Whether it last told others that the store does not serve it.
    pub(crate) is_told_cut_off: bool,
    /// Whether the store refuses its calls.
    pub(crate) is_turned_away: bool,
    pub(crate) started: Duration,
    /// Positions of configurations, and when each came in force.
    pub(crate) in_force: Vec<(Duration, StorePosition)>,
    pub(crate) clock: EntryClock,
    store_times: StoreTimes,
    pub(crate) versions: VersionTable,
    /// Deadlines of the declared versions, by number.
    pub(crate) deadlines: Vec<DeadlineRecord>,
}

impl FeedEntry {
    pub(crate) fn new(
        name: String,
        plan: FeedPlan,
        clock: EntryClock,
        switch_bound: Duration,
    ) -> Self {
        Self {
            name,
            plan,
            peers: PeerTable::default(),
            is_heartbeat_due: false,
            last_roster: None,
            mirror: FeedMirror::default(),
            call: None,
            calls: 0,
            held: Vec::new(),
            is_up: true,
            is_cut_off: false,
            is_overdue: false,
            is_told_cut_off: false,
            is_turned_away: false,
            started: Duration::ZERO,
            in_force: Vec::new(),
            clock,
            store_times: StoreTimes::default(),
            versions: VersionTable::new(switch_bound.saturating_sub(TIME_TOLERANCE)),
            deadlines: Vec::new(),
        }
    }

    /// Applies a page of the store, as an entry does; returns the changes that it had, or `None` if all rows must be read.
    pub(crate) fn apply_page(
        &mut self,
        page: StorePage,
        pending: PendingCall,
        now: Duration,
    ) -> Option<(Vec<FeedChange>, FeedOutcome)> {
        let era = page.position.era();
        if !page.is_snapshot && self.mirror.continuity(era) != FeedContinuity::Same {
            return None;
        }
        let received = self.clock.since_boot(now);
        let read = StoreRead {
            position: page.position,
            store_ms: page.store_ms,
            sent: pending.sent,
            received,
            waited: match pending.call {
                FeedCall::Changes { wait } if page.rows.is_empty() => wait,
                _ => Duration::ZERO,
            },
        };
        let change = self.store_times.record_read(&read);
        self.apply_clock_change(change);
        let store_clock = self.store_times.clock();
        let confirmed = store_clock.responded_at(page.store_ms, read.sent, received);
        let since = self.mirror.position();
        let after_outage = self.plan.is_after_outage();
        let rows = page.rows.into_iter().map(|it| FeedChange {
            key: it.key,
            position: it.position,
            value: Some(it.value.to_vec()),
            committed: self.store_times.committed(it.position, &read, since),
            after_outage,
            from_copy: false,
        });
        let rows = rows.collect();
        let changes = if page.is_snapshot {
            self.mirror
                .apply_snapshot(rows, page.position, after_outage)
        } else {
            self.mirror.apply_changes(rows, page.position)
        };
        self.mirror.confirm(confirmed, true);
        let outcome = FeedOutcome::Updated {
            changes: count_new(&changes, since),
            has_repeats: has_repeats(&changes),
            age: received.saturating_sub(confirmed),
        };
        Some((changes, outcome))
    }

    /// Applies the response of another entry.
    pub(crate) fn apply_response(
        &mut self,
        response: FeedResponse,
        sent: Duration,
        now: Duration,
        bound: Duration,
    ) -> Result<(Vec<FeedChange>, FeedOutcome), PatchMismatch> {
        let age = Duration::from_millis(response.age_ms.into());
        let is_late = age > fleet::stale_age(FeedTable::Operator, bound)
            || self.mirror.continuity(response.position.era()) == FeedContinuity::EarlierLife
            || self.plan.is_zone_reader() && !response.is_reader;
        let received = self.clock.since_boot(now);
        // The response was not created before the request had been held for that long.
        let created = sent + Duration::from_millis(response.held_ms.into());
        if self.mirror.continuity(response.position.era()) != FeedContinuity::EarlierLife {
            let change = self.store_times.record_relayed(&response, sent, received);
            self.apply_clock_change(change);
        }
        let since = self.mirror.position();
        let changes = self.mirror.apply_response(response)?;
        let confirmed = created.saturating_sub(age);
        self.mirror.confirm(confirmed, false);
        let updated = FeedOutcome::Updated {
            changes: count_new(&changes, since),
            has_repeats: false,
            age: received.saturating_sub(confirmed),
        };
        let outcome = if is_late { FeedOutcome::Late } else { updated };
        Ok((changes, outcome))
    }

    /// Records a response of the store about another table, which was requested at `sent` since boot.
    pub(crate) fn record_other_page(
        &mut self,
        page: &StorePage,
        sent: Duration,
        waited: Duration,
        now: Duration,
    ) {
        let read = StoreRead {
            position: page.position,
            store_ms: page.store_ms,
            sent,
            received: self.clock.since_boot(now),
            waited,
        };
        let change = self.store_times.record_read(&read);
        self.apply_clock_change(change);
    }

    /// Forgets how old declarations can be at most, as far as a store's clock that was set back requires.
    fn apply_clock_change(&mut self, change: ClockChange) {
        if let ClockChange::Restarted { set_back } = change {
            self.versions.set_back(set_back);
        }
    }

    /// Returns the changes since `since` for another entry, whose request was held for `held`.
    pub(crate) fn response(
        &self,
        since: Option<StorePosition>,
        held: Duration,
        now: Duration,
    ) -> Option<FeedResponse> {
        let since_boot = self.clock.since_boot(now);
        self.mirror
            .response_since(since, held, &self.store_times, since_boot)
    }

    /// Records the versions that rows declare which the copy up to `copy` did not have; returns whether one was unknown.
    pub(crate) fn record_rows(
        &mut self,
        changes: &[FeedChange],
        copy: Option<StorePosition>,
    ) -> bool {
        let mut is_any_new = false;
        for change in changes.iter().filter(|it| it.key == VERSION_KEY) {
            let value = change.value.as_deref().map(str::from_utf8);
            if let Some(Ok(text)) = value
                && let Ok(version) = text.parse()
            {
                let known_here = self.store_times.committed_between(change.position);
                let committed = change.committed.merge(known_here);
                let copy_complete_ms = self.store_times.complete_without(change.position, copy);
                let declared =
                    self.versions
                        .declared_by_row(MODEL, version, committed, copy_complete_ms);
                let change = self.versions.declare(MODEL, version, declared);
                is_any_new |= change == DeclarationChange::New;
            }
        }
        is_any_new
    }

    /// Returns the declarations for a datagram to other entries.
    pub(crate) fn declarations(&self, now: Duration) -> Vec<DeclaredWeights> {
        let since_boot = self.clock.since_boot(now);
        let earliest_ms = self.store_times.clock().earliest_ms(since_boot);
        let recent = self.versions.recent_declarations(earliest_ms);
        let recent = recent
            .into_iter()
            .map(|(model, version, declared)| DeclaredWeights {
                model: model.to_owned(),
                version,
                declared,
            });
        recent.collect()
    }

    /// Records the declarations of a datagram; returns whether one was unknown.
    pub(crate) fn record_declarations(&mut self, declarations: &[DeclaredWeights]) -> bool {
        let mut is_any_new = false;
        for it in declarations {
            let change = self.versions.declare(&it.model, it.version, it.declared);
            is_any_new |= change == DeclarationChange::New;
        }
        is_any_new
    }

    fn latest_ms(&self, now: Duration) -> Option<u64> {
        let store_clock = self.store_times.clock();
        store_clock.latest_ms(self.clock.since_boot(now))
    }

    /// Records from when on the entry allows no weights older than each declared version.
    pub(crate) fn record_deadlines(&mut self, now: Duration) {
        let latest_ms = self.latest_ms(now);
        let Some(requirement) = self.versions.requirement(MODEL, latest_ms) else {
            return;
        };
        for (index, record) in self.deadlines.iter_mut().enumerate() {
            let version = index as u64 + FIRST_VERSION;
            let remaining = if requirement.oldest_allowed >= version {
                Some(Duration::ZERO)
            } else {
                requirement.time_to_switch(Some(version - 1))
            };
            if let Some(remaining) = remaining {
                record.record(now, remaining);
            }
        }
    }
}

/// Returns the number of changes after `since`.
fn count_new(changes: &[FeedChange], since: Option<StorePosition>) -> usize {
    let is_new = |it: &&FeedChange| since.is_some_and(|since| it.position > since);
    changes.iter().filter(is_new).count()
}

/// Returns whether a row is among the changes more than once.
fn has_repeats(changes: &[FeedChange]) -> bool {
    let mut keys: Vec<_> = changes.iter().map(|it| &it.key).collect();
    keys.sort_unstable();
    keys.windows(2).any(|it| it[0] == it[1])
}

/// Key of the configuration.
pub(crate) const CONFIG_KEY: &str = "config";

/// Key of the declared version of the only model.
pub(crate) const VERSION_KEY: &str = "version/m";

const MODEL: &str = "m";

/// The first version that is declared.
pub(crate) const FIRST_VERSION: u64 = 2;

/// Error of the time of a declaration from which on it counts as late. Entries reserve more than that, but for replicas that
/// are silent.
pub(crate) const TIME_TOLERANCE: Duration = Duration::from_millis(300);
