//! Emulations of requests at cold replicas.

use std::time::Duration;

use emulator::{
    ColdNotice, ColdScenario, EntryFault, LimitOutcome, LimitPolicy, LimitScenario, LimitSimulation,
};

/// Seeds of each emulation.
const SEEDS: u64 = 3;

/// Returns entries in front of replicas, a third of which becomes cold.
fn scenario(cold: ColdScenario) -> LimitScenario {
    LimitScenario {
        replicas: 10,
        limited: 3,
        cold: Some(cold),
        ..LimitScenario::small()
    }
}

/// Checks that no cold replica gets more than its bound, and `check` for the outcome of each seed.
fn check(scenario: LimitScenario, check: impl Fn(&LimitOutcome) -> bool) {
    let bound = scenario.cold.map_or(0.0, |it| it.bound.max_in_second);
    for seed in 0..SEEDS {
        let outcome = LimitSimulation::new(scenario, seed).run();
        let most = outcome.cold.most_in_second;
        assert!(most as f64 <= bound, "seed {seed}: {outcome:?}");
        assert!(check(&outcome), "seed {seed}: {outcome:?}");
    }
}

/// Guards against FAILBACK at a start and at the return of a zone, of which entries learn at different times, and against a rate that
/// is hardly used.
#[test]
fn cold_replicas_get_no_more_than_their_bound() {
    for notice in [ColdNotice::Start, ColdNotice::Return] {
        let cold = ColdScenario {
            notice,
            ..ColdScenario::starts()
        };
        check(scenario(cold), |it| it.cold.share_used() > 0.3);
    }
    let all = LimitScenario {
        limited: 10,
        loss: 0.1,
        ..scenario(ColdScenario::always())
    };
    check(all, |it| it.cold.share_used() > 0.6 && it.refused > 0);
}

/// Guards against entries that use turns of others around restarts, suspensions and network partitions.
#[test]
fn cold_replicas_get_no_more_than_their_bound_while_entries_fail() {
    for fault in [
        EntryFault::Restart,
        EntryFault::AllRestart,
        EntryFault::Addition,
        EntryFault::Freeze,
        EntryFault::HalfFreeze,
        EntryFault::Cut,
        EntryFault::ZoneCut,
        EntryFault::LinkCut,
        EntryFault::HalfCut,
        EntryFault::ThirdCut,
    ] {
        let scenario = LimitScenario {
            fault,
            ..scenario(ColdScenario::always())
        };
        check(scenario, |_| true);
    }
}

/// Guards against entries that take over the turns of others which they do not hear, although a third one hears both: nobody asked it,
/// as digests were sent only after a discovery or for a named limit, and up to 27 of 27.5 requests arrived in a second.
#[test]
fn entries_ask_others_for_those_that_they_do_not_hear() {
    let scenario = LimitScenario {
        fault: EntryFault::LinkCut,
        ..scenario(ColdScenario::always())
    };
    check(scenario, |it| it.cold.share_used() < 0.8);
}

/// Guards against a third of the entries that are cut off and use their turns again after a minute, while the others have taken these
/// over: 44 entries sent up to 27 of 27.5 requests in a second.
#[test]
fn entries_that_stay_cut_off_use_no_turns_at_cold_replicas() {
    let scenario = LimitScenario {
        fault: EntryFault::ThirdCut,
        duration: Duration::from_secs(100),
        ..scenario(ColdScenario::always())
    };
    check(scenario, |it| it.cold.share_used() < 0.8);
}

/// Guards against entries whose clocks drift apart for hours while nothing makes them tell each other the time base.
#[test]
fn entries_agree_on_turns_although_their_clocks_drift() {
    let cold = ColdScenario {
        max_drift: 0.02,
        ..ColdScenario::always()
    };
    let scenario = LimitScenario {
        entries: 44,
        replicas: 52,
        duration: Duration::from_secs(60),
        ..scenario(cold)
    };
    check(scenario, |it| it.cold.share_used() > 0.7);
}

/// Guards against entries that exceed the bound for longer than it takes them to read the rows of replicas which became cold in use.
#[test]
fn turns_are_kept_once_the_rows_say_that_replicas_are_cold() {
    let cold = ColdScenario {
        notice: ColdNotice::Late,
        duration: Duration::from_secs(6),
        interval: Duration::from_secs(10),
        ..ColdScenario::starts()
    };
    for seed in 0..SEEDS {
        let outcome = LimitSimulation::new(scenario(cold), seed).run();
        let most = outcome.cold.most_when_known as f64;
        assert!(most <= cold.bound.max_in_second, "seed {seed}: {outcome:?}");
    }
}

// Shows that the emulator finds entries that do not divide turns.
#[test]
fn entries_that_ignore_coldness_exceed_the_bound() {
    let cold = ColdScenario::always();
    let scenario = LimitScenario {
        policy: LimitPolicy::Ignored,
        ..scenario(cold)
    };
    let outcome = LimitSimulation::new(scenario, 0).run();
    assert!(outcome.cold.most_in_second as f64 > cold.bound.max_in_second);
}
