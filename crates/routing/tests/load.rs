//! Concurrency limit, retry budget, hedge timer, load meter and overload tracker.

use std::time::{Duration, Instant};

use model::OverloadCause;
use routing::{
    CallKind, ConcurrencyLimit, HedgeTimer, LatencyTargets, LoadMeter, OverloadTracker,
    OverloadTransition, RetryBudget,
};

/// Returns the limit of a target that is always at its limit and whose token gap is `gap_ms` per request in flight.
fn settled_limit(gap_ms: f64, start: u32) -> u32 {
    let mut limit = ConcurrencyLimit::new(LatencyTargets::default(), start, 1, 100);
    let mut now = Instant::now();
    for _ in 0..20_000 {
        now += Duration::from_millis(10);
        let in_flight = limit.limit();
        limit.on_token_gap(
            now,
            Duration::from_secs_f64(gap_ms * f64::from(in_flight) / 1e3),
            in_flight,
        );
    }
    limit.limit()
}

#[test]
fn the_limit_converges_to_the_token_gap_target() {
    // A target of 49 ms and 5 ms per request allow nine requests.
    for start in [1, 9, 80] {
        let limit = settled_limit(5.0, start);
        assert!((7..=10).contains(&limit), "{limit}");
    }
    assert_eq!(settled_limit(100.0, 10), 1);
    assert_eq!(settled_limit(0.1, 10), 100);
}

#[test]
fn an_idle_target_does_not_raise_its_limit() {
    let mut limit = ConcurrencyLimit::new(LatencyTargets::default(), 10, 1, 100);
    let start = Instant::now();
    for idx in 0..1_000 {
        let now = start + Duration::from_millis(10 * idx);
        limit.on_first_token(now, Duration::from_millis(5), 2);
    }
    assert_eq!(limit.limit(), 10);
}

#[test]
fn retries_are_limited_to_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.try_acquire());
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

/// Guards against a retry that ten requests have earned and that is denied, because a sum of tenths is less than one.
#[test]
fn ten_requests_earn_one_retry_of_an_exhausted_budget() {
    let mut budget = RetryBudget::default();
    while budget.try_acquire() {}
    for round in 0..1_000 {
        for number in 0..10 {
            assert!(!budget.try_acquire(), "round {round}, {number} requests");
            budget.on_request();
        }
        assert_eq!(budget.available(), 1, "round {round}");
        assert!(budget.try_acquire(), "round {round}");
    }
}

#[test]
fn only_lookups_with_enough_time_are_hedged() {
    let mut timer = HedgeTimer::default();
    for idx in 0..5_000u64 {
        timer.on_response(Duration::from_millis(if idx % 10 == 0 { 50 } else { 5 }));
    }
    let long = Duration::from_secs(1);
    let delay = timer.delay(CallKind::Lookup, long).unwrap();
    assert!(
        delay > Duration::from_millis(30) && delay < Duration::from_millis(70),
        "{delay:?}"
    );
    assert_eq!(timer.delay(CallKind::Order, long), None);
    assert_eq!(timer.delay(CallKind::Completion, long), None);
    assert_eq!(
        timer.delay(CallKind::Lookup, Duration::from_millis(60)),
        None
    );
}

#[test]
fn an_overload_reports_its_start_cause_and_end() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut tracker = OverloadTracker::default();
    assert_eq!(tracker.state(at(0)), None);
    let change = tracker.on_signal(at(0), OverloadCause::FirstTokenLate);
    assert_eq!(
        change,
        Some(OverloadTransition::Started(OverloadCause::FirstTokenLate))
    );
    assert_eq!(tracker.on_signal(at(3_000), OverloadCause::QueueFull), None);
    let state = tracker.state(at(3_000)).unwrap();
    assert_eq!(
        (state.since, state.cause, state.signals),
        (start, OverloadCause::FirstTokenLate, 2)
    );
    assert_eq!(tracker.on_tick(at(7_999)), None);
    assert_eq!(tracker.state(at(8_000)), None);
    let change = tracker.on_tick(at(8_000));
    assert_eq!(
        change,
        Some(OverloadTransition::Ended(Duration::from_secs(3)))
    );
}

#[test]
fn measurements_of_an_idle_target_decay_so_that_it_is_tried_again() {
    let start = Instant::now();
    let mut meter = LoadMeter::default();
    meter.on_admitted(100);
    meter.on_first_token(start, Duration::from_millis(800));
    meter.on_tokens_released(30);
    assert_eq!(meter.tokens_owed(), 70);
    assert_eq!(meter.first_token(start), Duration::from_millis(800));
    let later = start + Duration::from_secs(10);
    assert_eq!(meter.first_token(later), Duration::from_millis(200));
}
