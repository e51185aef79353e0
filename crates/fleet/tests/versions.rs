//! Which versions of weights may serve a request.

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{DeclarationChange, StoreInterval, SwitchDeadlines, VersionTable};

const SWITCH: Duration = Duration::from_secs(7);

/// Ways in which a process discovers a version; times are in seconds.
enum Event {
    Declared(u64, u64),
    FoundAtStart(u64),
    Received { at: u64, version: u64, age: u64 },
}

/// Returns a time on the store's clock, which has been running for a while.
fn second(seconds: u64) -> u64 {
    (100 + seconds) * 1000
}

/// Returns the interval of a declaration whose time is known exactly.
fn exactly(seconds: u64) -> StoreInterval {
    between(seconds, seconds)
}

fn between(not_before: u64, not_after: u64) -> StoreInterval {
    StoreInterval {
        not_before_ms: second(not_before),
        not_after_ms: second(not_after),
    }
}

fn check(events: &[Event], at: u64, expected: &Expect) {
    let mut table = VersionTable::new(SWITCH);
    for event in events {
        match *event {
            Event::Declared(time, version) => table.declare("m", version, exactly(time)),
            Event::FoundAtStart(version) => {
                table.declare("m", version, StoreInterval::until(second(1)))
            }
            Event::Received { at, version, age } => {
                let time = second(at) - age * 1000;
                let declared = StoreInterval {
                    not_before_ms: time,
                    not_after_ms: time,
                };
                table.declare("m", version, declared)
            }
        };
    }
    let requirement = table.requirement("m", Some(second(at)));
    expected.assert_eq(&requirement.map_or("none".to_owned(), |it| {
        format!("newest {}, oldest allowed {}", it.newest, it.oldest_allowed)
    }));
}

/// Guards against VERSION: older weights stayed allowed for longer than the earliest possible time of the declaration.
#[test]
fn a_version_takes_effect_by_the_earliest_time_of_its_declaration() {
    let check = |messages: &[StoreInterval], latest: Option<u64>, expected_s: u64| {
        let mut table = VersionTable::new(SWITCH);
        for declared in messages {
            table.declare("m", 2, *declared);
        }
        let requirement = table.requirement("m", latest.map(second)).unwrap();
        let time_to_switch = requirement.time_to_switch(Some(1)).unwrap_or_default();
        assert_eq!(
            time_to_switch,
            Duration::from_secs(expected_s),
            "{messages:?}"
        );
    };
    check(&[between(0, 3)], Some(4), 3);
    check(&[between(0, 3)], Some(7), 0);
    // Other messages narrow it, in any order.
    check(&[between(0, 3), between(1, 4)], Some(4), 4);
    check(&[between(1, 4), between(0, 3)], Some(4), 4);
    check(
        &[StoreInterval::until(second(4)), between(2, 3)],
        Some(4),
        5,
    );
    // The earlier one of two that contradict each other counts.
    check(&[between(0, 1), between(3, 4)], Some(4), 3);
    check(&[between(3, 4), between(0, 1)], Some(4), 3);
    // A declaration that may be arbitrarily old, without a clock, or on another clock, may be in effect.
    check(&[StoreInterval::until(second(4))], Some(4), 0);
    check(&[between(0, 3)], None, 0);
    check(&[between(9, 9)], Some(4), 0);
}

#[test]
fn a_declaration_reports_what_it_has_changed() {
    use DeclarationChange::{Contradicted, Narrowed, New, None};
    let mut table = VersionTable::new(SWITCH);
    let mut declare = |declared| table.declare("m", 2, declared);
    assert_eq!(declare(between(0, 5)), New);
    assert_eq!(declare(between(0, 6)), None);
    assert_eq!(declare(between(1, 5)), Narrowed(between(0, 5)));
    // A contradiction is reported once.
    assert_eq!(declare(between(7, 8)), Contradicted(between(1, 5)));
    assert_eq!(declare(between(7, 8)), None);
    // A clock that was set back makes earlier times of it too late.
    table.set_back(Duration::from_secs(2));
    assert_eq!(
        table.declared("m", 2).unwrap().not_before_ms,
        second(1) - 2000
    );
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
    let mut table = VersionTable::new(SWITCH);
    table.declare("m", 2, exactly(0));
    let mut late_table = VersionTable::new(SWITCH);
    late_table.declare("m", 2, between(0, 8));
    for (model, version, declared) in table.recent_declarations(Some(second(9))) {
        late_table.declare(model, version, declared);
    }
    let requirement = late_table.requirement("m", Some(second(9))).unwrap();
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
    let mut table = VersionTable::new(SWITCH);
    let mut declare = |version, at| table.declare("m", version, exactly(at));
    assert_eq!(declare(3, 0), DeclarationChange::New);
    assert_eq!(declare(2, 8), DeclarationChange::None);
    // A version that may still be in effect is.
    assert_eq!(declare(2, 1), DeclarationChange::New);
    assert_eq!(declare(2, 1), DeclarationChange::None);
}

