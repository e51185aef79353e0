//! Which replica a request goes to, and when it is refused.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{
    ChoiceRequest, EngineProfile, HealthTable, LoadBoard, LoadedModel, NextSwitch, NoReplica,
    Replica, ReplicaCatalog, ReplicaOutcome, ReplicaState, RequestSize, VersionDemand,
    choose_replica,
};

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
        usual_prompt: 979.0,
        usual_answer: 92.0,
        pieces: 96,
        load_time: Duration::from_millis(300),
    }
}

/// A replica: id, zone, version, running requests.
type Row = (&'static str, &'static str, Option<u64>, u32);

struct Case<'a> {
    replicas: &'a [Row],
    prompt: u32,
    patience_ms: f64,
    oldest_allowed: u64,
    failed: &'a [&'a str],
    next_switch: Option<NextSwitch>,
}

impl Default for Case<'_> {
    fn default() -> Self {
        Self {
            replicas: &[],
            prompt: 900,
            patience_ms: 380.0,
            oldest_allowed: 0,
            failed: &[],
            next_switch: None,
        }
    }
}

fn check(case: &Case<'_>, expected: &Expect) {
    let now = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let mut board = LoadBoard::default();
    let mut health = HealthTable::default();
    for (id, zone, version, running) in case.replicas {
        catalog.put(Replica {
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
            born_ms: None,
        });
        for _ in 0..*running {
            board.sent(id, 0);
        }
    }
    for id in case.failed {
        health.note(id, ReplicaOutcome::Unreachable, now);
    }
    let engine = engine();
    let request = ChoiceRequest {
        service: "pool",
        engine: Some(&engine),
        zone: "a",
        size: RequestSize {
            prompt_tokens: case.prompt,
            max_answer_tokens: 100,
        },
        demand: Some(VersionDemand {
            newest: 2,
            oldest_allowed: case.oldest_allowed,
            next_switch: case.next_switch,
        }),
        tried: &[],
        patience_ms: case.patience_ms,
        idle_delay_ms: 100.0,
        pick: 0.0,
        entries: 1,
    };
    let text = match choose_replica(&request, &catalog, &board, &health, now) {
        Ok(it) => format!(
            "{} in {:.0} ms, version {:?}",
            it.replica.id, it.predicted_ms, it.expect_version
        ),
        Err(NoReplica::NoneUsable) => "none usable".to_owned(),
        Err(NoReplica::Overloaded(predicted)) => format!("overloaded, {predicted:.0} ms"),
    };
    expected.assert_eq(&text);
}

#[test]
fn the_shortest_wait_wins_and_the_own_zone_breaks_ties() {
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
        &expect!["r2 in 113 ms, version None"],
    );
    let replicas: &[Row] = &[("r1", "b", Some(1), 2), ("r2", "a", Some(1), 18)];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["r1 in 114 ms, version None"],
    );
}

#[test]
fn full_replicas_refuse_at_once() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 22)];
    check(
        &Case {
            replicas,
            ..Case::default()
        },
        &expect!["overloaded, 860 ms"],
    );
}

/// A request that came back late was refused for its own long prompt although replicas were idle.
#[test]
fn idle_replicas_take_late_and_large_requests() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 1)];
    let late = Case {
        replicas,
        prompt: 3900,
        patience_ms: 0.0,
        ..Case::default()
    };
    check(&late, &expect!["r1 in 306 ms, version None"]);
    let replicas: &[Row] = &[("r1", "a", Some(1), 18)];
    let late = Case {
        replicas,
        prompt: 3900,
        patience_ms: 0.0,
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
        &expect!["r1 in 113 ms, version None"],
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
fn unreachable_replicas_rest_unless_all_are() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 0), ("r2", "b", Some(1), 9)];
    check(
        &Case {
            replicas,
            failed: &["r1"],
            ..Case::default()
        },
        &expect!["r2 in 117 ms, version None"],
    );
    check(
        &Case {
            replicas,
            failed: &["r1", "r2"],
            ..Case::default()
        },
        &expect!["r1 in 113 ms, version None"],
    );
}

#[test]
fn load_of_other_entries_counts_until_they_fall_silent() {
    let now = Instant::now();
    let mut one = LoadBoard::default();
    one.sent("r1", 700);
    one.sent("r1", 300);
    one.first_event("r1", 300);
    let mut other = LoadBoard::default();
    other.sent("r1", 50);
    other.heard("one", one.own_samples(), now);
    let total = |board: &LoadBoard| board.load("r1").total();
    assert_eq!(
        (total(&other).running, total(&other).unread_tokens),
        (3, 750)
    );
    other.expire(now + Duration::from_secs(2));
    assert_eq!(
        (total(&other).running, total(&other).unread_tokens),
        (1, 50)
    );
    other.ended("r1", 50);
    assert_eq!(other.own_samples(), BTreeMap::new());
}

/// A request waited for a second at a replica and began on weights that were out of force by then.
#[test]
fn old_weights_get_only_what_begins_in_time() {
    let replicas: &[Row] = &[("r1", "a", Some(1), 0), ("r2", "b", Some(2), 14)];
    let soon = |left| {
        let left = Duration::from_millis(left);
        Case {
            replicas,
            next_switch: Some(NextSwitch { version: 2, left }),
            ..Case::default()
        }
    };
    check(&soon(1000), &expect!["r1 in 113 ms, version None"]);
    check(&soon(300), &expect!["r2 in 119 ms, version None"]);
}
