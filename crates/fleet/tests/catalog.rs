//! The list of replicas through drains, restarts and outages of the store.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use fleet::{LoadedModel, Replica, ReplicaCatalog, ReplicaState, staying_replicas};

fn replica(id: &str, state: ReplicaState, born_ms: u64) -> Replica {
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
        born_ms: Some(born_ms),
    }
}

enum Event {
    Put(&'static str, ReplicaState, u64),
    Remove(&'static str),
    Outage,
    Read,
    Expire,
}

/// Plays events, each a number of milliseconds after the start, and lists what is ready after each.
fn check(events: &[(u64, Event)], expected: &Expect) {
    let start = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let mut lines = String::new();
    for (at, event) in events {
        let now = start + Duration::from_millis(*at);
        let change = match event {
            Event::Put(id, state, born) => format!("{:?}", catalog.put(replica(id, *state, *born))),
            Event::Remove(id) => format!("{:?}", catalog.remove(id, now)),
            Event::Outage => {
                catalog.note_outage();
                "outage".to_owned()
            }
            Event::Read => {
                catalog.note_read();
                "read".to_owned()
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
fn replicas_come_drain_and_go() {
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
fn entries_that_lapsed_during_an_outage_are_used_until_the_grace_ends() {
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

/// A replica that left without notice soon after an outage was kept for the grace, longer than a drain may take.
#[test]
fn a_removal_after_the_first_reading_is_no_lapse() {
    use Event::{Outage, Put, Read, Remove};
    use ReplicaState::Ready;
    check(
        &[
            (0, Put("r1", Ready, 1)),
            (1000, Outage),
            (5000, Read),
            (7200, Remove("r1")),
        ],
        &expect![[r#"
            0 Some(Added("r1")) ready ["r1"]
            1000 outage ready ["r1"]
            5000 read ready ["r1"]
            7200 Some(Gone("r1")) ready []
        "#]],
    );
}

/// Between two looks of the loop that drops lapsed entries, the end of the grace must count all the same.
#[test]
fn a_lapsed_entry_is_not_ready_after_its_grace() {
    let start = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    catalog.put(replica("r1", ReplicaState::Ready, 1));
    catalog.note_outage();
    catalog.remove("r1", start);
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

/// After all machines lost power, entries sent every request to replicas whose rows still told of weights, and each was
/// refused.
#[test]
fn a_replica_that_lacks_its_version_is_asked_again_when_it_has_one() {
    let mut catalog = ReplicaCatalog::default();
    catalog.put(replica("r", ReplicaState::Ready, 1));
    let version = |catalog: &ReplicaCatalog| catalog.get("r").unwrap().version_of("m");

    assert!(
        !catalog.lacks_version("r", "m", 2),
        "the list says something newer"
    );
    assert_eq!(version(&catalog), Some(1));
    assert!(catalog.lacks_version("r", "m", 1));
    assert_eq!(version(&catalog), None);

    let loaded = LoadedModel {
        name: "m".to_owned(),
        version: 1,
    };
    assert!(catalog.note_weights("127.0.0.1:80".parse().unwrap(), &[loaded]));
    assert_eq!(version(&catalog), Some(1));
}

/// After all machines lost power, each entry tried the old ids of all replicas before it used the new ones.
#[test]
fn the_newest_incarnation_at_an_address_counts() {
    let ready = |catalog: &ReplicaCatalog| {
        let ids = catalog
            .ready("pool", Instant::now())
            .map(|it| it.id.clone());
        ids.collect::<Vec<_>>()
    };
    let mut catalog = ReplicaCatalog::default();
    catalog.put(replica("old", ReplicaState::Ready, 1));
    catalog.put(replica("new", ReplicaState::Ready, 2));
    assert_eq!(ready(&catalog), ["new"]);
    // A list that was read whole may name them in any order.
    catalog.put(replica("old", ReplicaState::Ready, 1));
    assert_eq!(ready(&catalog), ["new"]);
    // An entry for another service says nothing of this one.
    let foreign = Replica {
        service: "other".to_owned(),
        ..replica("foreign", ReplicaState::Ready, 9)
    };
    catalog.put(foreign);
    assert_eq!(ready(&catalog), ["new"]);
}

/// Agents planned to fetch pieces through those of leaving replicas, which had stopped already.
#[test]
fn leaving_replicas_do_not_stay() {
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
    let staying = staying_replicas(listed.into_iter(), "pool");
    let ids: Vec<&str> = staying.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["ready", "new"]);
}
