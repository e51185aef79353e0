//! An entry of an emulation of limits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use routing::{DigestSchedule, LifetimeId, LimitTable, NamedLimit, RequestRate};

use crate::entry_clock::EntryClock;
use crate::limit_scenario::LimitPolicy;

/// An entry with its limits.
#[derive(Debug)]
pub(crate) struct LimitedEntry {
    pub(crate) name: String,
    pub(crate) clock: EntryClock,
    pub(crate) table: LimitTable,
    pub(crate) to_zone: DigestSchedule,
    pub(crate) to_others: DigestSchedule,
    /// When each other entry was last heard.
    pub(crate) last_heard: BTreeMap<usize, Duration>,
    pub(crate) last_heartbeat: Duration,
    pub(crate) last_report: Duration,
    /// Number of reports that were sent.
    pub(crate) reports: usize,
    started_at: Duration,
    /// Whether another entry has told of limits.
    pub(crate) has_evidence: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) cut_until: Duration,
    /// Limits of the baselines by replica, and when this entry may send the next request.
    pub(crate) buckets: BTreeMap<LifetimeId, (RequestRate, Duration)>,
}

impl LimitedEntry {
    /// Creates the entry with the number `index`, which starts at `now`; its clock shows the time since boot from `epoch`.
    pub(crate) fn new(index: usize, now: Duration, epoch: Instant, clock: EntryClock) -> Self {
        let name = format!("edge-{index}");
        Self {
            table: LimitTable::new(epoch + clock.since_boot(now), &name),
            name,
            clock,
            to_zone: DigestSchedule::default(),
            to_others: DigestSchedule::default(),
            last_heard: BTreeMap::new(),
            last_heartbeat: Duration::ZERO,
            last_report: Duration::ZERO,
            reports: 0,
            started_at: now,
            has_evidence: false,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            buckets: BTreeMap::new(),
        }
    }

    /// Returns whether the entry sends requests: it runs and has received what others know, or waited for it.
    pub(crate) fn is_serving(&self, now: Duration) -> bool {
        !self.is_frozen(now) && (self.has_evidence || now >= self.started_at + EVIDENCE_WAIT)
    }

    pub(crate) fn is_frozen(&self, now: Duration) -> bool {
        now < self.frozen_until
    }

    /// Records a message of `other`. Returns whether that was considered dead or unknown.
    pub(crate) fn hear(&mut self, now: Duration, other: usize) -> bool {
        let before = self.last_heard.insert(other, now);
        before.is_none_or(|it| now.saturating_sub(it) >= PEER_TIMEOUT)
    }

    /// Returns the entries that this one considers alive.
    pub(crate) fn alive(&self, now: Duration) -> Vec<usize> {
        let heard = self.last_heard.iter();
        let alive = heard.filter(|it| now.saturating_sub(*it.1) < PEER_TIMEOUT);
        alive.map(|it| *it.0).collect()
    }

    /// Schedules messages about news.
    pub(crate) fn record_news(&mut self) {
        self.to_zone.record_change();
        self.to_others.record_change();
    }

    /// Records what a baseline learns from a response.
    pub(crate) fn record_for_baseline(
        &mut self,
        now: Duration,
        replica: LifetimeId,
        named: NamedLimit,
    ) {
        if let NamedLimit::Limit(rate) = named {
            self.buckets.entry(replica).or_insert((rate, now)).0 = rate;
        } else {
            self.buckets.remove(&replica);
        }
    }

    /// Takes a request of a baseline's own share of the limit.
    pub(crate) fn take_own_share(
        &mut self,
        now: Duration,
        replica: LifetimeId,
        policy: LimitPolicy,
        entries: usize,
    ) -> bool {
        let Some((rate, next)) = self.buckets.get_mut(&replica) else {
            return true;
        };
        if now < *next {
            return false;
        }
        let share = match policy {
            LimitPolicy::EqualShares => 1.0 / entries as f64,
            _ => 1.0,
        };
        let interval = 1.0 / (rate.per_second() * share).max(MIN_RATE);
        *next = now + Duration::from_secs_f64(interval);
        true
    }
}

/// Time without a message after which an entry is considered dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Time for which a started entry waits for what others know.
const EVIDENCE_WAIT: Duration = Duration::from_secs(1);

/// Lowest rate of a baseline in requests per second, so that intervals are finite.
const MIN_RATE: f64 = 1e-6;
