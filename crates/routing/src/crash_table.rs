//! Evidence about requests that crash replicas, and the parts of requests that are held back for it.
//!
//! Every entry has a table, merges those of the others into it and draws the same conclusions from it. Merging is
//! commutative and idempotent, so neither the order of messages nor their loss matters. See
//! [decision 45](../../../docs/decisions/0045-requests-that-crash-replicas.md).

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::crash_conclusion::{CrashConclusion, PartChange};
use crate::crash_digest::{
    CrashDigest, CrashRecord, DigestSource, MergeEffect, SurvivalRecord, TrialRecord,
};
use crate::crash_score::PartEvidence;
use crate::hold_table::{HoldState, HoldTable};
use crate::lifetime_id::LifetimeId;
use crate::part_admission::PartAdmission;
use crate::part_id::{PartId, PoolId, fnv1a};
use crate::part_ranking::{PartRanking, RankedPart};
use crate::survival_log::SurvivalLog;

/// Evidence and holds as known to one entry.
#[derive(Clone, Debug)]
pub struct CrashTable {
    /// Digest of the name of this entry.
    own: u64,
    crashes: BTreeMap<LifetimeId, Crash>,
    /// Crashes that expired or were evicted, and when. Another entry may still tell of them.
    ended: BTreeMap<LifetimeId, Instant>,
    survivals: SurvivalLog,
    /// Parts with enough crashes that their requests are sent one at a time.
    suspects: BTreeSet<PartId>,
    /// The last request with a suspected part that any entry sent.
    trials: BTreeMap<PartId, Trial>,
    /// Trials that have ended or were replaced by later ones, and when. Another entry may still tell of them.
    ended_trials: BTreeMap<u64, Instant>,
    holds: HoldTable,
}

/// The crash of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) at: Instant,
    pub(crate) pool: PoolId,
    /// Parts of the requests that the replica was about to begin or had just begun.
    pub(crate) parts: BTreeSet<PartId>,
}

/// A request with a suspected part.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Random number that tells it from all other trials.
    id: u64,
    sent_at: Instant,
}

impl CrashTable {
    /// Creates the table of the entry `own`.
    pub fn new(own: &str) -> Self {
        Self {
            own: reporter_digest(own),
            crashes: BTreeMap::new(),
            ended: BTreeMap::new(),
            survivals: SurvivalLog::default(),
            suspects: BTreeSet::new(),
            trials: BTreeMap::new(),
            ended_trials: BTreeMap::new(),
            holds: HoldTable::default(),
        }
    }

    /// Records that a replica of `pool` crashed while it was about to begin, or had just begun, a request with `parts`.
    /// Several requests may be recorded for one crash. Returns whether this adds to the evidence.
    pub fn record_crash(
        &mut self,
        now: Instant,
        id: LifetimeId,
        pool: PoolId,
        parts: &[PartId],
    ) -> bool {
        self.insert_crash(now, id, now, pool, parts.iter().copied())
    }

    /// Records that a replica survived the start of a request with `parts` at `begun_at`.
    pub fn record_survival(&mut self, begun_at: Instant, parts: &[PartId]) {
        for part in parts {
            self.survivals.record_own(*part, begun_at);
        }
    }

    /// Adds what another entry of the zone, or another zone, knows.
    pub fn merge(
        &mut self,
        now: Instant,
        digest: &CrashDigest,
        source: DigestSource,
    ) -> MergeEffect {
        let mut effect = MergeEffect::Nothing;
        for crash in digest.crashes.iter().take(MAX_CRASHES) {
            let age = Duration::from_millis(u64::from(crash.age_ms));
            if age >= EVIDENCE_TIME {
                continue;
            }
            // The clock may have begun less than `age` ago.
            let at = now.checked_sub(age).unwrap_or(now);
            let pool = crash.pool;
            let parts = crash.parts.iter().map(|it| PartId { pool, digest: *it });
            if self.insert_crash(now, crash.id, at, pool, parts) {
                effect = MergeEffect::News;
            }
        }
        for record in digest.holds.iter().take(MAX_HOLDS) {
            if self.holds.merge(now, record) {
                effect = MergeEffect::News;
            }
        }
        for record in digest.trials.iter().take(MAX_HOLDS) {
            let age = Duration::from_millis(u64::from(record.age_ms));
            let sent_at = now.checked_sub(age).unwrap_or(now);
            let trial = Trial {
                id: record.id,
                sent_at,
            };
            if age < TRIAL_TIME && self.merge_trial(now, record.part, trial) {
                effect = MergeEffect::News;
            }
        }
        let watched = self.watched_parts();
        let survivals = digest.survivals.iter();
        for record in survivals.filter(|it| watched.contains(&it.part)) {
            let is_foreign = record.reporter != self.own;
            if is_foreign && self.survivals.merge(now, record, source) {
                effect = effect.max(MergeEffect::Survivals);
            }
        }
        effect
    }

