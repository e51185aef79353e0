//! How long a request would wait for its first token at a target.

use std::time::Duration;

use model::LoadSample;

use crate::target_choice::TargetCandidate;

/// Returns the requests at a target: those of its last row, corrected by the entry's own since then.
pub fn in_flight(candidate: &TargetCandidate<'_>) -> u32 {
    candidate
        .load
        .in_flight
        .saturating_add_signed(candidate.delta_since_row)
        .max(candidate.own_in_flight)
}

/// Tells whether the target admits one more request as far as the entry knows.
pub fn has_capacity(candidate: &TargetCandidate<'_>) -> bool {
    in_flight(candidate) < candidate.load.limit
}

/// Estimates the wait for the first token from what gate and entry see themselves.
///
/// The smoothed time to a first token already holds the load of the row; requests that the entry added since then
/// raise it in proportion, and requests beyond the limit wait for a slot.
pub fn expected_wait(candidate: &TargetCandidate<'_>) -> Duration {
    let load = &candidate.load;
    let requests = in_flight(candidate);
    let first_token = Duration::from_millis(u64::from(load.first_token_ms)).max(MIN_FIRST_TOKEN);
    let busy = f64::from(requests + 1) / f64::from(load.limit.max(1));
    let gap = Duration::from_micros(u64::from(load.token_gap_us));
    first_token.mul_f64(1.0 + busy) + gap * GAPS_COUNTED + slot_wait(load, requests)
}

fn slot_wait(load: &LoadSample, requests: u32) -> Duration {
    if requests < load.limit {
        return Duration::ZERO;
    }
    let ahead = requests - load.limit + 1;
    let tokens_each = load.tokens_owed / load.in_flight.max(1);
    let gap = Duration::from_micros(u64::from(load.token_gap_us)).max(MIN_GAP);
    // Slots free up one after the other: with `limit` requests of equal length, one in each `1 / limit` of a length.
    let length = gap * tokens_each.max(1);
    length * ahead / load.limit.max(1)
}

/// Stands for a target that has not served a first token yet, so that its requests in progress still count.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(10);

/// Stands for a target that has not produced tokens yet.
const MIN_GAP: Duration = Duration::from_millis(1);

/// Token gaps that count like waiting, so that of two equally prompt targets the faster one is preferred.
const GAPS_COUNTED: u32 = 8;
