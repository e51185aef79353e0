//! Which versions of weights may serve a request.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{SwitchDeadlines, VersionTable};

const SWITCH: Duration = Duration::from_secs(7);

/// Ways in which a process discovers a version; times are in seconds.
enum Event {
    Declared(u64, u64),
    FoundAtStart(u64),
    Received { at: u64, version: u64, age: u64 },
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
            Event::Received { at, version, age } => {
                table.record_known_time("m", version, second(at) - Duration::from_secs(age));
            }
        }
    }
    let requirement = table.requirement("m", second(at));
    expected.assert_eq(&requirement.map_or("none".to_owned(), |it| {
        format!("newest {}, oldest allowed {}", it.newest, it.oldest_allowed)
    }));
}

#[test]
fn a_version_takes_effect_after_the_switch_time() {
    use Event::Declared;
    check(&[], 0, &expect!["none"]);
    check(&[Declared(0, 2)], 6, &expect!["newest 2, oldest allowed 0"]);
    check(&[Declared(0, 2)], 7, &expect!["newest 2, oldest allowed 2"]);
    let both = [Declared(0, 2), Declared(2, 3)];
    check(&both, 6, &expect!["newest 3, oldest allowed 0"]);
    check(&both, 8, &expect!["newest 3, oldest allowed 2"]);
    check(&both, 9, &expect!["newest 3, oldest allowed 3"]);
}

/// Guards against a restarted entry mistaking an old declaration for a new one: it sent requests to replicas with old
/// weights.
#[test]
fn versions_found_at_start_take_effect_at_once() {
    check(
        &[Event::FoundAtStart(3)],
        0,
        &expect!["newest 3, oldest allowed 3"],
    );
}

#[test]
fn other_entries_supply_the_time_of_a_declaration() {
    let events = [
        Event::FoundAtStart(3),
        Event::Received {
            at: 1,
            version: 3,
            age: 4,
        },
    ];
    check(&events, 1, &expect!["newest 3, oldest allowed 0"]);
    check(&events, 4, &expect!["newest 3, oldest allowed 3"]);
}

/// The store keeps only the newest declaration, so a restarted entry does not find the previous version, which is still
/// the one in effect.
#[test]
fn other_entries_supply_replaced_versions() {
    let events = [
        Event::FoundAtStart(3),
        Event::Received {
            at: 1,
            version: 3,
            age: 4,
        },
        Event::Received {
            at: 1,
            version: 2,
            age: 8,
        },
    ];
    check(&events, 1, &expect!["newest 3, oldest allowed 2"]);
}

/// Guards against an entry that reads the store late and ignores what other entries say of the version until then.
#[test]
fn a_version_is_known_as_soon_as_another_entry_reports_it() {
    let reported = [Event::Received {
        at: 1,
        version: 2,
        age: 1,
    }];
    check(&reported, 6, &expect!["newest 2, oldest allowed 0"]);
    check(&reported, 7, &expect!["newest 2, oldest allowed 2"]);
    // The store confirms it later.
    let confirmed = [
        Event::Received {
            at: 1,
            version: 2,
            age: 1,
        },
        Event::Declared(3, 2),
    ];
    check(&confirmed, 7, &expect!["newest 2, oldest allowed 2"]);
}

/// Guards against an entry that was frozen until a version had taken effect: the others no longer reported its age, so
/// that entry allowed older weights for the whole switch time again.
#[test]
fn an_entry_that_reads_a_declaration_late_learns_its_age() {
    let start = Instant::now();
    let second = |it: u64| start + Duration::from_secs(it);
    let mut table = VersionTable::new(SWITCH);
    table.declare("m", 2, Some(second(0)));
    let mut late_table = VersionTable::new(SWITCH);
    late_table.declare("m", 2, Some(second(8)));
    for (model, version, age) in table.recent_declarations(second(9)) {
        late_table.record_known_time(model, version, second(9) - age);
    }
    let requirement = late_table.requirement("m", second(9)).unwrap();
    assert_eq!(requirement.oldest_allowed, 2);
}

/// Guards against a quick succession of versions that keeps all of them from taking effect: only the newest eight were
/// stored, which were all younger than the switch time.
#[test]
fn versions_in_quick_succession_take_effect() {
    use Event::Declared;
    let declared: Vec<Event> = (0..14).map(|it| Declared(it / 2, it + 2)).collect();
    check(&declared, 6, &expect!["newest 15, oldest allowed 0"]);
    check(&declared, 7, &expect!["newest 15, oldest allowed 3"]);
    check(&declared, 9, &expect!["newest 15, oldest allowed 7"]);
}