    /// Draws conclusions from the evidence. `replicas` returns the number of replicas of a pool, and `version` the weights
    /// that its replicas run, if any.
    pub fn evaluate(
        &mut self,
        now: Instant,
        replicas: &dyn Fn(PoolId) -> usize,
        version: &dyn Fn(PoolId) -> Option<u64>,
    ) -> Vec<CrashConclusion> {
        self.expire(now);
        let pools: BTreeSet<PoolId> = self.crashes.values().map(|it| it.pool).collect();
        let mut conclusions = Vec::new();
        let mut suspects = BTreeSet::new();
        for pool in pools {
            for ranked in self.rank(pool, replicas(pool), now) {
                let part = ranked.part;
                if ranked.is_conclusive {
                    let crashes = ranked.score.crashes;
                    self.holds.hold(now, part, crashes, version(pool));
                    conclusions.push(ranked.conclusion(PartChange::Held));
                } else if suspects.insert(part) && !self.suspects.contains(&part) {
                    conclusions.push(ranked.conclusion(PartChange::Suspected));
                }
            }
        }
        let cleared = self.suspects.difference(&suspects);
        let cleared = cleared.filter(|it| !self.holds.is_held(**it));
        conclusions.extend(cleared.map(|it| CrashConclusion::cleared(*it)));
        self.suspects = suspects;
        conclusions
    }

    /// Returns the suspicious parts of the crashes of `pool` that no held part explains.
    fn rank(&self, pool: PoolId, replicas: usize, now: Instant) -> Vec<RankedPart> {
        let crashes = self.crashes.values().filter(|it| it.pool == pool);
        let is_explained = |it: &&Crash| it.parts.iter().any(|it| self.holds.is_held(*it));
        let ranking = PartRanking {
            survivals: &self.survivals,
            replicas,
            now,
        };
        ranking.rank(crashes.filter(|it| !is_explained(it)).collect())
    }

