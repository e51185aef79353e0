//! Replica selection before a switch of weights.

#[path = "support/choice_case.rs"]
mod choice_case;

use choice_case::{Case, Row, check, engine};
use expect_test::{Expect, expect};
use fleet::{MAX_SOUND_SILENCE, RequestSize, SWITCH_RESERVE};

/// Checks the choice between old weights and new ones that are busy, while versions are pending.
fn check_pending(pending: &[(u64, u64)], expected: &Expect) {
    let case = Case {
        replicas: &[("r1", "a", Some(1), 0), ("r2", "b", Some(2), 14)],
        answer: 20,
        pending,
        ..Case::default()
    };
    check(&case, expected);
}

/// Guards against a request that queues at a replica for so long that it starts on weights that are too old by then. The
/// prediction may be wrong by more than its margin, so the request is withdrawn at the switch.
#[test]
fn old_weights_get_only_requests_that_start_in_time() {
    let check = check_pending;
    check(
        &[(2, 900)],
        &expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 900 ms"
        ],
    );
    check(&[(2, 300)], &expect!["r2 in 119 ms, version Some(2)"]);
}

/// Guards against requests that are sent to weights which are replaced right away: a silence of their replica would let them
/// begin late, whether they end before the switch or not.
#[test]
fn requests_that_cannot_bear_a_silence_are_not_sent_to_old_weights() {
    let reserve_ms = u64::try_from(SWITCH_RESERVE.as_millis()).unwrap();
    for bound_ms in [1100, 1600, 1900] {
        let switch_ms = u64::saturating_sub(bound_ms, reserve_ms);
        let expected = expect!["r2 in 119 ms, version Some(2)"];
        check_pending(&[(2, switch_ms)], &expected);
    }
    assert!(SWITCH_RESERVE > MAX_SOUND_SILENCE);
}

/// Guards against responses that are cut at a switch although the replicas with new weights could serve them whole.
#[test]
fn responses_that_may_be_cut_are_left_to_new_weights_unless_these_are_busy() {
    let check = |running, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0), ("r2", "b", Some(2), running)],
            pending: &[(2, 1000)],
            ..Case::default()
        };
        check(&case, &expected);
    };
    check(2, expect!["r2 in 114 ms, version Some(2)"]);
    // One that is too busy to continue them in time leaves nothing to continue them.
    check(60, expect!["overloaded, 4879 ms"]);
    check(
        18,
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1000 ms, likely cut"
        ],
    );
}

/// Guards against streams that are cut at a switch and that no replica can continue, because all have the old weights.
#[test]
fn old_weights_alone_get_only_responses_that_are_likely_to_end_before_the_switch() {
    let check = |is_resumable, answer, pending, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0)],
            is_resumable,
            answer,
            pending,
            ..Case::default()
        };
        check(&case, &expected);
    };
    // The longest answer of 100 tokens takes 1.6 s, one of unknown length is taken for a usual one.
    check(
        true,
        100,
        &[(2, 3000)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 3000 ms"
        ],
    );
    check(
        true,
        100,
        &[(2, 1500)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1500 ms"
        ],
    );
    check(true, 100, &[(2, 900)], expect!["outdated"]);
    check(
        true,
        0,
        &[(2, 1500)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1500 ms"
        ],
    );
    check(
        true,
        20,
        &[(2, 600)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 600 ms"
        ],
    );
    check(true, 20, &[(2, 500)], expect!["outdated"]);
    // One that cannot be continued must not be cut.
    check(
        false,
        100,
        &[(2, 3000)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 3000 ms"
        ],
    );
    check(false, 100, &[(2, 1500)], expect!["outdated"]);
    check(false, 0, &[(2, 3000)], expect!["outdated"]);
    assert_eq!(engine().answer_ms(RequestSize::default()), None);
}

/// Guards against requests that begin on old weights because a version was declared after they had been sent, while the entry
/// that sent them is dead. A request that would not end by then keeps its whole time.
#[test]
fn requests_that_end_before_an_unknown_version_takes_effect_get_no_time_beyond_it() {
    let check = |unknown_switch, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0)],
            unknown_switch,
            ..Case::default()
        };
        check(&case, &expected);
    };
    check(
        Some(4000),
        expect!["r1 in 113 ms, version Some(1), ends before an unknown version"],
    );
    // The answer takes 1.6 s, and the replica may be silent for 1.5 s.
    check(Some(3300), expect!["r1 in 113 ms, version Some(1)"]);
    check(Some(0), expect!["r1 in 113 ms, version Some(1)"]);
    check(None, expect!["r1 in 113 ms, version Some(1)"]);
}

/// Guards against time limits for a version that is not known and may never come, where a known one takes effect earlier.
#[test]
fn requests_that_will_run_across_a_known_switch_are_not_bounded_by_an_unknown_one() {
    let check = |pending, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0)],
            pending,
            unknown_switch: Some(7600),
            ..Case::default()
        };
        check(&case, &expected);
    };
    // The answer takes 1.6 s.
    check(
        &[(2, 1500)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1500 ms"
        ],
    );
    check(
        &[(2, 4000)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 4000 ms"
        ],
    );
}

/// Guards against requests without a time limit at weights that no known version replaces, because a known version replaces
/// other ones.
#[test]
fn requests_at_the_newest_weights_are_bounded_by_an_unknown_version() {
    let check = |loaded, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(loaded), 0)],
            pending: &[(2, 1500), (3, 4000)],
            unknown_switch: Some(7600),
            ..Case::default()
        };
        check(&case, &expected);
    };
    check(
        2,
        expect![
            "r1 in 113 ms, version Some(2), another one asked after 1040 ms, withdrawn after 4000 ms"
        ],
    );
    check(
        3,
        expect!["r1 in 113 ms, version Some(3), ends before an unknown version"],
    );
}

/// Guards against requests that began on a version that had been skipped: while two versions were pending, a replica on
/// the first of them counted as current, and a request that waited there was not withdrawn when the second took effect.
#[test]
fn a_request_is_withdrawn_from_a_version_that_is_replaced_next() {
    let replicas: &[Row] = &[("r1", "a", Some(2), 0)];
    check(
        &Case {
            replicas,
            answer: 20,
            pending: &[(2, 100), (3, 900)],
            ..Case::default()
        },
        &expect![
            "r1 in 113 ms, version Some(2), another one asked after 1040 ms, withdrawn after 900 ms"
        ],
    );
}

/// Guards against a version whose declaration was noticed late: the version after it was acknowledged later, so both
/// must take effect when that one does.
#[test]
fn a_version_takes_effect_no_later_than_the_next_one() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 0)];
    check(
        &Case {
            replicas,
            answer: 20,
            pending: &[(2, 4000), (3, 900)],
            ..Case::default()
        },
        &expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 900 ms"
        ],
    );
}

/// Guards against responses that are read completely before they are forwarded: their start cannot be observed, so the
/// request was not withdrawn and could start on old weights at any time.
#[test]
fn old_weights_get_only_requests_that_expire_in_time_if_their_start_is_not_observed() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 0), ("r2", "b", Some(2), 14)];
    let check = |replicas: &[Row], remaining: u64, expected: &Expect| {
        let case = Case {
            replicas,
            pending: &[(2, remaining)],
            latest_start: Some(3000),
            ..Case::default()
        };
        check(&case, expected);
    };
    check(replicas, 3500, &expect!["r1 in 113 ms, version None"]);
    check(replicas, 2900, &expect!["r2 in 119 ms, version Some(2)"]);
    check(&replicas[..1], 2900, &expect!["outdated"]);
}
