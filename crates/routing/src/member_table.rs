//! The entries among which turns are divided.
//!
//! Two entries must not use the same turns although they learn of starts, ends and network partitions at different
//! times. So an entry uses its turns only after all others have had the time to learn of it, the turns of an entry
//! that is not heard lapse for a while before others take them over, and an entry that is cut off from most others
//! stops before that. See [decision 46](../../../docs/decisions/0046-named-limits.md).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::part_id::fnv1a;

/// The entries among which turns are divided, as known to one of them.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    own: u64,
    /// When each other entry was last heard.
    last_heard: BTreeMap<u64, Instant>,
    /// Entries that own turns, including this one.
    owners: Vec<u64>,
    /// From when on this entry may use its turns.
    usable_from: Instant,
    updated_at: Instant,
    /// Since when this entry hears less than half of the entries.
    cut_off_since: Option<Instant>,
    /// Entries that others have lost, and when they said so last.
    lost_by_others: BTreeMap<u64, Instant>,
}

impl MemberTable {
    /// Creates the table of the entry `own`, which starts at `now`.
    pub(crate) fn new(now: Instant, own: &str) -> Self {
        let own = fnv1a(own.bytes());
        Self {
            own,
            last_heard: BTreeMap::new(),
            owners: vec![own],
            usable_from: now + JOIN_DELAY,
            updated_at: now,
            cut_off_since: None,
            lost_by_others: BTreeMap::new(),
        }
    }

    /// Records which other entries are alive, which is expected at least every [`MAX_UPDATE_INTERVAL`].
    pub(crate) fn update(&mut self, now: Instant, alive: &mut dyn Iterator<Item = &str>) {
        let since_update = now.saturating_duration_since(self.updated_at);
        if since_update < MIN_UPDATE_INTERVAL {
            return;
        }
        if since_update > MAX_UPDATE_INTERVAL {
            // The process was stopped meanwhile.
            self.rejoin(now);
        }
        self.updated_at = now;
        for name in alive {
            self.last_heard.insert(fnv1a(name.bytes()), now);
        }
        let silence = |heard_at: &Instant| now.saturating_duration_since(*heard_at);
        let known = self.last_heard.len() + 1;
        let is_heard = |it: &&Instant| silence(it) < HEARD_TIME;
        let heard = self.last_heard.values().filter(is_heard).count() + 1;
        let has_majority = heard * 2 > known;
        if has_majority {
            self.last_heard.retain(|_, it| silence(it) < FORGET_TIME);
        }
        let is_cut_off = heard * 2 < known;
        if is_cut_off && now < self.usable_from && self.cut_off_since.is_some() {
            // Others cannot have learned yet that this entry is back.
            self.usable_from = now + REJOIN_DELAY;
        }
        self.update_cut_off(now, is_cut_off);
        let others = self.last_heard.iter();
        let owning = others.filter(|(_, it)| !has_majority || silence(it) < HOLD_TIME);
        self.owners = owning.map(|it| *it.0).collect();
        self.owners.push(self.own);
    }

    fn update_cut_off(&mut self, now: Instant, is_cut_off: bool) {
        if is_cut_off {
            self.cut_off_since.get_or_insert(now);
        } else if let Some(since) = self.cut_off_since.take()
            && now.saturating_duration_since(since) >= CUT_OFF_DELAY
        {
            self.rejoin(now);
        }
    }

    /// Waits until others know that this entry is back, since they may have taken its turns over. What it knows of
    /// them is out of date.
    fn rejoin(&mut self, now: Instant) {
        self.usable_from = self.usable_from.max(now + REJOIN_DELAY);
        let unheard_since = now.checked_sub(HEARD_TIME).unwrap_or(now);
        for heard_at in self.last_heard.values_mut() {
            *heard_at = unheard_since.max(*heard_at);
        }
    }

    /// Returns the entries that this one does not hear, to ask others for them.
    pub(crate) fn lost(&self, now: Instant) -> Vec<u64> {
        let lost = self.last_heard.iter().filter(|it| is_lost(now, *it.1));
        lost.map(|it| *it.0).take(MAX_LOST).collect()
    }

