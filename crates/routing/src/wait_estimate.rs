//! Estimated time to first token at a target.

use std::time::Duration;

use model::LoadSample;

use crate::target_choice::TargetCandidate;

/// Returns the requests in flight at a target: the reported number, adjusted by the entry's own changes since then.
pub fn in_flight(candidate: &TargetCandidate<'_>) -> u32 {
    candidate
        .load
        .in_flight
        .saturating_add_signed(candidate.delta_since_row)
        .max(candidate.own_in_flight)
}

/// Returns whether the target is expected to admit another request.
pub fn has_capacity(candidate: &TargetCandidate<'_>) -> bool {
    in_flight(candidate) < candidate.load.limit
}

/// Estimates the time to first token from the measurements of the gate and the entry.
///
/// The smoothed time to first token already reflects the reported load. The requests in flight relative to the limit
/// increase it proportionally, and requests beyond the limit wait for a free slot.
pub fn expected_wait(candidate: &TargetCandidate<'_>) -> Duration {
    let load = &candidate.load;
    let requests = in_flight(candidate);
    let first_token = Duration::from_millis(u64::from(load.first_token_ms)).max(MIN_FIRST_TOKEN);
    let utilization = f64::from(requests + 1) / f64::from(load.limit.max(1));
    let gap = Duration::from_micros(u64::from(load.token_gap_us));
    first_token.mul_f64(1.0 + utilization) + gap * WEIGHTED_GAPS + slot_wait(load, requests)
}

fn slot_wait(load: &LoadSample, requests: u32) -> Duration {
    if requests < load.limit {
        return Duration::ZERO;
    }
    let ahead = requests - load.limit + 1;
    let tokens_per_request = load.tokens_owed / load.in_flight.max(1);
    let gap = Duration::from_micros(u64::from(load.token_gap_us)).max(MIN_GAP);
    // With `limit` requests of equal duration, a slot becomes free every `1 / limit` of that duration.
    let duration = gap * tokens_per_request.max(1);
    duration * ahead / load.limit.max(1)
}

/// Lower bound of the time to first token, so that requests in flight count for a target without measurements.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(10);

/// Lower bound of the token gap, for targets without measurements.
const MIN_GAP: Duration = Duration::from_millis(1);

/// Token gaps added to the wait, which prefers the faster generator of two targets with equal time to first token.
const WEIGHTED_GAPS: u32 = 8;
