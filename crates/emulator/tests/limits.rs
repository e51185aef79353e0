//! Emulations of limits that replicas name.

use std::time::Duration;

use emulator::{EntryFault, LimitOutcome, LimitPolicy, LimitScenario, LimitSimulation};

/// Seeds of each emulation.
const SEEDS: u64 = 6;

/// Calls at a limited replica in 4 s beyond those that the limit allows on average.
const MAX_BEYOND: f64 = 3.0;

/// Least share of a limit that is used without faults of entries, from one request a second on and below.
const MIN_USED: f64 = 0.8;
const MIN_LOW_USED: f64 = 0.6;

/// Checks that limits are kept, and `check` for the outcome of each seed.
fn check(scenario: LimitScenario, check: impl Fn(&LimitOutcome) -> bool) {
    for seed in 0..SEEDS {
        let outcome = LimitSimulation::new(scenario, seed).run();
        assert!(
            outcome.most_beyond <= MAX_BEYOND,
            "seed {seed}: {outcome:?}"
        );
        assert!(outcome.early_beyond_rule <= 0.0, "seed {seed}: {outcome:?}");
        assert!(check(&outcome), "seed {seed}: {outcome:?}");
    }
}

// Guards against entries that together exceed a limit, or leave it unused (incident LIMIT).
#[test]
fn limits_are_kept_and_used() {
    for limit in [0.25, 1.0, 2.3, 10.0, 50.0] {
        let min_used = if limit < 1.0 { MIN_LOW_USED } else { MIN_USED };
        let scenario = LimitScenario {
            limit,
            ..LimitScenario::small()
        };
        check(scenario, |it| it.share_used >= min_used);
    }
}

#[test]
fn limits_of_all_replicas_are_kept_and_used() {
    let scenario = LimitScenario {
        limited: 11,
        loss: 0.1,
        ..LimitScenario::small()
    };
    check(scenario, |it| it.share_used >= MIN_USED && it.refused > 0);
}

#[test]
fn a_limit_of_zero_is_kept() {
    let scenario = LimitScenario {
        limit: 0.0,
        ..LimitScenario::small()
    };
    check(scenario, |_| true);
}

// Guards against entries that use turns of others around restarts, freezes and network partitions.
#[test]
fn limits_are_kept_while_entries_fail() {
    for fault in [
        EntryFault::Restart,
        EntryFault::Addition,
        EntryFault::Freeze,
        EntryFault::Cut,
        EntryFault::ZoneCut,
        EntryFault::LinkCut,
    ] {
        let scenario = LimitScenario {
            fault,
            limit: 5.0,
            ..LimitScenario::small()
        };
        check(scenario, |_| true);
    }
}

#[test]
fn the_end_of_a_limit_is_found() {
    let scenario = LimitScenario {
        ends_at: Some(Duration::from_secs(30)),
        ..LimitScenario::small()
    };
    let in_time = |it: Option<Duration>, most| it.is_some_and(|it| it <= Duration::from_secs(most));
    check(scenario, |it| {
        in_time(it.end_found_after, 10) && in_time(it.end_known_after, 2)
    });
}

// Shows that the emulator finds entries that keep a limit for themselves alone.
#[test]
fn baselines_exceed_limits() {
    for policy in [
        LimitPolicy::Ignored,
        LimitPolicy::Alone,
        LimitPolicy::EqualShares,
    ] {
        let scenario = LimitScenario {
            policy,
            ..LimitScenario::small()
        };
        let outcomes = (0..SEEDS).map(|it| LimitSimulation::new(scenario, it).run());
        assert!(outcomes.into_iter().any(|it| it.most_beyond > MAX_BEYOND));
    }
}