    /// Returns the entries that this one hears although another one has lost them.
    pub(crate) fn vouched(&self, now: Instant) -> Vec<u64> {
        let asked = self.lost_by_others.iter();
        let asked = asked.filter(|it| now.saturating_duration_since(*it.1) < ASK_TIME);
        let is_heard = |it: &u64| self.last_heard.get(it).is_some_and(|it| !is_lost(now, *it));
        asked.map(|it| *it.0).filter(is_heard).collect()
    }

    /// Adds what another entry says about those that it has `lost`, and about those that it hears although others have
    /// lost them. The latter are alive, so their turns are not taken over.
    pub(crate) fn merge(&mut self, now: Instant, lost: &[u64], vouched: &[u64]) {
        self.lost_by_others
            .retain(|_, it| now.saturating_duration_since(*it) < ASK_TIME);
        for entry in lost.iter().take(MAX_LOST) {
            self.lost_by_others.insert(*entry, now);
        }
        let unheard_since = now.checked_sub(HEARD_TIME).unwrap_or(now);
        for entry in vouched {
            if let Some(heard_at) = self.last_heard.get_mut(entry) {
                *heard_at = unheard_since.max(*heard_at);
            }
        }
    }

    /// Returns whether this entry may use its turns.
    pub(crate) fn may_use_turns(&self, now: Instant) -> bool {
        let cut_off = |since| now.saturating_duration_since(since);
        // If the others have not returned for so long, they have most likely ended.
        let is_void = |it| (CUT_OFF_DELAY..FORGET_TIME).contains(&cut_off(it));
        let since_update = now.saturating_duration_since(self.updated_at);
        // A process that was suspended does not know yet that others have taken its turns over.
        let is_up_to_date = since_update <= MAX_UPDATE_INTERVAL;
        is_up_to_date && now >= self.usable_from && !self.cut_off_since.is_some_and(is_void)
    }

    /// Returns whether this entry may use its turns at cold replicas, which are cold for so short a time that an entry which is cut off
    /// does not go on alone: the others may have taken its turns over.
    pub(crate) fn may_use_cold_turns(&self, now: Instant) -> bool {
        let is_lasting = |since| now.saturating_duration_since(since) >= CUT_OFF_DELAY;
        self.may_use_turns(now) && !self.cut_off_since.is_some_and(is_lasting)
    }

    /// Returns the number of entries that own turns.
    pub(crate) fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether this entry owns the turn with the digest `turn`. Entries that know the same others agree, and
    /// an owner that comes or goes changes no other owner's turns.
    pub(crate) fn owns(&self, turn: u64) -> bool {
        let rank = |owner: u64| (mix(owner ^ turn), owner);
        let own = rank(self.own);
        self.owners.iter().all(|it| rank(*it) <= own)
    }
}

fn is_lost(now: Instant, heard_at: Instant) -> bool {
    now.saturating_duration_since(heard_at) >= HEARD_TIME
}

/// Mixes the bits of `value` (finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maximum number of lost entries that an entry asks others for: those of a few zones.
const MAX_LOST: usize = 128;

/// Time after the start of an entry in which all others learn of it: several reports between zones, some of which may
/// be lost.
const JOIN_DELAY: Duration = Duration::from_secs(3);

/// Time in which all others learn that an entry is back which they know already. Also longer than it takes to notice
/// that it was cut off again.
const REJOIN_DELAY: Duration = Duration::from_secs(3);

/// Shortest time between two updates that are worth their effort.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two updates while the process runs; heartbeats are sent more often.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(1500);

/// Time since the last update with an entry alive after which it does not count as heard. Callers consider an entry
/// alive for a while after its last message.
const HEARD_TIME: Duration = Duration::from_millis(700);

/// Time for which an entry answers another one that has lost a third one; several messages fit into it.
const ASK_TIME: Duration = Duration::from_secs(3);

/// Time for which an entry that hears less than half of the others goes on: shorter cuts and restarts cost nothing.
const CUT_OFF_DELAY: Duration = Duration::from_secs(3);

/// Time for which the turns of an entry that is not heard lapse. An entry that is cut off has stopped by then, after
/// [`HEARD_TIME`] and [`CUT_OFF_DELAY`].
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Time after which an entry that is not heard is considered gone.
const FORGET_TIME: Duration = Duration::from_secs(60);
