//! The peer table: which entries are alive and accept clients.

use std::time::{Duration, Instant};

use fleet::{PeerRecord, PeerTable};

fn record(incarnation: u64, ready: bool) -> PeerRecord {
    PeerRecord {
        node: "n1".to_owned(),
        incarnation,
        front: "127.0.0.1:80".parse().unwrap(),
        inner: "127.0.0.1:81".parse().unwrap(),
        zone: "a".to_owned(),
        region: "r".to_owned(),
        ready,
        reading: None,
    }
}

#[test]
fn only_entries_that_sent_a_heartbeat_serve() {
    let start = Instant::now();
    let mut table = PeerTable::default();
    table.insert_listed(record(1, true));
    assert_eq!(table.serving(start).count(), 0);
    assert_eq!(table.all().count(), 1);
    assert!(table.record_heartbeat(record(1, true), start));
    assert!(!table.record_heartbeat(record(1, true), start));
    assert_eq!(table.serving(start).count(), 1);
    table.record_heartbeat(record(1, false), start);
    assert_eq!(
        (table.serving(start).count(), table.alive(start).count()),
        (0, 1)
    );
    let later = start + Duration::from_secs(2);
    assert_eq!(table.alive(later).count(), 0);
}

#[test]
fn an_old_incarnation_does_not_replace_a_new_one() {
    let start = Instant::now();
    let mut table = PeerTable::default();
    table.record_heartbeat(record(5, true), start);
    assert!(!table.record_heartbeat(record(4, false), start));
    table.insert_listed(record(5, false));
    assert_eq!(table.serving(start).count(), 1);
}
