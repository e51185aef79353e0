//! Emulations of more requests than replicas can serve in time.

use std::time::Duration;

use emulator::{RoomOutcome, RoomPattern, RoomScenario, RoomSimulation, RoomStrategy};

fn run(load: f64, strategy: RoomStrategy) -> RoomOutcome {
    let scenario = RoomScenario {
        load,
        duration: Duration::from_secs(8),
        ..RoomScenario::podbor(RoomPattern::Steady)
    };
    RoomSimulation::new(scenario, strategy, 0).run()
}

/// Guards against a model whose replicas are late with few requests, which would hide what a strategy does.
#[test]
fn nearly_all_requests_are_on_time_at_half_the_load() {
    let outcome = run(0.5, RoomStrategy::BOUNDED);
    assert!(outcome.on_time(|_| true) > 0.97);
    assert!(outcome.results.iter().all(|it| it.refusals == 0));
}

/// Guards against entries that converge on the replicas which seem idle in old views, and against long prompts that pay
/// for short ones.
#[test]
fn a_bounded_sample_serves_more_in_time_at_full_load_and_long_prompts_too() {
    let all = run(1.0, RoomStrategy::ALL_REPLICAS);
    let bounded = run(1.0, RoomStrategy::BOUNDED);
    assert!(bounded.value(|_| true) > all.value(|_| true));
    let long = all.fifths()[3];
    let is_long = |it: &emulator::RoomResult| it.prompt_tokens >= long;
    assert!(bounded.on_time(is_long) > all.on_time(is_long));
}
