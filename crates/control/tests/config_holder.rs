//! The holder of the newest revision against a naive one, under any order of loss and delay.

mod support;

use std::time::{Duration, Instant};

use control::{ConfigHolder, ConfigSource};
use model::{ConfigRevision, FleetConfig, HostName};

fn config(revision: u64) -> FleetConfig {
    FleetConfig {
        revision: ConfigRevision(revision),
        ..FleetConfig::default()
    }
}

fn peer(idx: u64) -> ConfigSource {
    ConfigSource::Peer(HostName::new(format!("e{idx}")).unwrap())
}

/// The naive version keeps every event and looks through all of them.
#[test]
fn never_reverts_and_is_ready_only_with_the_highest_revision_named() {
    for seed in 0..500 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut holder = ConfigHolder::default();
            let mut taken: Vec<u64> = Vec::new();
            let mut named: Vec<(u64, u64)> = Vec::new();
            let mut was_ready = false;
            for step in 0..u.int_in_range(0..=30)? {
                let now = start + Duration::from_secs(step);
                let revision = u.int_in_range(0..=6)?;
                let source = u.int_in_range(0..=5)?;
                let from = if source == 0 {
                    ConfigSource::Table
                } else {
                    peer(source)
                };
                let before = holder.held();
                named.push((revision, source));
                if u.ratio(1, 2)? {
                    let newer = holder.take(config(revision), &from, now);
                    assert_eq!(newer, taken.iter().all(|it| *it < revision));
                    taken.push(revision);
                } else {
                    holder.hear(ConfigRevision(revision), &from, now);
                }
                assert_eq!(holder.held().map(|it| it.0), taken.iter().max().copied());
                assert!(holder.held() >= before);
                let peers: std::collections::BTreeSet<_> =
                    named.iter().filter(|it| it.1 != 0).map(|it| it.1).collect();
                let enough = named.iter().any(|it| it.1 == 0) || peers.len() >= 3;
                let highest = named.iter().map(|it| it.0).max();
                let newest = taken.iter().max().is_some_and(|it| Some(*it) >= highest);
                was_ready |= enough && newest;
                assert_eq!(holder.ready().is_some(), was_ready);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}

#[test]
fn a_process_that_is_cut_off_knows_the_age_of_its_view() {
    let start = Instant::now();
    let mut holder = ConfigHolder::default();
    assert_eq!(holder.age(start), None);
    holder.take(config(3), &ConfigSource::Table, start);
    let hour = Duration::from_secs(3600);
    assert_eq!(holder.age(start + hour), Some(hour));
    // Word of a higher revision that has not arrived confirms nothing.
    holder.hear(ConfigRevision(4), &peer(1), start + hour);
    assert_eq!(holder.age(start + hour), Some(hour));
    assert_eq!(holder.ready().map(|it| it.revision.0), Some(3));
}
