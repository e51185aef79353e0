//! Exchange between zones: who reports to whom, and what it costs as the number of entries grows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{LoadSample, LoadTable, PeerRecord, PeerTable, is_zone_reporter, report_targets};

fn record(zone: usize, entry: usize) -> PeerRecord {
    let host = |port: u16| -> SocketAddr {
        (
            [
                10,
                u8::try_from(zone).unwrap(),
                0,
                u8::try_from(entry).unwrap(),
            ],
            port,
        )
            .into()
    };
    PeerRecord {
        node: format!("entry-{zone}-{entry:03}"),
        incarnation: 1,
        front: host(8000),
        inner: host(7000),
        zone: format!("z{zone}"),
        region: format!("r{zone}"),
        ready: true,
        reading: None,
    }
}

/// The view of one entry: all entries are listed, and those of `alive` have sent a heartbeat.
fn view(
    zones: usize,
    per_zone: usize,
    alive: impl Fn(usize, usize) -> bool,
    now: Instant,
) -> PeerTable {
    let mut peers = PeerTable::default();
    for zone in 0..zones {
        for entry in 0..per_zone {
            peers.insert_listed(record(zone, entry));
            if alive(zone, entry) {
                peers.record_heartbeat(record(zone, entry), now);
            }
        }
    }
    peers
}

/// Guards against messages between all pairs of entries, which filled the links between regions at 300 entries.
#[test]
fn messages_between_zones_do_not_grow_with_the_number_of_entries() {
    let now = Instant::now();
    let messages = |per_zone: usize| {
        let peers = view(5, per_zone, |_, _| true, now);
        let mut count = 0;
        for zone in 0..5 {
            for entry in 0..per_zone {
                let own = record(zone, entry);
                if is_zone_reporter(&peers, &own.node, &own.zone, now) {
                    count += report_targets(&peers, &own.zone, 2, 0, now).concat().len();
                }
            }
        }
        count
    };
    // One reporter a zone, two receivers in each of four other zones.
    assert_eq!([6, 20, 60].map(messages), [40, 40, 40]);
}

#[test]
fn the_first_live_entry_reports_and_receives() {
    let now = Instant::now();
    let peers = view(3, 5, |_, entry| entry >= 2, now);
    let reporters = (0..5).filter(|it| is_zone_reporter(&peers, &record(0, *it).node, "z0", now));
    // The entries 0 and 1 are dead in this view, but each of them would consider itself the first one.
    assert_eq!(reporters.collect::<Vec<_>>(), [0, 1, 2]);
    let targets = report_targets(&peers, "z0", 2, 7, now);
    let expected = [1, 2].map(|zone| [2, 3].map(|it| record(zone, it).inner).to_vec());
    assert_eq!(targets, expected);
}

/// Guards against zones that do not find each other again after a partition, or at the start.
#[test]
fn entries_of_a_zone_without_live_ones_are_tried_in_turn() {
    let now = Instant::now();
    let peers = view(2, 5, |zone, _| zone == 0, now);
    let mut tried: Vec<SocketAddr> = (0..3)
        .flat_map(|round| report_targets(&peers, "z0", 2, round, now).concat())
        .collect();
    tried.sort_unstable();
    tried.dedup();
    let all: Vec<SocketAddr> = (0..5).map(|it| record(1, it).inner).collect();
    assert_eq!(tried, all);
}

fn sample(running: u32) -> LoadSample {
    LoadSample {
        running,
        pending_prefill_tokens: running * 100,
    }
}

#[test]
fn loads_of_entries_and_zones_add_up_and_expire() {
    let now = Instant::now();
    let mut one = LoadTable::default();
    one.record_sent("r1", 100);
    let hash = *one.own_samples().keys().next().unwrap();
    let report = |running: u32| BTreeMap::from([(hash, sample(running))]);
    let mut loads = LoadTable::default();
    loads.record_sent("r1", 100);
    loads.update_peer("entry", report(2), now);
    loads.update_zone("zone", report(4), now);
    // A newer report replaces the earlier one, and the name of an entry does not clash with that of a zone.
    loads.update_zone("zone", report(8), now);
    loads.update_peer("zone", report(16), now);
    assert_eq!(loads.load("r1").total().running, 1 + 2 + 8 + 16);
    assert_eq!(loads.load("r1").total().pending_prefill_tokens, 2700);
    // A zone reports its own entries only, or loads would go round between the zones.
    assert_eq!(loads.zone_samples(), report(1 + 2 + 16));
    let later = now + Duration::from_millis(1000);
    loads.update_peer("entry", BTreeMap::new(), later);
    loads.expire(now + Duration::from_millis(1600));
    assert_eq!(loads.load("r1").total().running, 1);
    assert_eq!(loads.load("r1").others, LoadSample::default());
}
