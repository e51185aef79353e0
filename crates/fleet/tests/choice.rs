//! Replica selection and refusal under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{
    CallKind, ChoiceRequest, EngineProfile, HealthTable, LoadTable, LoadedModel, MAX_SOUND_SILENCE,
    NoReplica, Replica, ReplicaCatalog, ReplicaOutcome, ReplicaState, RequestSize, Route,
    RowOrigin, SWITCH_RESERVE, StoreInterval, StorePosition, VersionTable, choose_replica,
};

/// Time from the declaration of a version until it takes effect.
const SWITCH: Duration = Duration::from_secs(7);

/// The latest time that the store's clock can show.
const STORE_NOW: Duration = Duration::from_secs(100);

fn engine() -> EngineProfile {
    EngineProfile {
        model: "m".to_owned(),
        slots: 16,
        step_ms: 9.27,
        step_ms_per_request: 0.0232,
        step_ms_per_kilotoken: 0.0322,
        prefill_tokens_per_second: 20_700.0,
        prefill_chunk: 2048,
        steps_per_pass: 5,
        mean_prompt_tokens: 979.0,
        mean_answer_tokens: 92.0,
        pieces: 96,
        load_time: Duration::from_millis(300),
    }
}

fn resumable_route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: CallKind::Stream,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
        max_pause: Duration::from_millis(400),
        targets: Vec::new(),
        max_attempts: 2,
        public: false,
        resumable: true,
    }
}

/// A replica: id, zone, loaded version, running requests.
type Row = (&'static str, &'static str, Option<u64>, u32);

struct Case<'a> {
    replicas: &'a [Row],
    prompt: u32,
    answer: u32,
    max_first_event_ms: f64,
    oldest_allowed: u64,
    failed: &'a [&'a str],
    /// Versions that take effect later, each with the time until then in milliseconds.
    pending: &'a [(u64, u64)],
    /// Time until a version can take effect that is not known yet, in milliseconds.
    unknown_switch: Option<u64>,
    /// Time after which the request does not start any more, in milliseconds, if its start cannot be observed.
    latest_start: Option<u64>,
    /// Replicas with a limit, and whether the entry has a turn.
    turns: &'a [(&'a str, bool)],
}

impl Default for Case<'_> {
    fn default() -> Self {
        Self {
            replicas: &[],
            prompt: 900,
            answer: 100,
            max_first_event_ms: 380.0,
            oldest_allowed: 0,
            failed: &[],
            pending: &[],
            unknown_switch: None,
            latest_start: None,
            turns: &[],
        }
    }
}

fn check(case: &Case<'_>, expected: &Expect) {
    let now = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let mut loads = LoadTable::default();
    let mut health = HealthTable::default();
    for (id, zone, version, running) in case.replicas {
        let replica = Replica {
            id: (*id).to_owned(),
            address: "127.0.0.1:80".parse().unwrap(),
            service: "pool".to_owned(),
            zone: (*zone).to_owned(),
            slots: 16,
            state: ReplicaState::Ready,
            models: version
                .iter()
                .map(|it| LoadedModel {
                    name: "m".to_owned(),
                    version: *it,
                })
                .collect(),
            started_ms: None,
        };
        let origin = RowOrigin {
            position: StorePosition::new(0, 1),
            from_copy: false,
            after_outage: false,
        };
        catalog.put(replica, origin, now);
        for _ in 0..*running {
            loads.record_sent(id, 0);
        }
    }
    for id in case.failed {
        health.record_outcome(id, ReplicaOutcome::Unreachable, now);
    }
    let mut versions = VersionTable::new(SWITCH);
    if case.oldest_allowed > 0 {
        versions.declare("m", case.oldest_allowed, StoreInterval::UNKNOWN);
    }
    for (version, remaining) in case.pending {
        let declared_at = STORE_NOW + Duration::from_millis(*remaining) - SWITCH;
        let declared = StoreInterval::since(declared_at.as_millis() as u64);
        versions.declare("m", *version, declared);
    }
    let engine = engine();
    let request = ChoiceRequest {
        service: "pool",
        engine: Some(&engine),
        zone: "a",
        size: RequestSize {
            prompt_tokens: case.prompt,
            max_answer_tokens: case.answer,
        },
        version_requirement: versions.requirement("m", Some(STORE_NOW.as_millis() as u64)),
        time_to_unknown_switch: case.unknown_switch.map(Duration::from_millis),
        tried: &[],
        max_first_event_ms: case.max_first_event_ms,
        tolerated_delay_ms: 100.0,
        random: 0.0,
        entries: 1,
        turns: &case
            .turns
            .iter()
            .map(|it| (it.0.to_owned(), it.1))
            .collect(),
        latest_start: case.latest_start.map(Duration::from_millis),
    };
    let text = match choose_replica(&request, &catalog, &loads, &health, now) {
        Ok(it) => {
            let withdrawn = it.must_start_within.map_or_else(String::new, |withdrawal| {
                let silence = it.silence_timeout(&resumable_route()).unwrap();
                let end = match (it.ends_before_switch, it.bears_silence) {
                    (true, true) => ", ends before",
                    (true, false) => ", ends before unless silent",
                    (false, _) => "",
                };
                format!(
                    ", another one asked after {} ms, withdrawn after {} ms{end}",
                    silence.as_millis(),
                    withdrawal.as_millis()
                )
            });
            let unknown = if it.ends_before_unknown_switch {
                ", ends before an unknown version"
            } else {
                ""
            };
            format!(
                "{} in {:.0} ms, version {:?}{withdrawn}{unknown}",
                it.replica.id, it.predicted_ms, it.expect_version
            )
        }
        Err(NoReplica::NoneUsable) => "none usable".to_owned(),
        Err(NoReplica::Limited) => "limited".to_owned(),
        Err(NoReplica::Overloaded(predicted)) => format!("overloaded, {predicted:.0} ms"),
    };
    expected.assert_eq(&text);
}

