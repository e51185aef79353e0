//! Replica selection under home regions and evacuations, and what is known of both.

#[path = "support/choice_case.rs"]
mod choice_case;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use choice_case::{Case, Row, check};
use expect_test::{Expect, expect};
use fleet::{ColdTable, EvacuationTable, Replica, ReplicaState};

const REPLICAS: &[Row] = &[
    ("r1", "a", Some(1), 0),
    ("r2", "b", Some(1), 0),
    ("r3", "c", Some(1), 9),
];

fn check_placement(homes: [&[&str]; 2], evacuated: &[&str], expected: &Expect) {
    let case = Case {
        replicas: REPLICAS,
        homes,
        evacuated,
        ..Case::default()
    };
    check(&case, expected);
}

/// Guards against HOME: requests that are served outside the home regions of their route or tenant, because a replica elsewhere is
/// nearer or less loaded.
#[test]
fn requests_stay_in_the_homes_of_both_route_and_tenant() {
    let check = check_placement;
    let nearest = expect!["r1 in 113 ms, version Some(1)"];
    check([&[], &[]], &[], &nearest);
    check([&["x"], &[]], &[], &nearest);
    let in_home = expect!["r2 in 113 ms, version Some(1)"];
    check([&["y"], &[]], &[], &in_home);
    check([&[], &["y"]], &[], &in_home);
    check([&["x", "y"], &["y"]], &[], &in_home);
    let excluded = expect!["excluded: homes"];
    check([&["x"], &["y"]], &[], &excluded);
    check([&["unknown"], &[]], &[], &excluded);
}

/// Guards against EVAC: requests that are sent to a zone that the operator has evacuated.
#[test]
fn evacuated_zones_get_no_requests() {
    let check = check_placement;
    check(
        [&[], &[]],
        &["a"],
        &expect!["r2 in 113 ms, version Some(1)"],
    );
    check(
        [&["y"], &[]],
        &["b"],
        &expect!["r3 in 117 ms, version Some(1)"],
    );
    let none_left = expect!["excluded: evacuated"];
    check([&["x"], &[]], &["a"], &none_left);
    check([&[], &[]], &["a", "b", "c"], &none_left);
}

/// Guards against an evacuation that ends by mistake, because the store has returned from a copy that is older than it.
#[test]
fn an_evacuation_outlasts_an_older_copy_of_the_store() {
    let now = Instant::now();
    let later = |seconds| now + Duration::from_secs(seconds);
    let mut table = EvacuationTable::default();
    assert!(table.begin("a"));
    assert!(!table.begin("a"));
    assert!(!table.end("a", true, now));
    assert!(table.expire(later(4)).is_empty());
    assert!(!table.begin("a"), "the operator has written it again");
    assert!(table.expire(later(60)).is_empty());
    assert!(!table.end("a", true, later(60)));
    assert_eq!(table.expire(later(66)), ["a"]);
    assert!(table.begin("a"));
    assert!(table.end("a", false, later(70)));
    assert!(table.is_empty());
}

/// Guards against FAILBACK: a zone that is taken back gets its usual load at once, although its replicas are cold and no row says so
/// yet.
#[test]
fn replicas_of_a_zone_that_is_taken_back_count_as_cold() {
    let now = Instant::now();
    let later = |millis| now + Duration::from_millis(millis);
    let replica = |id: &str, zone: &str| Replica {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        service: "pool".to_owned(),
        zone: zone.to_owned(),
        slots: 12,
        state: ReplicaState::Ready,
        models: Vec::new(),
        started_ms: Some(1),
        cold_left: Duration::ZERO,
    };
    let (returned, other) = (replica("r1", "a"), replica("r2", "b"));
    let mut table = ColdTable::default();
    assert_eq!(table.cold_until(&returned, now), None);
    table.record_return("a", Duration::from_secs(3), now);
    // A row from before the return does not end it.
    table.record_replica(returned.lifetime(), Duration::ZERO, false, later(100));
    assert_eq!(table.cold_until(&returned, later(200)), Some(later(3000)));
    assert_eq!(table.cold_until(&other, later(200)), None);
    assert_eq!(table.cold_until(&returned, later(3000)), None);
    // Rows extend and end what they have said themselves.
    let cold = Duration::from_millis(2500);
    assert!(table.record_replica(other.lifetime(), cold, false, later(3000)));
    assert_eq!(table.cold_until(&other, later(3100)), Some(later(5500)));
    // A row of an older copy of the store may be from before.
    assert!(!table.record_replica(other.lifetime(), Duration::ZERO, true, later(3200)));
    assert_eq!(table.cold_until(&other, later(3300)), Some(later(5500)));
    assert!(!table.record_replica(other.lifetime(), Duration::ZERO, false, later(4000)));
    assert_eq!(table.cold_until(&other, later(4000)), None);
}
