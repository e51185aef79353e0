//! Compares the configuration cache with a naive model under random losses and delays.

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

/// The naive model keeps every event and recomputes the expected state from all of them.
#[test]
fn never_reverts_and_is_ready_only_with_the_highest_reported_revision() {
    for seed in 0..500 {
        arbtest::arbtest(|u| {
            let start = Instant::now();
            let mut cache = ConfigCache::default();
            let mut received: Vec<u64> = Vec::new();
            let mut reported: Vec<(u64, u64)> = Vec::new();
            let mut was_ready = false;
            for step in 0..u.int_in_range(0..=30)? {
                let now = start + Duration::from_secs(step);
                let revision = u.int_in_range(0..=6)?;
                let source = u.int_in_range(0..=5)?;
                let config_source = if source == 0 {
                    ConfigSource::Table
                } else {
                    peer(source)
                };
                let before = cache.held_revision();
                reported.push((revision, source));
                if u.ratio(1, 2)? {
                    let is_newer = cache.update(config(revision), &config_source, now);
                    assert_eq!(is_newer, received.iter().all(|it| *it < revision));
                    received.push(revision);
                } else {
                    cache.observe_revision(ConfigRevision(revision), &config_source, now);
                }
                assert_eq!(
                    cache.held_revision().map(|it| it.0),
                    received.iter().max().copied()
                );
                assert!(cache.held_revision() >= before);
                let peers: std::collections::BTreeSet<_> = reported
                    .iter()
                    .filter(|it| it.1 != 0)
                    .map(|it| it.1)
                    .collect();
                let enough_sources = reported.iter().any(|it| it.1 == 0) || peers.len() >= 3;
                let highest = reported.iter().map(|it| it.0).max();
                let has_highest = received.iter().max().is_some_and(|it| Some(*it) >= highest);
                was_ready |= enough_sources && has_highest;
                assert_eq!(cache.ready_config().is_some(), was_ready);
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}

#[test]
fn age_grows_while_no_source_confirms_the_revision() {
    let start = Instant::now();
    let mut cache = ConfigCache::default();
    assert_eq!(cache.age(start), None);
    cache.update(config(3), &ConfigSource::Table, start);
    let hour = Duration::from_secs(3600);
    assert_eq!(cache.age(start + hour), Some(hour));
    // A higher revision that has been announced but not received does not confirm the cached one.
    cache.observe_revision(ConfigRevision(4), &peer(1), start + hour);
    assert_eq!(cache.age(start + hour), Some(hour));
    assert_eq!(cache.ready_config().map(|it| it.revision.0), Some(3));
}