#[test]
fn recent_declarations_include_the_version_in_effect() {
    let mut table = VersionTable::new(SWITCH);
    for (at, version) in [(0, 2), (1, 3), (5, 4)] {
        table.declare("m", version, exactly(at));
    }
    let versions = |at: u64| {
        let recent = table.recent_declarations(Some(second(at)));
        recent.into_iter().map(|it| it.1).collect::<Vec<_>>()
    };
    assert_eq!(versions(6), [4, 3, 2]);
    assert_eq!(versions(8), [4, 3]);
    assert_eq!(versions(12), [4]);
}

/// Guards against VERSION at an entry that starts between two declarations, or was out of touch over both: it learned the time
/// of the newest one only, and allowed for as long what the one before forbids.
#[test]
fn a_row_may_hide_versions_that_it_has_replaced() {
    let check = |known: &[u64], copy_complete_ms: u64, expected_s: u64| {
        let mut table = VersionTable::new(SWITCH);
        for version in known {
            table.declare("m", *version, exactly(*version));
        }
        let declared = table.declared_by_row("m", 5, exactly(9), copy_complete_ms);
        table.declare("m", 5, declared);
        let requirement = table.requirement("m", Some(second(9))).unwrap();
        let time_to_switch = requirement.time_to_switch(Some(2)).unwrap_or_default();
        assert_eq!(time_to_switch, Duration::from_secs(expected_s), "{known:?}");
    };
    check(&[3, 4], second(5), 1);
    check(&[4], second(5), 2);
    // Version 3 or 4 was declared when the copy was read, or later.
    check(&[], second(5), 3);
    // Without a copy, they may have been declared long ago.
    check(&[], 0, 0);
}

/// Guards against the same at an entry that was told the time of the newest version by another one that had just started.
#[test]
fn the_time_of_a_version_is_told_with_those_before_it() {
    let mut told = VersionTable::new(SWITCH);
    told.declare("m", 4, StoreInterval::until(second(6)));
    let mut started = VersionTable::new(SWITCH);
    started.declare("m", 3, StoreInterval::until(second(4)));
    // Nothing is told of versions whose time is unknown; they may be long in effect.
    assert_eq!(started.recent_declarations(Some(second(5))), []);
    started.declare("m", 4, exactly(5));
    for earliest_ms in [None, Some(second(6))] {
        let mut told = told.clone();
        for (model, version, declared) in started.recent_declarations(earliest_ms) {
            told.declare(model, version, declared);
        }
        let requirement = told.requirement("m", Some(second(6))).unwrap();
        assert_eq!(requirement.oldest_allowed, 3);
    }
}

/// Guards against agents using the deadline of the newest version only: entries enforced the earlier deadline of a
/// skipped version, so most replicas were too old until they had loaded the newest one.
#[test]
fn a_skipped_version_keeps_its_deadline() {
    let time = |seconds: u64| Some(Duration::from_millis(second(seconds)));
    let mut deadlines = SwitchDeadlines::new(SWITCH, Duration::ZERO);
    deadlines.declare(2, exactly(10));
    deadlines.declare(3, exactly(13));
    deadlines.declare(3, exactly(15));
    assert_eq!(deadlines.deadline(1), time(17));
    assert_eq!(deadlines.deadline(2), time(20));
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
        let mut deadlines = SwitchDeadlines::new(SWITCH, Duration::ZERO);
        for (version, declared_ms) in self.declared {
            let declared = StoreInterval {
                not_before_ms: *declared_ms,
                not_after_ms: *declared_ms,
            };
            deadlines.declare(*version, declared);
        }
        let staged_share = |version: u64| {
            let staged = self.staged.iter().find(|it| it.0 == version);
            staged.map_or(0.0, |it| f64::from(it.1) / 100.0)
        };
        let version = deadlines.version_to_load(
            self.serving,
            staged_share,
            Some(Duration::from_millis(at_ms)),
        );
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

/// Guards against requests that outlast a version which is declared after they were sent: it is bounded by the last time at
/// which a copy of the operator's rows was complete.
#[test]
fn an_unknown_version_takes_effect_no_earlier_than_the_copy_allows() {
    let check = |copy_complete_ms, latest_ms, expected_ms: Option<u64>| {
        let table = VersionTable::new(SWITCH);
        let time = table.time_to_unknown_switch(copy_complete_ms, latest_ms);
        assert_eq!(time, expected_ms.map(Duration::from_millis));
    };
    check(second(9), Some(second(10)), Some(6000));
    // The copy was complete too long ago, for example because the store is down.
    check(second(9), Some(second(30)), Some(0));
    // No copy was complete, or the store's clock is not known.
    check(0, Some(second(10)), None);
    check(second(9), None, None);
}
