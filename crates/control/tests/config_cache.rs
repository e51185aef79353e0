//! The holder of the newest revision against a naive one, under any order of loss and delay.

mod support;

use std::time::{Duration, Instant};

use control::{ConfigCache, ConfigSource};
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
            let mut cache = ConfigCache::default();
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
                let before = cache.held_revision();
                named.push((revision, source));
                if u.ratio(1, 2)? {
                    let newer = cache.update(config(revision), &from, now);
                    assert_eq!(newer, taken.iter().all(|it| *it < revision));
                    taken.push(revision);
                } else {
                    cache.observe_revision(ConfigRevision(revision), &from, now);
                }
                assert_eq!(
                    cache.held_revision().map(|it| it.0),
                    taken.iter().max().copied()
                );
                assert!(cache.held_revision() >= before);
                let peers: std::collections::BTreeSet<_> =
                    named.iter().filter(|it| it.1 != 0).map(|it| it.1).collect();
                let enough = named.iter().any(|it| it.1 == 0) || peers.len() >= 3;
                let highest = named.iter().map(|it| it.0).max();
                let newest = taken.iter().max().is_some_and(|it| Some(*it) >= highest);
                was_ready |= enough && newest;
                assert_eq!(cache.ready_config().is_some(), was_ready);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}

#[test]
fn a_process_that_is_cut_off_knows_the_age_of_its_view() {
    let start = Instant::now();
    let mut cache = ConfigCache::default();
    assert_eq!(cache.age(start), None);
    cache.update(config(3), &ConfigSource::Table, start);
    let hour = Duration::from_secs(3600);
    assert_eq!(cache.age(start + hour), Some(hour));
    // Word of a higher revision that has not arrived confirms nothing.
    cache.observe_revision(ConfigRevision(4), &peer(1), start + hour);
    assert_eq!(cache.age(start + hour), Some(hour));
    assert_eq!(cache.ready_config().map(|it| it.revision.0), Some(3));
}
