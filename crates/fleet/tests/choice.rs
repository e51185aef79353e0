//! Replica selection and refusal under overload.

#[path = "support/choice_case.rs"]
mod choice_case;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use choice_case::{Case, Row, check};
use expect_test::expect;
use fleet::{LoadTable, SampleRule};

#[test]
fn the_shortest_predicted_time_wins_and_the_own_zone_breaks_ties() {
    let replicas: &[Row] = &[
        ("r1", "b", Some(1), 0),
        ("r2", "a", Some(1), 0),
        ("r3", "a", Some(1), 16),
    ];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["r2 in 113 ms, version Some(1)"],
    );
    let replicas: &[Row] = &[("r1", "b", Some(1), 2), ("r2", "a", Some(1), 18)];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["r1 in 114 ms, version Some(1)"],
    );
}

#[test]
fn requests_are_refused_if_all_replicas_are_full() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 22)];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["overloaded, 860 ms"],
    );
}

/// Guards against refusing a late request because of the prefill time of its own long prompt although replicas are
/// idle.
#[test]
fn idle_replicas_accept_late_and_large_requests() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 1)];
    let late = Case {
        replicas,
        prompt: 3900,
        max_first_event_ms: 0.0,
        ..Case::default()
    };
    check(&late, &expect!["r1 in 306 ms, version Some(1)"]);
    let replicas: &[Row] = &[("r1", "a", Some(1), 18)];
    let late = Case {
        replicas,
        prompt: 3900,
        max_first_event_ms: 0.0,
        ..Case::default()
    };
    check(&late, &expect!["overloaded, 633 ms"]);
}

#[test]
fn only_allowed_versions_serve() {
    let replicas: &[Row] = &[
        ("r1", "a", Some(1), 0),
        ("r2", "b", Some(2), 9),
        ("r3", "a", None, 0),
    ];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["r1 in 113 ms, version Some(1)"],
    );
    let strict = Case {
        replicas,
        oldest_allowed: 2,
        ..Case::default()
    };
    check(&strict, &expect!["r2 in 117 ms, version Some(2)"]);
    let replicas: &[Row] = &[("r1", "a", Some(1), 0)];
    check(
        &Case {
            replicas,
            oldest_allowed: 2,
            ..Case::default()
        },
        &expect!["outdated"],
    );
}

#[test]
fn unreachable_replicas_are_ejected_unless_all_are() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 0), ("r2", "b", Some(1), 9)];
    check(
        &Case {
            replicas,
            failed: &["r1"],
            ..Case::default()
        },
        &expect!["r2 in 117 ms, version Some(1)"],
    );
    check(
        &Case {
            replicas,
            failed: &["r1", "r2"],
            ..Case::default()
        },
        &expect!["r1 in 113 ms, version Some(1)"],
    );
}

#[test]
fn load_of_other_entries_counts_until_it_expires() {
    let now = Instant::now();
    let mut one = LoadTable::default();
    one.record_sent("r1", 700);
    one.record_sent("r1", 300);
    one.record_first_event("r1", 300);
    let mut other = LoadTable::default();
    other.record_sent("r1", 50);
    other.update_peer("one", one.own_samples(), now);
    let total = |loads: &LoadTable| loads.load("r1").total();
    assert_eq!(
        (total(&other).running, total(&other).pending_prefill_tokens),
        (3, 750)
    );
    other.expire(now + Duration::from_secs(2));
    assert_eq!(
        (total(&other).running, total(&other).pending_prefill_tokens),
        (1, 50)
    );
    other.record_end("r1", 50);
    assert_eq!(other.own_samples(), BTreeMap::new());
}

// Guards against a replica that is chosen although its limit leaves no room (incident LIMIT).
#[test]
fn replicas_without_a_turn_are_not_chosen_and_those_with_one_are_preferred() {
    let replicas: &[Row] = &[
        ("r1", "a", Some(1), 0),
        ("r2", "b", Some(1), 0),
        ("r3", "a", Some(1), 4),
    ];
    for (turns, expected) in [
        (
            &[("r1", false)][..],
            expect!["r3 in 115 ms, version Some(1)"],
        ),
        (
            &[("r2", true)][..],
            expect!["r2 in 113 ms, version Some(1)"],
        ),
        (
            &[("r1", false), ("r2", false), ("r3", false)][..],
            expect!["limited"],
        ),
    ] {
        let case = Case {
            replicas,
            turns,
            ..Case::default()
        };
        check(&case, &expected);
    }
}

/// Guards against entries that all choose the one replica that seems idle in their old views, which then gets a queue, and
/// against a bound that leaves a request without a replica whose weights serve it until a switch.
#[test]
fn many_entries_compare_a_bounded_number_of_replicas_with_an_engine() {
    let ids = ["r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"];
    let running = |it| if it == "r9" { 0 } else { 22 };
    let replicas = ids.map(|it| (it, "a", Some(1), running(it)));
    let case = Case {
        replicas: &replicas,
        ..Case::default()
    };
    check(&case, &expect!["r9 in 113 ms, version Some(1)"]);
    let bounded = Case { entries: 9, ..case };
    check(&bounded, &expect!["overloaded, 860 ms"]);
    let all = Case {
        sample_rule: SampleRule::All,
        ..bounded
    };
    check(&all, &expect!["r9 in 113 ms, version Some(1)"]);
    let newer = |it| if it == "r9" { Some(2) } else { Some(1) };
    let replicas = ids.map(|it| (it, "a", newer(it), 0));
    let switch = Case {
        replicas: &replicas,
        pending: &[(2, 50)],
        entries: 9,
        ..Case::default()
    };
    check(&switch, &expect!["r9 in 113 ms, version Some(2)"]);
}
