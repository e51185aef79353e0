//! Limits that replicas name for all entries together, and the turns of one entry.
//!
//! A replica names the requests per second that it takes from all hosts. Every entry has a table and merges those of
//! the others into it. From the limits, the entries and a shared time base each entry works out which turns are its
//! own, so that no message is needed for a request. See [decision 46](../../../docs/decisions/0046-named-limits.md).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cold_turns::{ColdBound, ColdTurns};
use crate::lifetime_id::LifetimeId;
use crate::limit_change::{LimitChange, LimitState};
use crate::limit_digest::{LimitDigest, LimitRecord};
use crate::member_table::MemberTable;
use crate::named_limit::NamedLimit;
use crate::part_id::PoolId;
use crate::replica_limit::{ReplicaLimit, as_millis};
use crate::request_rate::RequestRate;
use crate::response_time::ResponseTime;
use crate::time_base::TimeBase;
use crate::turn_anchor::TurnAnchor;
use crate::turn_queue::{MAX_TURN_LEAD, TurnQueue};
use crate::turn_schedule::TurnSchedule;

/// Limits and turns as known to one entry.
#[derive(Clone, Debug)]
pub struct LimitTable {
    /// Time base of turns, and of the times of responses.
    base: TimeBase,
    members: MemberTable,
    limits: BTreeMap<LifetimeId, ReplicaLimit>,
    cold: ColdTurns,
    /// Times before which replicas want no requests from this entry.
    pauses: BTreeMap<LifetimeId, Instant>,
    /// Times up to which refused clients were told to come back.
    returns: BTreeMap<PoolId, Instant>,
    /// The record after which the next digest begins, if not all fit into one.
    digest_after: Option<LifetimeId>,
    /// Digests that are still to contain all records, for an entry that has just been discovered.
    full_digests: u32,
    /// Whether all digests tell the time base.
    repeats_base: bool,
    expire_at: Instant,
}

impl LimitTable {
    /// Creates the table of the entry `own`, which starts at `now`.
    pub fn new(now: Instant, own: &str) -> Self {
        Self {
            base: TimeBase::new(now),
            members: MemberTable::new(now, own),
            limits: BTreeMap::new(),
            cold: ColdTurns::default(),
            pauses: BTreeMap::new(),
            returns: BTreeMap::new(),
            digest_after: None,
            full_digests: 0,
            repeats_base: false,
            expire_at: now,
        }
    }

