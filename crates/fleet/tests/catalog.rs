//! The replica catalog during drains, restarts and outages of the store.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{
    LoadedModel, Replica, ReplicaCatalog, ReplicaState, RowOrigin, StorePosition, active_replicas,
};

fn replica(id: &str, state: ReplicaState, started_ms: u64) -> Replica {
    Replica {
        id: id.to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        service: "pool".to_owned(),
        zone: "a".to_owned(),
        slots: 16,
        state,
        models: vec![LoadedModel {
            name: "m".to_owned(),
            version: 1,
        }],
        started_ms: Some(started_ms),
        cold_left: std::time::Duration::ZERO,
    }
}

/// Returns the origin of a row at `version` of the first life of the store.
fn origin(version: u64) -> RowOrigin {
    RowOrigin {
        position: StorePosition::new(0, version),
        from_copy: false,
        after_outage: false,
    }
}

/// Returns the origin of a removal.
fn removal(after_outage: bool) -> RowOrigin {
    RowOrigin {
        after_outage,
        ..origin(2)
    }
}

enum Event {
    Put(&'static str, ReplicaState, u64),
    Remove(&'static str),
    Outage,
    Sync,
    Expire,
}

/// Applies events, each at a number of milliseconds after the start, and prints the ready replicas after each.
fn check(events: &[(u64, Event)], expected: &Expect) {
    let start = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let mut lines = String::new();
    // Rows that are read between these events are marked as found after an outage.
    let mut after_outage = false;
    for (at, event) in events {
        let now = start + Duration::from_millis(*at);
        let change = match event {
            Event::Put(id, state, started) => {
                format!(
                    "{:?}",
                    catalog.put(replica(id, *state, *started), origin(1), now)
                )
            }
            Event::Remove(id) => format!("{:?}", catalog.remove(id, removal(after_outage), now)),
            Event::Outage => {
                after_outage = true;
                "outage".to_owned()
            }
            Event::Sync => {
                after_outage = false;
                "sync".to_owned()
            }
            Event::Expire => format!("{:?}", catalog.expire(now)),
        };
        let ready: Vec<&str> = catalog
            .ready("pool", now)
            .map(|it| it.id.as_str())
            .collect();
        lines.push_str(&format!("{at} {change} ready {ready:?}\n"));
    }
    expected.assert_eq(&lines);
}

#[test]
fn replicas_are_added_drained_and_removed() {
    use Event::{Put, Remove};
    use ReplicaState::{Draining, Ready};
    check(
        &[
            (0, Put("r1", Ready, 1)),
            (1, Put("r1", Ready, 1)),
            (2, Put("r1", Ready, 9)),
            (3, Put("r1", Draining, 9)),
            (4, Remove("r1")),
            (5, Remove("r1")),
        ],
        &expect![[r#"
            0 Some(Added("r1")) ready ["r1"]
            1 None ready ["r1"]
            2 Some(Added("r1")) ready ["r1"]
            3 Some(Draining("r1")) ready []
            4 Some(Gone("r1")) ready []
            5 None ready []
        "#]],
    );
}

#[test]
fn replicas_that_lapsed_during_an_outage_are_used_until_the_grace_period_ends() {
    use Event::{Expire, Outage, Put, Remove};
    use ReplicaState::Ready;
    check(
        &[
            (0, Put("r1", Ready, 1)),
            (0, Put("r2", Ready, 1)),
            (1000, Outage),
            (5000, Remove("r1")),
            (5000, Remove("r2")),
            (5500, Put("r2", Ready, 1)),
            (6700, Expire),
        ],
        &expect![[r#"
            0 Some(Added("r1")) ready ["r1"]
            0 Some(Added("r2")) ready ["r1", "r2"]
            1000 outage ready ["r1", "r2"]
            5000 Some(Lapsed("r1")) ready ["r1", "r2"]
            5000 Some(Lapsed("r2")) ready ["r1", "r2"]
            5500 None ready ["r1", "r2"]
            6700 [Gone("r1")] ready ["r2"]
        "#]],
    );
}

/// Guards against treating any removal soon after an outage as a lapse: a replica that shut down without draining was
/// then used for the whole grace period, which is longer than a drain may take.
#[test]
fn a_removal_after_the_first_read_is_not_a_lapse() {
    use Event::{Outage, Put, Remove, Sync};
    use ReplicaState::Ready;
    check(
        &[
            (0, Put("r1", Ready, 1)),
            (1000, Outage),
            (5000, Sync),
            (7200, Remove("r1")),
        ],
        &expect![[r#"
            0 Some(Added("r1")) ready ["r1"]
            1000 outage ready ["r1"]
            5000 sync ready ["r1"]
            7200 Some(Gone("r1")) ready []
        "#]],
    );
}

/// A replica must not be ready after the end of its grace period even if `expire` has not run since.
#[test]
fn a_lapsed_replica_is_not_ready_after_its_grace_period() {
    let start = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    catalog.put(
        replica("r1", ReplicaState::Ready, 1),
        origin(1),
        Instant::now(),
    );
    catalog.remove("r1", removal(true), start);
    assert_eq!(
        catalog
            .ready("pool", start + Duration::from_millis(1500))
            .count(),
        1
    );
    assert_eq!(
        catalog
            .ready("pool", start + Duration::from_millis(1700))
            .count(),
        0
    );
}

/// Guards against stale registrations: after a power loss of all hosts, registrations still listed weights that
/// replicas no longer had loaded, and entries sent them requests that were all refused.
#[test]
fn a_replica_without_its_listed_version_is_used_again_once_it_has_one() {
    let mut catalog = ReplicaCatalog::default();
    catalog.put(
        replica("r", ReplicaState::Ready, 1),
        origin(1),
        Instant::now(),
    );
    let version = |catalog: &ReplicaCatalog| catalog.get("r").unwrap().version_of("m");

    assert!(
        !catalog.record_missing_version("r", "m", 2),
        "the catalog already lists another version"
    );
    assert_eq!(version(&catalog), Some(1));
    assert!(catalog.record_missing_version("r", "m", 1));
    assert_eq!(version(&catalog), None);

    let loaded = LoadedModel {
        name: "m".to_owned(),
        version: 1,
    };
    assert!(catalog.update_weights("127.0.0.1:80".parse().unwrap(), &[loaded]));
    assert_eq!(version(&catalog), Some(1));
}

/// Guards against using outdated registrations: after a power loss of all hosts, each entry tried the old ids of all
/// replicas before the new ones.
#[test]
fn only_the_newest_incarnation_at_an_address_is_ready() {
    let ready = |catalog: &ReplicaCatalog| {
        let ids = catalog
            .ready("pool", Instant::now())
            .map(|it| it.id.clone());
        ids.collect::<Vec<_>>()
    };
    let mut catalog = ReplicaCatalog::default();
    catalog.put(
        replica("old", ReplicaState::Ready, 1),
        origin(1),
        Instant::now(),
    );
    catalog.put(
        replica("new", ReplicaState::Ready, 2),
        origin(1),
        Instant::now(),
    );
    assert_eq!(ready(&catalog), ["new"]);
    // A snapshot may list the registrations in any order.
    catalog.put(
        replica("old", ReplicaState::Ready, 1),
        origin(1),
        Instant::now(),
    );
    assert_eq!(ready(&catalog), ["new"]);
    // A registration for another service does not affect this one.
    let other_service = Replica {
        service: "other".to_owned(),
        ..replica("foreign", ReplicaState::Ready, 9)
    };
    catalog.put(other_service, origin(1), Instant::now());
    assert_eq!(ready(&catalog), ["new"]);
}

/// Guards against transfer plans that include agents of draining replicas: these agents may already have stopped.
#[test]
fn draining_replicas_are_not_active() {
    let at = |port: u16, replica: Replica| Replica {
        address: ([127, 0, 0, 1], port).into(),
        ..replica
    };
    let listed = [
        at(1, replica("ready", ReplicaState::Ready, 1)),
        at(2, replica("leaving", ReplicaState::Draining, 1)),
        at(3, replica("old", ReplicaState::Ready, 1)),
        at(3, replica("new", ReplicaState::Ready, 2)),
        at(4, replica("was-ready", ReplicaState::Ready, 1)),
        at(4, replica("leaving-now", ReplicaState::Draining, 2)),
    ];
    let active = active_replicas(listed.into_iter(), "pool");
    let ids: Vec<&str> = active.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["ready", "new"]);
}

/// What a process learns of one lifetime of a replica, in order.
enum Notice {
    /// A row: era, version, state, and whether it may be older than what the process knew.
    Row(u64, u64, ReplicaState, bool),
    /// A removal of the row: era, version, and whether it may be older.
    Removal(u64, u64, bool),
    /// The replica says in a response that it leaves.
    Said,
    /// A row of the next lifetime at the same id.
    Restart(u64, u64),
}

/// Applies notices and prints whether the replica is ready after each.
fn check_departure(notices: &[Notice], expected: &Expect) {
    let now = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let origin = |era: u64, version: u64, from_copy: bool| RowOrigin {
        position: StorePosition::new(era, version),
        from_copy,
        after_outage: from_copy,
    };
    let shown = notices.iter().map(|notice| {
        let ready = ReplicaState::Ready;
        match *notice {
            Notice::Row(era, version, state, from_copy) => {
                catalog.put(replica("r", state, 1), origin(era, version, from_copy), now)
            }
            Notice::Removal(era, version, from_copy) => {
                catalog.remove("r", origin(era, version, from_copy), now)
            }
            Notice::Said => catalog.record_leaving(replica("r", ready, 1).lifetime(), now),
            Notice::Restart(era, version) => {
                catalog.put(replica("r", ready, 2), origin(era, version, false), now)
            }
        };
        let is_ready = catalog.ready("pool", now).count() == 1;
        if is_ready { "ready" } else { "-" }
    });
    let shown = shown.collect::<Vec<_>>().join(" ");
    expected.assert_eq(&shown);
}

/// Guards against DRAIN after the store returned from an older copy: the copy lists replicas as ready that have left, and
/// their departures were taken back.
#[test]
fn departures_outweigh_rows_of_an_older_copy() {
    use Notice::{Removal, Restart, Row, Said};
    use ReplicaState::{Draining, Ready};
    // Draining, then ready in the copy and even in a row written after the return, until a new lifetime.
    check_departure(
        &[
            Row(0, 5, Ready, false),
            Row(0, 9, Draining, false),
            Row(1, 5, Ready, true),
            Row(1, 7, Ready, false),
            Restart(1, 8),
        ],
        &expect!["ready - - - ready"],
    );
    // Removed, then listed in the copy; a row that is written after the return refutes the removal.
    check_departure(
        &[
            Row(0, 5, Ready, false),
            Removal(0, 9, false),
            Row(1, 5, Ready, true),
            Row(1, 11, Ready, false),
        ],
        &expect!["ready - - ready"],
    );
    // Within one life of the store, the later row counts.
    check_departure(
        &[
            Row(0, 5, Ready, false),
            Row(0, 9, Draining, false),
            Row(0, 12, Ready, false),
            Removal(0, 13, false),
            Row(0, 14, Ready, false),
        ],
        &expect!["ready - ready - ready"],
    );
    // What the replica has said itself holds for its lifetime, before and after its row is known.
    check_departure(
        &[
            Said,
            Row(0, 5, Ready, false),
            Row(0, 6, Ready, false),
            Removal(0, 7, false),
            Row(0, 8, Ready, false),
            Restart(0, 9),
            Said,
        ],
        &expect!["- - - - - ready ready"],
    );
    // A row that is missing in the copy says nothing, since the replica may not have written it again yet. It lapses.
    check_departure(
        &[
            Row(0, 5, Ready, false),
            Removal(1, 3, true),
            Row(1, 6, Ready, false),
        ],
        &expect!["ready ready ready"],
    );
}

/// Guards against DRAIN: one row that was found after an outage marked all rows which were applied with it, so replicas that
/// were removed on purpose were used for the grace period.
#[test]
fn only_the_rows_found_after_an_outage_are_taken_for_lapsed() {
    let now = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    for (index, id) in ["lapsed", "removed"].into_iter().enumerate() {
        let address = ([127, 0, 0, 1], u16::try_from(index).unwrap()).into();
        let replica = Replica {
            address,
            ..replica(id, ReplicaState::Ready, 1)
        };
        catalog.put(replica, origin(1), now);
    }
    catalog.remove("lapsed", removal(true), now);
    catalog.remove("removed", removal(false), now);
    let ready: Vec<&str> = catalog
        .ready("pool", now)
        .map(|it| it.id.as_str())
        .collect();
    assert_eq!(ready, ["lapsed"]);
}
