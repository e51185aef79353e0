//! Weighs the evidence for a part being the cause of crashes.
//!
//! See [decision 45](../../../docs/decisions/0045-requests-that-crash-replicas.md).

use std::time::{Duration, Instant};

/// What is known about a part. All times are in ascending order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartEvidence {
    /// Crashes under requests with the part.
    pub(crate) crashes: Vec<Instant>,
    /// Crashes under other requests.
    pub(crate) other_crashes: Vec<Instant>,
    /// Starts with the part that replicas survived.
    pub(crate) survivals: Vec<Instant>,
}

/// Weight of the evidence from the most likely onset on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PartScore {
    /// Natural logarithm of the likelihood ratio between guilt and accident.
    pub(crate) weight: f64,
    /// Crashes since the onset. Those at the same moment count once, because they may have a common cause.
    pub(crate) crashes: u32,
    /// The first of these crashes.
    pub(crate) onset: Option<Instant>,
}

impl PartEvidence {
    /// Returns the score if requests crash a replica by accident with the probability `accident`.
    ///
    /// A part may have become guilty at any of its crashes, for example with new weights, so each is tried as the onset.
    pub(crate) fn score(&self, accident: f64) -> PartScore {
        let crash_weight = (CRASH_PROBABILITY / accident).ln();
        let survival_weight = ((1.0 - accident) / (1.0 - CRASH_PROBABILITY)).ln();
        let mut best = PartScore {
            weight: f64::NEG_INFINITY,
            crashes: 0,
            onset: None,
        };
        // Survivals before this time may be missing, so crashes before it are left out.
        let known_since = self.survivals.iter().rev().nth(KEPT_SURVIVALS - 1);
        let onsets = self.crashes.iter().enumerate();
        for (index, onset) in onsets.filter(|it| Some(it.1) > known_since) {
            let crashes = count_moments(&self.crashes[index..], &self.other_crashes);
            let earlier = self.survivals.partition_point(|it| it <= onset);
            let later = (self.survivals.len() - earlier) as f64;
            let change = if earlier > 0 { CHANGE_WEIGHT } else { 0.0 };
            let weight = f64::from(crashes) * crash_weight - later * survival_weight - change;
            if weight > best.weight {
                best = PartScore {
                    weight,
                    crashes,
                    onset: Some(*onset),
                };
            }
        }
        best
    }
}

/// Returns the probability that an accidental crash hits a request at its start, if `accidents` (in ascending order) were
/// all of them in a pool of `replicas`.
///
/// Accidents come in series, so the highest rate of the last time counts.
pub(crate) fn accident_probability(accidents: &[Instant], replicas: usize, now: Instant) -> f64 {
    let ages = accidents
        .iter()
        .map(|it| now.saturating_duration_since(*it));
    let ages: Vec<Duration> = ages.filter(|it| *it < ACCIDENT_TIME).collect();
    let count = |newest: &Duration| {
        let window = *newest..*newest + ACCIDENT_WINDOW;
        ages.iter().filter(|it| window.contains(it)).count()
    };
    let most = ages.iter().map(count).max().unwrap_or(0);
    let rate = (most + 1) as f64 / ACCIDENT_WINDOW.as_secs_f64();
    let probability = rate / replicas.max(1) as f64 * START_TIME.as_secs_f64();
    probability.clamp(MIN_ACCIDENT_PROBABILITY, MAX_ACCIDENT_PROBABILITY)
}

/// Returns whether `score` is too high to be an accident, if as many as `candidates` parts were considered.
pub(crate) fn is_conclusive(score: PartScore, candidates: usize, now: Instant) -> bool {
    let threshold = CONCLUSIVE_WEIGHT + (candidates.max(1) as f64).ln();
    let is_unlikely = score.crashes >= MIN_CRASHES && score.weight >= threshold;
    let is_reported = score
        .onset
        .is_some_and(|it| now.saturating_duration_since(it) >= REPORT_TIME);
    (is_unlikely && is_reported) || is_decisive(score)
}

/// Returns whether `score` is decisive also beside many accidents and other parts that explain the crashes as well.
pub(crate) fn is_decisive(score: PartScore) -> bool {
    score.crashes >= DECISIVE_CRASHES && score.weight >= SUSPICIOUS_WEIGHT
}

/// Returns whether requests with a part of this score are sent one at a time.
pub(crate) fn is_suspicious(score: PartScore) -> bool {
    score.crashes >= SUSPICIOUS_CRASHES && score.weight >= SUSPICIOUS_WEIGHT
}

/// Returns whether crashes are at different moments.
pub(crate) fn is_recurrent(crashes: &[Instant]) -> bool {
    count_moments(crashes, &[]) > 1
}

/// Counts the moments of `crashes`: those within [`MOMENT`] of the first one may have a common cause. If there are
/// several, and none of the crashes `others` is among them, that cause is likelier to be a request than a rack, and they
/// count twice.
fn count_moments(crashes: &[Instant], others: &[Instant]) -> u32 {
    let mut count = 0;
    let mut rest = crashes;
    while let Some(first) = rest.first() {
        let is_later = |it: &Instant| it.saturating_duration_since(*first) >= MOMENT;
        let size = rest.iter().position(is_later).unwrap_or(rest.len());
        let is_near = |it: &Instant| {
            let apart = it
                .saturating_duration_since(*first)
                .max(first.saturating_duration_since(*it));
            apart < MOMENT
        };
        let is_shared = others.is_empty() || others.iter().any(is_near);
        count += if size >= COMMON_CRASHES && !is_shared {
            2
        } else {
            1
        };
        rest = &rest[size..];
    }
    count
}

/// Probability that a replica crashes when it begins a request with a guilty part. Below 1, so that single starts that
/// were survived do not rule out a cause that depends on chance.
const CRASH_PROBABILITY: f64 = 0.999;

/// Number of survivals that are kept for a part and reporter: enough to outweigh several accidents.
pub(crate) const KEPT_SURVIVALS: usize = 4;

/// Weight against a part that replicas survived earlier: about one cause in four hundred is a part that was sound before.
const CHANGE_WEIGHT: f64 = 6.0;

/// Weight at which accidents explain the crashes of a part less than once in a thousand cases.
const CONCLUSIVE_WEIGHT: f64 = 6.9;

/// Minimum number of crashes at different moments, however rare accidents are.
const MIN_CRASHES: u32 = 3;

/// Crashes at different moments that are decisive.
const DECISIVE_CRASHES: u32 = 5;

/// Crashes at different moments, and weight, from which a part is suspicious.
const SUSPICIOUS_CRASHES: u32 = 2;
const SUSPICIOUS_WEIGHT: f64 = 3.5;

/// Time within which crashes may have a common cause, such as a rack that loses power.
const MOMENT: Duration = Duration::from_millis(100);

/// Crashes at one moment that all have a part in common and are likelier due to it than to a rack.
const COMMON_CRASHES: usize = 3;

/// Time that a request spends waiting for its start at a replica, and until its start counts as survived.
const START_TIME: Duration = Duration::from_millis(400);

/// Time in which entries report the parts of a crash and the starts that were survived to each other.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// Time over which the rate of accidents is measured.
const ACCIDENT_WINDOW: Duration = Duration::from_secs(2);

/// Time for which a series of accidents counts.
const ACCIDENT_TIME: Duration = Duration::from_secs(30);

/// Bounds of the probability of an accident.
const MIN_ACCIDENT_PROBABILITY: f64 = 0.005;
const MAX_ACCIDENT_PROBABILITY: f64 = 0.5;