    /// Returns whether no limit is in force and no replica is paused or cold.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
            && self.cold.is_empty()
            && self.limits.values().all(|it| it.limit.is_none())
    }

    /// Records what the head of a response of `replica` says about its limit. The request was sent at `sent_at`.
    ///
    /// A head raises or ends a limit only if the request was sent after the newest head with it had arrived, as responses
    /// may overtake each other.
    pub fn record_head(
        &mut self,
        now: Instant,
        replica: LifetimeId,
        named: NamedLimit,
        sent_at: Instant,
    ) -> Option<LimitChange> {
        let limit = match named {
            NamedLimit::Limit(rate) => Some(rate),
            NamedLimit::None => None,
            NamedLimit::Unreadable => return None,
        };
        let (sent, seen) = (ResponseTime::Own(sent_at), ResponseTime::Own(now));
        let change = self.merge_limit(now, replica, limit, sent, seen, None);
        if change.is_some() {
            self.announce(replica);
        }
        change
    }

    /// Records that a replica wants no requests from this entry for `delay`. Other entries are not concerned.
    pub fn record_pause(&mut self, now: Instant, replica: LifetimeId, delay: Duration) {
        if self.pauses.len() < MAX_LIMITS {
            self.pauses
                .insert(replica, now + delay.min(MAX_RETURN_DELAY));
        }
    }

    /// Records that `replica` is cold until `until`, so that all entries together may send it no more than `bound` allows.
    pub fn record_cold(&mut self, replica: LifetimeId, bound: ColdBound, until: Instant) {
        self.cold.record(replica, bound, until);
    }

    /// Returns the numbers of turns at cold replicas that can be used, were used and have lapsed, for operators.
    pub fn cold_turn_counts(&self) -> [u64; 3] {
        self.cold.counts()
    }

    /// Adds the `limit` that a replica has named to its agent at `seen_at`. Returns the change, if any.
    pub fn record_report(
        &mut self,
        now: Instant,
        replica: LifetimeId,
        limit: Option<RequestRate>,
        seen_at: Instant,
    ) -> Option<LimitChange> {
        let seen = ResponseTime::Own(seen_at.min(now));
        let change = self.merge_limit(now, replica, limit, seen, seen, None);
        if change.is_some() {
            self.announce(replica);
        }
        change
    }

    /// Makes the next digests contain all records, since another entry was discovered.
    pub fn record_discovery(&mut self) {
        self.full_digests = FULL_DIGESTS;
    }

    /// Sets whether all digests tell the time base and the entries that this one has lost, also while no limit is in force.
    ///
    /// Entries must agree on both before a replica becomes cold: no message tells them of each other's turns there, and the digests
    /// after a discovery may be lost.
    pub fn set_repeats_base(&mut self, repeats_base: bool) {
        self.repeats_base = repeats_base;
    }

    /// Records which other entries are alive. Expected in each heartbeat.
    pub fn update_members(&mut self, now: Instant, alive: &mut dyn Iterator<Item = &str>) {
        self.members.update(now, alive);
    }

    /// Adds what another entry knows. Returns the changes.
    pub fn merge(&mut self, now: Instant, digest: &LimitDigest) -> Vec<LimitChange> {
        let sent = Duration::from_millis(digest.base_age_ms);
        self.merge_base(now, sent);
        self.members.merge(now, &digest.lost, &digest.vouched);
        let base_now = self.base.age(now);
        let records = digest.records.iter().take(MAX_FULL_RECORDS);
        let changes = records.filter_map(|it| {
            let age = Duration::from_millis(u64::from(it.age_ms));
            let wait = Duration::from_millis(u64::from(it.wait_ms));
            let seen = sent.saturating_sub(age).min(base_now);
            let sent = ResponseTime::Told(seen.saturating_sub(wait));
            let seen = ResponseTime::Told(seen);
            // An anchor of the future is none.
            let anchor = it.anchor.filter(|it| it.time_ms <= as_millis(base_now));
            self.merge_limit(now, it.replica, it.limit, sent, seen, anchor)
        });
        changes.collect()
    }

    /// Returns what this entry tells others, or `None` if there is nothing to tell. Each entry tells its own news. One
    /// that `repeats` also tells what it knows from others, in several digests if it is much.
    pub fn digest(&mut self, now: Instant, repeats: bool) -> Option<LimitDigest> {
        let is_news = |it: &ReplicaLimit| {
            let is_new = now.saturating_duration_since(it.changed_at) < NEWS_TIME;
            is_new && (it.is_own_news || repeats)
        };
        let max_records = match repeats && self.full_digests > 0 {
            true => MAX_FULL_RECORDS,
            false => MAX_SENT_RECORDS,
        };
        let tells_base = self.repeats_base || self.full_digests > 0;
        self.full_digests = self.full_digests.saturating_sub(1);
        let base_age_ms = as_millis(self.base.age(now));
        let news = self.limits.iter().filter(|it| is_news(it.1));
        let mut records: Vec<LimitRecord> = news
            .map(|it| it.1.record(&self.base, base_age_ms, *it.0))
            .take(MAX_FULL_RECORDS)
            .collect();
        if repeats {
            let known = self.limits.iter().filter(|it| !is_news(it.1));
            let known: Vec<_> = known
                .map(|it| it.1.record(&self.base, base_age_ms, *it.0))
                .collect();
            let start = known.partition_point(|it| Some(it.replica) <= self.digest_after);
            let in_turn = known[start..].iter().chain(&known[..start]);
            let room = max_records.saturating_sub(records.len());
            records.extend(in_turn.take(room));
            self.digest_after = records.last().map(|it| it.replica);
        }
        (tells_base || !records.is_empty()).then(|| LimitDigest {
            base_age_ms,
            lost: self.members.lost(now),
            vouched: self.members.vouched(now),
            records,
        })
    }

    /// Returns whether a request may be sent to `replica` now, or `None` if it has no limit and is neither paused nor cold.
    pub fn has_turn(&mut self, now: Instant, replica: LifetimeId) -> Option<bool> {
        if self.pauses.get(&replica).is_some_and(|it| *it > now) {
            return Some(false);
        }
        let base_now = self.base.age(now);
        let is_warm_enough = self.cold.has_turn(now, base_now, replica, &self.members);
        let has_limit = self
            .limits
            .get(&replica)
            .is_some_and(|it| it.limit.is_some());
        let is_within_limit = has_limit.then(|| {
            self.refresh(now, replica);
            let state = self.limits.get(&replica);
            state.is_some_and(|it| !it.queue.turns.is_empty())
        });
        match (is_warm_enough, is_within_limit) {
            (None, None) => None,
            (cold, limit) => Some(cold != Some(false) && limit != Some(false)),
        }
    }

    /// Uses a turn for a request that is sent to `replica`. Returns `false` if there is none.
    pub fn take_turn(&mut self, now: Instant, replica: LifetimeId) -> bool {
        match self.has_turn(now, replica) {
            None => true,
            Some(false) => false,
            Some(true) => {
                let limit = self.limits.get_mut(&replica);
                let limit = limit.filter(|it| it.limit.is_some());
                self.cold.take(replica) && limit.is_none_or(|it| it.queue.take())
            }
        }
    }

    /// Returns the delay after which a client that was refused for the limits of `replicas` may come back. The clients
    /// of one pool are told times at the rate of this entry's turns.
    pub fn return_delay(
        &mut self,
        now: Instant,
        pool: PoolId,
        replicas: &mut dyn Iterator<Item = LifetimeId>,
    ) -> Duration {
        let mut rate = 0.0;
        let mut pause_end = None;
        for replica in replicas {
            let limit = self.schedule(replica).map(|it| it.rate());
            let cold = self.cold.rate(replica);
            rate += limit
                .into_iter()
                .chain(cold)
                .reduce(f64::min)
                .unwrap_or(0.0);
            let end = self.pauses.get(&replica).filter(|it| **it > now).copied();
            pause_end = [pause_end, end].into_iter().flatten().min();
        }
        if rate == 0.0 {
            let delay = pause_end.map(|it| it.saturating_duration_since(now));
            return delay.unwrap_or(MAX_RETURN_DELAY);
        }
        let own_rate = rate / self.members.owner_count() as f64;
        let interval = Duration::try_from_secs_f64(1.0 / own_rate).unwrap_or(MAX_RETURN_DELAY);
        let last = self.returns.get(&pool).copied().unwrap_or(now).max(now);
        let next = (last + interval).min(now + MAX_RETURN_DELAY);
        self.returns.insert(pool, next);
        next.saturating_duration_since(now)
    }

    /// Returns the limits in force, for operators.
    pub fn states(&mut self, now: Instant) -> Vec<LimitState> {
        let replicas: Vec<LifetimeId> = self.limits.keys().copied().collect();
        for replica in replicas {
            self.refresh(now, replica);
        }
        let limits = self.limits.iter();
        let states = limits.filter_map(|(replica, it)| {
            Some(LimitState {
                replica: *replica,
                limit: it.limit?,
                since: now.saturating_duration_since(it.changed_at),
                confirmed: it.seen.elapsed(&self.base, now),
                turns: it.queue.turns.len(),
                used: it.queue.used,
                lapsed: it.queue.lapsed,
            })
        });
        states.collect()
    }

    /// Removes limits that have ended and those of replicas that are not `listed` any more.
    pub fn expire(&mut self, now: Instant, listed: &dyn Fn(LifetimeId) -> bool) {
        self.pauses.retain(|_, it| *it > now);
        self.cold.expire(now);
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRE_INTERVAL;
        self.limits.retain(|replica, it| {
            let since_change = now.saturating_duration_since(it.changed_at);
            let age = it.seen.elapsed(&self.base, now).min(since_change);
            age < RECORD_TIME || (it.limit.is_some() && listed(*replica))
        });
        self.returns.retain(|_, it| *it > now);
    }

    fn merge_limit(
        &mut self,
        now: Instant,
        replica: LifetimeId,
        limit: Option<RequestRate>,
        sent: ResponseTime,
        seen: ResponseTime,
        anchor: Option<TurnAnchor>,
    ) -> Option<LimitChange> {
        let is_applicable = match self.limits.get(&replica) {
            // What has ended is of use only to those that know the limit.
            None => limit.is_some(),
            Some(known) => known.is_superseded_by(&self.base, limit, sent, seen),
        };
        let is_behind = |it: &ReplicaLimit| it.limit == limit && it.anchor < anchor;
        if self.limits.get(&replica).is_some_and(is_behind) {
            self.refresh(now, replica);
            if let Some(state) = self.limits.get_mut(&replica) {
                state.anchor = anchor;
            }
        }
        if !is_applicable {
            return None;
        }
        self.set(now, replica, limit, sent, seen, anchor)
    }

    fn announce(&mut self, replica: LifetimeId) {
        if let Some(state) = self.limits.get_mut(&replica) {
            state.is_own_news = true;
        }
    }

    fn set(
        &mut self,
        now: Instant,
        replica: LifetimeId,
        limit: Option<RequestRate>,
        sent: ResponseTime,
        seen: ResponseTime,
        anchor: Option<TurnAnchor>,
    ) -> Option<LimitChange> {
        self.make_room(replica);
        let state = self.limits.entry(replica).or_insert(ReplicaLimit {
            limit: None,
            sent,
            seen,
            changed_at: now,
            is_own_news: false,
            anchor: None,
            queue: TurnQueue::default(),
        });
        state.sent = state.sent.latest(sent, &self.base);
        state.seen = state.seen.latest(seen, &self.base);
        let before = state.limit;
        if before == limit {
            return None;
        }
        // Turns that came due since the last request stay with this entry.
        self.refresh(now, replica);
        let schedule = self.schedule(replica);
        let base_now = self.base.age(now);
        // A lower limit may have been in force since the request.
        let since = match limit < before {
            true => sent
                .base_age(&self.base)
                .clamp(base_now.saturating_sub(MAX_TURN_LEAD), base_now),
            false => base_now,
        };
        let continued = schedule.map(|it| it.anchor_at(since));
        let state = self.limits.get_mut(&replica)?;
        state.limit = limit;
        state.anchor = limit.and(anchor.or(continued));
        if schedule.is_none() {
            state.queue.next_turn = None;
        }
        state.changed_at = now;
        state.is_own_news = false;
        match limit {
            None | Some(RequestRate::ZERO) => state.queue.turns.clear(),
            Some(_) if limit < before => state.queue.turns.truncate(1),
            // Turns that this entry had before an increase stay within the higher limit.
            Some(_) => {}
        }
        if before.is_none() {
            (state.queue.used, state.queue.lapsed) = (0, 0);
        }
        Some(LimitChange {
            replica,
            before,
            after: limit,
        })
    }

    fn make_room(&mut self, replica: LifetimeId) {
        if self.limits.len() < MAX_LIMITS || self.limits.contains_key(&replica) {
            return;
        }
        let oldest = self
            .limits
            .iter()
            .min_by_key(|it| it.1.seen.base_age(&self.base));
        if let Some(oldest) = oldest.map(|it| *it.0) {
            self.limits.remove(&oldest);
        }
    }

    /// Determines the owners of the turns up to `now`, and drops those that may not be used any more.
    fn refresh(&mut self, now: Instant, replica: LifetimeId) {
        let base_now = self.base.age(now);
        let may_use = self.members.may_use_turns(now);
        let Some(schedule) = self.schedule(replica) else {
            return;
        };
        let Some(state) = self.limits.get_mut(&replica) else {
            return;
        };
        state
            .queue
            .refresh(&schedule, &self.members, base_now, may_use);
    }

    fn schedule(&self, replica: LifetimeId) -> Option<TurnSchedule> {
        let state = self.limits.get(&replica)?;
        let limit = state.limit?;
        Some(TurnSchedule::new(replica, limit, state.anchor))
    }

    /// Adopts the time base of another entry if it is older.
    fn merge_base(&mut self, now: Instant, age: Duration) {
        let change = self.base.adopt(now, age);
        if change > BASE_TOLERANCE {
            for state in self.limits.values_mut() {
                state.sent = state.sent.after_base_change(change);
                state.seen = state.seen.after_base_change(change);
                state.anchor = None;
                state.queue.restart();
            }
            self.cold.restart();
        }
    }
}

/// Time for which a limit that has ended, or whose replica is gone, is kept: until all messages about it have arrived.
const RECORD_TIME: Duration = Duration::from_secs(60);

/// Time for which a change is part of every digest.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Change of the time base up to which turns are kept.
const BASE_TOLERANCE: Duration = Duration::from_millis(50);

/// Longest delay that a refused client is told.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(60);

/// Maximum number of limits in the table.
const MAX_LIMITS: usize = 4096;

/// Maximum number of records that are repeated in a digest, next to news.
const MAX_SENT_RECORDS: usize = 64;

/// Maximum number of records in a digest with news or for an entry that was discovered, which has to fit into a
/// datagram beside other contents.
const MAX_FULL_RECORDS: usize = 1700;

/// Digests with all records after another entry was discovered; datagrams may be lost.
const FULL_DIGESTS: u32 = 3;

/// Interval at which old records are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);