    /// Returns whether conclusions may change without news, because the evidence has just arrived.
    pub fn is_unsettled(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns whether a request with `parts` may be sent to replicas that run `version` of the weights.
    pub fn admission(&self, now: Instant, parts: &[PartId], version: Option<u64>) -> PartAdmission {
        let held = parts.iter().find(|it| self.holds.is_held(**it));
        if let Some(part) = held {
            return match self.holds.time_to_trial(now, *part, version) {
                Some(remaining) => PartAdmission::Held(*part, remaining),
                None => PartAdmission::TrialDue(*part),
            };
        }
        let suspect = parts.iter().find(|it| self.suspects.contains(it));
        suspect.map_or(PartAdmission::Clear, |it| PartAdmission::Suspected(*it))
    }

    /// Begins a trial with a suspected part, unless one is under way at any entry as far as this one knows. `id` is a random
    /// number.
    pub fn try_begin_trial(&mut self, now: Instant, part: PartId, id: u64) -> bool {
        let is_under_way = |it: &Trial| it.is_under_way(now);
        if self.trials.get(&part).is_some_and(is_under_way) {
            return false;
        }
        self.replace_trial(now, part, Trial { id, sent_at: now });
        true
    }

    /// Adds the trial of another entry; returns whether it is the latest one.
    fn merge_trial(&mut self, now: Instant, part: PartId, trial: Trial) -> bool {
        if self.ended_trials.contains_key(&trial.id) {
            return false;
        }
        match self.trials.get_mut(&part) {
            Some(known) if known.id == trial.id => {
                known.sent_at = known.sent_at.min(trial.sent_at);
                false
            }
            Some(known) if known.sent_at >= trial.sent_at => false,
            Some(_) | None => {
                self.replace_trial(now, part, trial);
                true
            }
        }
    }

    fn replace_trial(&mut self, now: Instant, part: PartId, trial: Trial) {
        let before = self.trials.insert(part, trial);
        self.ended_trials.extend(before.map(|it| (it.id, now)));
    }

    /// Returns whether a request with `parts`, whose replica just crashed at its start, may be sent to another one: if
    /// no part is suspected, or was in two crashes since the last start that a replica survived.
    pub fn may_retry(&self, parts: &[PartId]) -> bool {
        let is_clear = |part: &PartId| {
            !self.holds.is_held(*part) && !self.suspects.contains(part) && {
                let evidence = self.evidence(*part);
                let last = evidence.survivals.last();
                let unexplained = evidence.crashes.iter().filter(|it| Some(*it) > last);
                unexplained.count() < 2
            }
        };
        parts.iter().all(is_clear)
    }

    /// Records that a replica survived a request with a held part, so the part is released.
    pub fn release(&mut self, now: Instant, part: PartId) -> bool {
        self.holds.release(now, part)
    }

    /// Records that a replica crashed under a trial with a held part.
    pub fn record_failed_trial(&mut self, now: Instant, part: PartId, version: Option<u64>) {
        self.holds.record_failed_trial(now, part, version);
    }

    /// Returns whether a part is held back.
    pub fn is_held(&self, parts: &[PartId]) -> bool {
        parts.iter().any(|it| self.holds.is_held(*it))
    }

    /// Returns all holds and releases, for operators.
    pub fn holds(&self, now: Instant) -> Vec<HoldState> {
        self.holds.states(now)
    }

    /// Returns the suspected parts, for operators.
    pub fn suspects(&self) -> impl Iterator<Item = PartId> {
        self.suspects.iter().copied()
    }

    /// Returns the number of crashes that count as evidence.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns what this entry tells the entries of its zone.
    pub fn own_digest(&self, now: Instant) -> CrashDigest {
        let watched = self.watched_parts();
        let survivals = self.survivals.own_records(now, self.own, &watched);
        self.digest(now, survivals)
    }

    /// Returns what the entries of `zone` tell other zones, as far as this entry knows it.
    pub fn zone_digest(&self, now: Instant, zone: &str) -> CrashDigest {
        let watched = self.watched_parts();
        let survivals = self
            .survivals
            .zone_records(now, reporter_digest(zone), &watched);
        self.digest(now, survivals)
    }

    fn digest(&self, now: Instant, survivals: Vec<SurvivalRecord>) -> CrashDigest {
        let mut crashes: Vec<(&LifetimeId, &Crash)> = self.crashes.iter().collect();
        crashes.sort_by_key(|it| std::cmp::Reverse(it.1.at));
        let records = crashes.into_iter().take(MAX_SENT_CRASHES);
        CrashDigest {
            crashes: records
                .map(|(id, crash)| CrashRecord {
                    id: *id,
                    pool: crash.pool,
                    age_ms: age_ms(now, crash.at),
                    parts: crash.parts.iter().map(|it| it.digest).collect(),
                })
                .collect(),
            survivals,
            holds: self.holds.records(now),
            trials: self
                .trials
                .iter()
                .map(|(part, trial)| TrialRecord {
                    part: *part,
                    id: trial.id,
                    age_ms: age_ms(now, trial.sent_at),
                })
                .collect(),
        }
    }

    fn insert_crash(
        &mut self,
        now: Instant,
        id: LifetimeId,
        at: Instant,
        pool: PoolId,
        parts: impl Iterator<Item = PartId>,
    ) -> bool {
        if self.ended.contains_key(&id) {
            return false;
        }
        let is_new = !self.crashes.contains_key(&id);
        let crash = self.crashes.entry(id).or_insert_with(|| Crash {
            at,
            pool,
            parts: BTreeSet::new(),
        });
        let known = crash.parts.len();
        crash.at = crash.at.min(at);
        crash.parts.extend(parts);
        limit_parts(&mut crash.parts, &self.survivals);
        let is_changed = is_new || crash.parts.len() > known;
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|it| it.1.at);
            if let Some(oldest) = oldest.map(|it| *it.0) {
                self.crashes.remove(&oldest);
                self.ended.insert(oldest, now);
                return is_changed && oldest != id;
            }
        }
        is_changed
    }

    /// Returns the parts that crashes implicate, about whose survivals entries tell each other: those of most crashes if
    /// there are too many.
    fn watched_parts(&self) -> BTreeSet<PartId> {
        let mut counts: BTreeMap<PartId, usize> = BTreeMap::new();
        for part in self.crashes.values().flat_map(|it| &it.parts) {
            *counts.entry(*part).or_default() += 1;
        }
        let mut parts: Vec<(usize, PartId)> = counts.into_iter().map(|it| (it.1, it.0)).collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        let parts = parts.into_iter().take(MAX_WATCHED_PARTS);
        parts.map(|it| it.1).collect()
    }

    fn evidence(&self, part: PartId) -> PartEvidence {
        let crashes = self.crashes.values().filter(|it| it.parts.contains(&part));
        let mut crashes: Vec<Instant> = crashes.map(|it| it.at).collect();
        crashes.sort_unstable();
        PartEvidence {
            crashes,
            survivals: self.survivals.times(part),
            ..PartEvidence::default()
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_old =
            |_: &LifetimeId, it: &mut Crash| now.saturating_duration_since(it.at) >= EVIDENCE_TIME;
        let ended = self.crashes.extract_if(.., is_old);
        self.ended.extend(ended.map(|it| (it.0, now)));
        self.ended
            .retain(|_, it| now.saturating_duration_since(*it) < EVIDENCE_TIME);
        let is_over = |_: &PartId, it: &mut Trial| !it.is_under_way(now);
        let ended = self.trials.extract_if(.., is_over);
        self.ended_trials.extend(ended.map(|it| (it.1.id, now)));
        self.ended_trials
            .retain(|_, it| now.saturating_duration_since(*it) < EVIDENCE_TIME);
        let watched = self.watched_parts();
        self.survivals.retain_reported(&watched);
        self.holds.expire(now);
    }
}