/// Checks the choice between old weights and new ones that are busy, while versions are pending.
fn check_pending(pending: &[(u64, u64)], expected: &Expect) {
    let case = Case {
        replicas: &[("r1", "a", Some(1), 0), ("r2", "b", Some(2), 14)],
        pending,
        ..Case::default()
    };
    check(&case, expected);
}

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
        &expect!["none usable"],
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

/// Guards against requests that begin on old weights while the entry that sent them is dead: nothing but that entry kept
/// them from it. A replica that will end a request before the switch is given no more time than is left until then.
#[test]
fn requests_that_end_before_the_switch_get_no_time_beyond_it() {
    let check = check_pending;
    check(
        &[(2, 3000)],
        &expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 3000 ms, ends before"
        ],
    );
    // The answer takes 1.6 s. Replicas would break off the stream.
    check(
        &[(2, 1500)],
        &expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1500 ms"
        ],
    );
    // A silence would let it begin late, whether it ends before the switch or not.
    let reserve_ms = u64::try_from(SWITCH_RESERVE.as_millis()).unwrap();
    for bound_ms in [1100, 1600, 1900] {
        let switch_ms = u64::saturating_sub(bound_ms, reserve_ms);
        let expected = expect!["r2 in 119 ms, version Some(2)"];
        check(&[(2, switch_ms)], &expected);
    }
    assert!(SWITCH_RESERVE > MAX_SOUND_SILENCE);
    // An answer of unknown length may last longer than any other.
    assert_eq!(engine().answer_ms(RequestSize::default()), None);
}

/// Guards against requests that begin on old weights because their replica counts their time only from the end of a silence.
#[test]
fn requests_that_cannot_bear_a_silence_get_no_time_for_it() {
    let check = |pending, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0)],
            answer: 8,
            pending,
            ..Case::default()
        };
        check(&case, &expected);
    };
    check(
        &[(2, 1900)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1900 ms, ends before"
        ],
    );
    check(
        &[(2, 1800)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 1800 ms, ends before unless silent"
        ],
    );
}

/// Guards against requests that begin on old weights while the entry that sent them is starved: right before the switch, those
/// with short answers had no time limit at their replica.
#[test]
fn requests_with_short_answers_end_before_the_switch_or_are_not_sent() {
    let check = |pending, expected: Expect| {
        let case = Case {
            replicas: &[("r1", "a", Some(1), 0)],
            answer: 20,
            pending,
            ..Case::default()
        };
        check(&case, &expected);
    };
    check(
        &[(2, 500)],
        expect![
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 500 ms, ends before unless silent"
        ],
    );
    check(&[(2, 400)], expect!["none usable"]);
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

/// Guards against streams that are cut at the switch of a known version which they do not end before, because they would end
/// before one that is not known: they may run on if they have begun.
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
            "r1 in 113 ms, version None, another one asked after 1040 ms, withdrawn after 4000 ms, ends before"
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
            "r1 in 113 ms, version Some(2), another one asked after 1040 ms, withdrawn after 4000 ms, ends before"
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
    check(&replicas[..1], 2900, &expect!["none usable"]);
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
