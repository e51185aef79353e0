//! The parts of requests that are held back, and when a trial may show that this is no longer necessary.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::crash_digest::HoldRecord;
use crate::part_id::PartId;

/// Holds and releases by part.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldTable {
    holds: BTreeMap<PartId, Hold>,
    /// The last states of parts that were removed, and when. Another entry may still tell of them.
    ended: BTreeMap<PartId, (HoldOrder, Instant)>,
}

/// Order of the changes of a hold: its serial number, and whether the part is held back.
type HoldOrder = (u32, bool);

#[derive(Clone, Debug)]
struct Hold {
    serial: u32,
    is_held: bool,
    changed_at: Instant,
    crashes: u32,
    failed_trials: u32,
    version: Option<u64>,
}

/// A hold or release, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldState {
    /// The part.
    pub part: PartId,
    /// Whether it is held back, or was released.
    pub is_held: bool,
    /// Time since it was held back or released.
    pub age: Duration,
    /// Time until the next trial.
    pub time_to_trial: Duration,
    /// Crashes that the hold rests on.
    pub crashes: u32,
    /// Trials in which a replica crashed again.
    pub failed_trials: u32,
}

impl HoldTable {
    /// Returns whether `part` is held back.
    pub(crate) fn is_held(&self, part: PartId) -> bool {
        self.holds.get(&part).is_some_and(|it| it.is_held)
    }

    /// Holds `part` back after `crashes` on `version` of the weights, unless it is held already.
    pub(crate) fn hold(&mut self, now: Instant, part: PartId, crashes: u32, version: Option<u64>) {
        if self.is_held(part) {
            return;
        }
        let serial = self.last_order(part).map_or(0, |it| it.0);
        let hold = Hold {
            serial: serial.saturating_add(1),
            is_held: true,
            changed_at: now,
            crashes,
            failed_trials: 0,
            version,
        };
        self.holds.insert(part, hold);
    }

    /// Records that a trial with a held part has failed on `version` of the weights, so the next one is due later.
    pub(crate) fn record_failed_trial(&mut self, now: Instant, part: PartId, version: Option<u64>) {
        let Some(hold) = self.holds.get_mut(&part).filter(|it| it.is_held) else {
            return;
        };
        hold.serial = hold.serial.saturating_add(1);
        hold.changed_at = now;
        hold.crashes = hold.crashes.saturating_add(1);
        hold.failed_trials = hold.failed_trials.saturating_add(1);
        hold.version = version;
    }

    /// Releases `part`; returns whether it was held back.
    pub(crate) fn release(&mut self, now: Instant, part: PartId) -> bool {
        let Some(hold) = self.holds.get_mut(&part).filter(|it| it.is_held) else {
            return false;
        };
        hold.serial = hold.serial.saturating_add(1);
        hold.is_held = false;
        hold.changed_at = now;
        true
    }

    /// Returns the time until a trial with `part` is due, or `None` if it is now.
    ///
    /// Newer weights may have removed the cause, so they need not wait for the whole hold.
    pub(crate) fn time_to_trial(
        &self,
        now: Instant,
        part: PartId,
        version: Option<u64>,
    ) -> Option<Duration> {
        let hold = self.holds.get(&part)?;
        let time = if version > hold.version {
            MIN_HOLD
        } else {
            hold_time(hold.failed_trials)
        };
        let remaining = time.saturating_sub(now.saturating_duration_since(hold.changed_at));
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Adds the record of another entry; returns whether it replaces the present one.
    pub(crate) fn merge(&mut self, now: Instant, record: &HoldRecord) -> bool {
        let order = (record.serial, record.is_held);
        if self.last_order(record.part) >= Some(order) {
            return false;
        }
        let changed_at = now.checked_sub(Duration::from_millis(record.age_ms));
        let hold = Hold {
            serial: record.serial,
            is_held: record.is_held,
            // If the clock began later, the hold lasts longer here.
            changed_at: changed_at.unwrap_or(now),
            crashes: record.crashes,
            failed_trials: record.failed_trials,
            version: record.version,
        };
        self.holds.insert(record.part, hold);
        true
    }

    /// Returns the last known state of `part`.
    fn last_order(&self, part: PartId) -> Option<HoldOrder> {
        let present = self.holds.get(&part).map(Hold::order);
        let ended = self.ended.get(&part).map(|it| it.0);
        present.max(ended)
    }

    /// Returns all holds and releases in the form that is sent to other entries.
    pub(crate) fn records(&self, now: Instant) -> Vec<HoldRecord> {
        let holds = self.holds.iter();
        holds
            .map(|(part, hold)| HoldRecord {
                part: *part,
                serial: hold.serial,
                is_held: hold.is_held,
                age_ms: u64::try_from(hold.age(now).as_millis()).unwrap_or(u64::MAX),
                crashes: hold.crashes,
                failed_trials: hold.failed_trials,
                version: hold.version,
            })
            .collect()
    }

    /// Returns all holds and releases for operators.
    pub(crate) fn states(&self, now: Instant) -> Vec<HoldState> {
        let holds = self.holds.iter();
        holds
            .map(|(part, hold)| HoldState {
                part: *part,
                is_held: hold.is_held,
                age: hold.age(now),
                time_to_trial: self
                    .time_to_trial(now, *part, hold.version)
                    .unwrap_or_default(),
                crashes: hold.crashes,
                failed_trials: hold.failed_trials,
            })
            .collect()
    }

    /// Removes releases that all entries know, and holds of parts that nobody has requested for a trial. Removes the
    /// oldest ones if there are too many.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_over = |_: &PartId, it: &mut Hold| {
            let limit = if it.is_held {
                hold_time(it.failed_trials) + MAX_HOLD
            } else {
                RELEASE_TIME
            };
            it.age(now) >= limit
        };
        let mut removed: Vec<(PartId, Hold)> = self.holds.extract_if(.., is_over).collect();
        while self.holds.len() > MAX_HOLDS {
            let oldest = self.holds.iter().min_by_key(|it| it.1.changed_at);
            let oldest = oldest.map(|it| *it.0);
            removed.extend(oldest.and_then(|it| self.holds.remove_entry(&it)));
        }
        let ended = removed.iter().map(|it| (it.0, (it.1.order(), now)));
        self.ended.extend(ended);
        self.ended
            .retain(|_, it| now.saturating_duration_since(it.1) < ENDED_TIME);
    }
}

impl Hold {
    fn order(&self) -> HoldOrder {
        (self.serial, self.is_held)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.changed_at)
    }
}

/// Returns the time for which a part is held back before a trial.
fn hold_time(failed_trials: u32) -> Duration {
    (FIRST_HOLD * 2_u32.pow(failed_trials.min(MAX_DOUBLINGS))).min(MAX_HOLD)
}

/// Time until the first trial. It costs at most one replica, so a guilty part costs about ten replicas on its first day
/// and four on each further one.
const FIRST_HOLD: Duration = Duration::from_secs(600);

/// Maximum time between two trials.
const MAX_HOLD: Duration = Duration::from_secs(6 * 3600);

/// Doublings of the first hold that reach the maximum.
const MAX_DOUBLINGS: u32 = 6;

/// Minimum time until a trial on newer weights, which are still being loaded when the first replicas run them.
const MIN_HOLD: Duration = Duration::from_secs(60);

/// Time for which a release is told to other entries.
const RELEASE_TIME: Duration = Duration::from_secs(120);

/// Time for which a part that was removed is remembered; much longer than entries differ in when they remove it.
const ENDED_TIME: Duration = Duration::from_secs(60);

/// Maximum number of holds.
const MAX_HOLDS: usize = 64;
