//! Replica selection within the memory of replicas.

#[path = "support/choice_case.rs"]
mod choice_case;

use choice_case::{Case, Row, check};
use expect_test::{Expect, expect};

const REPLICAS: &[Row] = &[("r1", "a", Some(1), 0), ("r2", "b", Some(1), 0)];

/// Checks the choice for a request of 1,000 tokens, at replicas that hold up to 10,000.
fn check_memory(own_tokens: &[(&str, u64)], others: &[(&str, u32)], expected: &Expect) {
    let case = Case {
        replicas: REPLICAS,
        token_capacity: Some(10_000),
        own_tokens,
        others,
        ..Case::default()
    };
    check(&case, expected);
}

/// Guards against sends that exceed the memory of a replica, which crashes then: by this entry's requests, by those of others, whose
/// sizes it does not know, and by both.
#[test]
fn requests_fit_into_the_memory_of_their_replica() {
    let check = check_memory;
    let nearest = expect!["r1 in 113 ms, version Some(1)"];
    let other = expect!["r2 in 113 ms, version Some(1)"];
    check(&[], &[], &nearest);
    check(&[("r1", 7000)], &[], &nearest);
    check(&[("r1", 7001)], &[], &other);
    check(&[], &[("r1", 8)], &other);
    check(&[("r1", 4000)], &[("r1", 1)], &other);
    check(&[("r1", 7001), ("r2", 7001)], &[], &expect!["full"]);
}

/// Guards against requests of unknown size that count as nothing.
#[test]
fn requests_without_a_declared_size_count_as_long() {
    for (prompt, answer) in [(0, 100), (900, 0), (0, 0)] {
        let case = Case {
            replicas: REPLICAS,
            prompt,
            answer,
            token_capacity: Some(2000),
            ..Case::default()
        };
        check(&case, &expect!["full"]);
    }
}

/// Guards against deployments that name no capacity and would be restricted by an estimate.
#[test]
fn memory_without_a_stated_capacity_restricts_nothing() {
    let case = Case {
        replicas: REPLICAS,
        own_tokens: &[("r1", u64::MAX)],
        ..Case::default()
    };
    check(&case, &expect!["r1 in 113 ms, version Some(1)"]);
}
