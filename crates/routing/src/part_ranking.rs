//! Finds the parts of requests that explain the crashes of a pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::crash_conclusion::{CrashConclusion, PartChange};
use crate::crash_score::{
    PartEvidence, PartScore, accident_probability, is_conclusive, is_decisive, is_recurrent,
    is_suspicious,
};
use crate::crash_table::Crash;
use crate::part_id::PartId;
use crate::survival_log::SurvivalLog;

/// What the parts of crashes are weighed with.
pub(crate) struct PartRanking<'a> {
    pub(crate) survivals: &'a SurvivalLog,
    /// Number of replicas of the pool.
    pub(crate) replicas: usize,
    pub(crate) now: Instant,
}

/// A part with evidence against it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedPart {
    pub(crate) part: PartId,
    pub(crate) score: PartScore,
    /// Probability of an accident that the score is based on.
    pub(crate) accident: f64,
    /// Whether accidents do not explain the crashes, so the part is held back.
    pub(crate) is_conclusive: bool,
}

impl RankedPart {
    /// Returns the conclusion `change` about the part.
    pub(crate) fn conclusion(self, change: PartChange) -> CrashConclusion {
        CrashConclusion {
            part: self.part,
            change,
            crashes: self.score.crashes,
            weight: self.score.weight,
            accident: self.accident,
        }
    }
}

impl PartRanking<'_> {
    /// Returns the conclusive parts, then the suspicious ones, each most suspicious first. A crash that one of them
    /// explains is no evidence against others: parts that only accompany a guilty one stay clear.
    pub(crate) fn rank(&self, mut crashes: Vec<&Crash>) -> Vec<RankedPart> {
        crashes.sort_by_key(|it| it.at);
        let mut ranked = Vec::new();
        for must_be_conclusive in [true, false] {
            loop {
                let scored = self.score(&crashes).into_iter();
                let candidates = scored.filter(|it| it.is_conclusive || !must_be_conclusive);
                let best = candidates.max_by(|a, b| a.score.weight.total_cmp(&b.score.weight));
                let Some(best) = best else {
                    break;
                };
                crashes.retain(|it| !it.parts.contains(&best.part));
                ranked.push(best);
            }
        }
        ranked
    }

    /// Returns the suspicious parts of `crashes`, each as if it were the only one.
    fn score(&self, crashes: &[&Crash]) -> Vec<RankedPart> {
        let mut times: BTreeMap<PartId, Vec<Instant>> = BTreeMap::new();
        for crash in crashes {
            for part in &crash.parts {
                times.entry(*part).or_default().push(crash.at);
            }
        }
        let candidates = times.len();
        times.retain(|_, it| is_recurrent(it));
        let new_causes: BTreeSet<PartId> = times
            .keys()
            .filter(|it| self.survivals.times(**it).is_empty())
            .copied()
            .collect();
        let scored = times.keys().map(|part| {
            let accident = self.accident(crashes, *part);
            let evidence = self.evidence(crashes, *part, &new_causes);
            let score = evidence.score(accident);
            RankedPart {
                part: *part,
                score,
                accident,
                is_conclusive: is_conclusive(score, candidates, self.now),
            }
        });
        let mut scored: Vec<RankedPart> = scored.filter(|it| is_suspicious(it.score)).collect();
        let rivals = scored.clone();
        for ranked in &mut scored {
            ranked.is_conclusive &= is_decisive(ranked.score)
                || !rivals.iter().any(|it| is_rival(crashes, *ranked, *it));
        }
        scored
    }

    /// Returns the evidence against `part`. A crash that one of `new_causes` explains is no evidence against a part that
    /// replicas survived: two new guilty parts are likelier than the part that their requests share having turned
    /// guilty.
    fn evidence(
        &self,
        crashes: &[&Crash],
        part: PartId,
        new_causes: &BTreeSet<PartId>,
    ) -> PartEvidence {
        let is_new = new_causes.contains(&part);
        let is_evidence = |crash: &&&Crash| {
            crash.parts.contains(&part) && (is_new || crash.parts.is_disjoint(new_causes))
        };
        let others = crashes.iter().filter(|it| !it.parts.contains(&part));
        PartEvidence {
            crashes: crashes.iter().filter(is_evidence).map(|it| it.at).collect(),
            other_crashes: others.map(|it| it.at).collect(),
            survivals: self.survivals.times(part),
        }
    }

    /// Returns the probability of an accident, from the crashes without `part`. Those that another part explains count as
    /// well: they hit requests with `part` like accidents.
    fn accident(&self, crashes: &[&Crash], part: PartId) -> f64 {
        let accidents = crashes.iter().filter(|it| !it.parts.contains(&part));
        let accidents: Vec<Instant> = accidents.map(|it| it.at).collect();
        accident_probability(&accidents, self.replicas, self.now)
    }
}

/// Returns whether `other` explains crashes of `ranked` as well as `ranked` itself, so that further ones must tell which
/// of them is the cause.
fn is_rival(crashes: &[&Crash], ranked: RankedPart, other: RankedPart) -> bool {
    let has_both = |it: &&&Crash| it.parts.contains(&ranked.part) && it.parts.contains(&other.part);
    ranked.part != other.part
        && other.score.crashes >= ranked.score.crashes
        && crashes.iter().filter(has_both).count() > 1
}