impl Trial {
    fn is_under_way(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent_at) < TRIAL_TIME
    }
}

/// Removes parts if there are too many, first those that replicas have survived: they are the least suspicious.
fn limit_parts(parts: &mut BTreeSet<PartId>, survivals: &SurvivalLog) {
    if parts.len() <= MAX_CRASH_PARTS {
        return;
    }
    let mut ranked: Vec<(usize, PartId)> = parts
        .iter()
        .map(|it| (survivals.times(*it).len(), *it))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_CRASH_PARTS);
    *parts = ranked.into_iter().map(|it| it.1).collect();
}

/// Returns the digest under which an entry or a zone reports survivals.
fn reporter_digest(name: &str) -> u64 {
    fnv1a(name.bytes())
}

pub(crate) fn age_ms(now: Instant, at: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// Time for which a crash counts as evidence. Longer than a few starts of a part that is rarely requested.
const EVIDENCE_TIME: Duration = Duration::from_secs(60);

/// Time in which the outcome of a trial reaches all entries; until then no other one begins.
const TRIAL_TIME: Duration = Duration::from_millis(800);

/// Maximum number of crashes in the table.
const MAX_CRASHES: usize = 128;

/// Maximum number of crashes in a digest, which has to fit into a datagram.
const MAX_SENT_CRASHES: usize = 32;

/// Maximum number of parts of a crash.
const MAX_CRASH_PARTS: usize = 64;

/// Maximum number of parts about whose survivals entries tell each other.
const MAX_WATCHED_PARTS: usize = 128;

/// Maximum number of held parts that are accepted from another entry.
const MAX_HOLDS: usize = 64;
