//! Which versions of weights a request may begin on.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{SwitchDeadlines, VersionTable};

const SWITCH: Duration = Duration::from_secs(7);

/// One event: second, version, and how long the version is known (`None`: unknown).
enum Event {
    Declared(u64, u64),
    FoundAtStart(u64),
    Told { at: u64, version: u64, age: u64 },
}

fn check(events: &[Event], at: u64, expected: &Expect) {
    let start = Instant::now() + Duration::from_secs(100);
    let second = |it: u64| start + Duration::from_secs(it);
    let mut table = VersionTable::new(SWITCH);
    for event in events {
        match *event {
            Event::Declared(time, version) => {
                table.declare("m", version, Some(second(time)));
            }
            Event::FoundAtStart(version) => {
                table.declare("m", version, None);
            }
            Event::Told { at, version, age } => {
                table.learn_time("m", version, second(at) - Duration::from_secs(age));
            }
        }
    }
    let demand = table.demand("m", second(at));
    expected.assert_eq(&demand.map_or("none".to_owned(), |it| {
        format!("newest {}, oldest allowed {}", it.newest, it.oldest_allowed)
    }));
}

#[test]
fn a_version_is_in_force_after_the_switch_time() {
    use Event::Declared;
    check(&[], 0, &expect!["none"]);
    check(&[Declared(0, 2)], 6, &expect!["newest 2, oldest allowed 0"]);
    check(&[Declared(0, 2)], 7, &expect!["newest 2, oldest allowed 2"]);
    let both = [Declared(0, 2), Declared(2, 3)];
    check(&both, 6, &expect!["newest 3, oldest allowed 0"]);
    check(&both, 8, &expect!["newest 3, oldest allowed 2"]);
    check(&both, 9, &expect!["newest 3, oldest allowed 3"]);
}

/// An entry that restarted took an old declaration for a new one and sent requests to replicas that were out of date.
#[test]
fn what_a_restarted_process_finds_is_in_force_at_once() {
    check(
        &[Event::FoundAtStart(3)],
        0,
        &expect!["newest 3, oldest allowed 3"],
    );
}

#[test]
fn other_entries_tell_the_time_of_a_declaration() {
    let told = [
        Event::FoundAtStart(3),
        Event::Told {
            at: 1,
            version: 3,
            age: 4,
        },
    ];
    check(&told, 1, &expect!["newest 3, oldest allowed 0"]);
    check(&told, 4, &expect!["newest 3, oldest allowed 3"]);
}

/// The store keeps only the newest declaration, so a restarted entry did not know the one before, which was in force.
#[test]
fn other_entries_tell_of_versions_that_newer_ones_hide() {
    let told = [
        Event::FoundAtStart(3),
        Event::Told {
            at: 1,
            version: 3,
            age: 4,
        },
        Event::Told {
            at: 1,
            version: 2,
            age: 8,
        },
    ];
    check(&told, 1, &expect!["newest 3, oldest allowed 2"]);
}

#[test]
fn what_is_told_begins_with_the_version_in_force() {
    let start = Instant::now() + Duration::from_secs(100);
    let second = |it: u64| start + Duration::from_secs(it);
    let mut table = VersionTable::new(SWITCH);
    for (at, version) in [(0, 2), (1, 3), (5, 4)] {
        table.declare("m", version, Some(second(at)));
    }
    let told = |at: u64| {
        let recent = table.recent(second(at));
        recent.into_iter().map(|it| it.1).collect::<Vec<_>>()
    };
    assert_eq!(told(6), [4, 3, 2]);
    assert_eq!(told(8), [4, 3]);
    assert_eq!(told(12), Vec::<u64>::new());
}

/// A version that was skipped for a newer one kept its deadline at the entries, but agents spread their loads up to that of
/// the newer one: most replicas were of no use in between.
#[test]
fn a_skipped_version_keeps_its_deadline() {
    let start = Instant::now();
    let second = |it: u64| start + Duration::from_secs(it);
    let mut deadlines = SwitchDeadlines::new(SWITCH);
    deadlines.declare(2, second(10));
    deadlines.declare(3, second(13));
    deadlines.declare(3, second(15));
    assert_eq!(deadlines.deadline(1), Some(second(17)));
    assert_eq!(deadlines.deadline(2), Some(second(20)));
    assert_eq!(deadlines.deadline(3), None);
}

#[test]
fn an_older_version_is_finished_where_the_newest_would_come_too_late() {
    let start = Instant::now();
    let second = |it: u64| start + Duration::from_secs(it);
    let mut deadlines = SwitchDeadlines::new(SWITCH);
    deadlines.declare(2, second(10));
    assert!(deadlines.is_wanted(2, second(11)));
    deadlines.declare(3, second(11));
    assert!(!deadlines.is_wanted(2, second(13)));
    assert!(deadlines.is_wanted(2, second(14)));
    assert!(deadlines.is_wanted(3, second(14)));
}