/// Guards against announcing a version again at each report of an entry that does not know of its replacement yet.
#[test]
fn a_version_that_has_been_replaced_is_not_new() {
    let start = Instant::now();
    let second = |it: u64| start + Duration::from_secs(it);
    let mut table = VersionTable::new(SWITCH);
    assert!(table.declare("m", 3, Some(second(0))));
    assert!(!table.record_known_time("m", 2, second(8)));
    // A version that may still be in effect is.
    assert!(table.record_known_time("m", 2, second(1)));
    assert!(!table.record_known_time("m", 2, second(1)));
}

#[test]
fn recent_declarations_include_the_version_in_effect() {
    let start = Instant::now() + Duration::from_secs(100);
    let second = |it: u64| start + Duration::from_secs(it);
    let mut table = VersionTable::new(SWITCH);
    for (at, version) in [(0, 2), (1, 3), (5, 4)] {
        table.declare("m", version, Some(second(at)));
    }
    let versions = |at: u64| {
        let recent = table.recent_declarations(second(at));
        recent.into_iter().map(|it| it.1).collect::<Vec<_>>()
    };
    assert_eq!(versions(6), [4, 3, 2]);
    assert_eq!(versions(8), [4, 3]);
    assert_eq!(versions(12), [4]);
}

/// Guards against agents using the deadline of the newest version only: entries enforced the earlier deadline of a
/// skipped version, so most replicas were too old until they had loaded the newest one.
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

/// A moment at which an agent decides which version to load. Times are in milliseconds.
struct LoadCase<'a> {
    /// Versions and when they were declared.
    declared: &'a [(u64, u64)],
    serving: Option<u64>,
    /// Versions and the percentage of their pieces that are staged.
    staged: &'a [(u64, u32)],
}

impl LoadCase<'_> {
    fn check(&self, at_ms: u64, expected: u64) {
        let start = Instant::now();
        let time = |ms: u64| start + Duration::from_millis(ms);
        let mut deadlines = SwitchDeadlines::new(SWITCH);
        for (version, declared_ms) in self.declared {
            deadlines.declare(*version, time(*declared_ms));
        }
        let staged_share = |version: u64| {
            let staged = self.staged.iter().find(|it| it.0 == version);
            staged.map_or(0.0, |it| f64::from(it.1) / 100.0)
        };
        let version = deadlines.version_to_load(self.serving, staged_share, time(at_ms));
        assert_eq!(
            version, expected,
            "{:?}, serving {:?}, staged {:?} at {at_ms} ms",
            self.declared, self.serving, self.staged
        );
    }
}

/// Guards against a replica that loads a version which is replaced at once, and has the newest one too late.
#[test]
fn a_version_is_skipped_while_the_newest_one_can_be_loaded_in_time() {
    let check = |declared, serving, staged, at_ms, expected| {
        let case = LoadCase {
            declared,
            serving,
            staged,
        };
        case.check(at_ms, expected);
    };
    check(&[(2, 10_000)], Some(1), &[], 10_000, 2);
    let both = &[(2, 10_000), (3, 12_000)];
    check(both, Some(1), &[], 12_000, 3);
    check(both, Some(1), &[(2, 60)], 12_000, 3);
    check(both, Some(1), &[(2, 100)], 12_000, 3);
    check(both, Some(2), &[(2, 100)], 12_000, 3);
    // The newest of three is whole in time as well.
    let all = &[(2, 10_000), (3, 12_000), (4, 13_000)];
    check(all, Some(1), &[(3, 30)], 13_000, 4);
}

/// Guards against a pool without any allowed version: the origin went away just after the second of two declarations, and
/// the first version, which was staged, had been given up.
#[test]
fn a_staged_version_is_loaded_if_the_newest_one_does_not_arrive() {
    let check = |staged, at_ms, expected| {
        let case = LoadCase {
            declared: &[(2, 10_000), (3, 13_000)],
            serving: Some(1),
            staged,
        };
        case.check(at_ms, expected);
    };
    check(&[(2, 100)], 14_000, 3);
    check(&[(2, 100)], 16_000, 2);
    check(&[(2, 100), (3, 50)], 16_000, 3);
    // Version 2 may hardly be served any more.
    check(&[(2, 100)], 19_100, 3);
    // The missing part takes longer than it gains.
    check(&[(2, 40)], 16_000, 3);
}

/// Guards against a restarted replica that discards the staged pieces of the newest version for the sake of an older one.
#[test]
fn an_empty_replica_loads_the_newest_version() {
    for staged in [&[][..], &[(3, 60)]] {
        let case = LoadCase {
            declared: &[(2, 10_000), (3, 19_000)],
            serving: None,
            staged,
        };
        for at_ms in [19_100, 21_000, 24_000, 25_900] {
            case.check(at_ms, 3);
        }
    }
}
