//! Target selection: comparison with an exhaustive search, herding, cache affinity and outlier ejection.

mod support;

use std::time::{Duration, Instant};

use model::{HostName, LoadSample, RegionName, ZoneName};
use routing::{
    ChoiceRequest, OutlierTable, PrefixTable, TargetCandidate, choose_target, expected_wait,
    has_capacity, in_flight,
};
use support::{Rng, host, with_fixed_seeds};

struct Topology {
    hosts: Vec<HostName>,
    zones: Vec<ZoneName>,
    regions: Vec<RegionName>,
}

impl Topology {
    fn new(hosts: usize) -> Self {
        Self {
            hosts: (0..hosts).map(|it| host(&format!("h{it}"))).collect(),
            zones: (0..3)
                .map(|it| ZoneName::new(format!("z{it}")).unwrap())
                .collect(),
            regions: (0..2)
                .map(|it| RegionName::new(format!("r{it}")).unwrap())
                .collect(),
        }
    }

    fn candidate(&self, idx: usize, zone: usize, load: LoadSample) -> TargetCandidate<'_> {
        TargetCandidate {
            host: &self.hosts[idx],
            zone: &self.zones[zone],
            region: &self.regions[zone / 2],
            load,
            own_in_flight: 0,
            delta_since_row: 0,
        }
    }

    fn request<'a>(&'a self, cached: &'a [HostName]) -> ChoiceRequest<'a> {
        ChoiceRequest {
            zone: &self.zones[0],
            region: &self.regions[0],
            cached_hosts: cached,
        }
    }
}

fn load(in_flight: u32, first_token_ms: u32) -> LoadSample {
    LoadSample {
        in_flight,
        limit: 8,
        tokens_owed: 100 * in_flight,
        first_token_ms,
        token_gap_us: 20_000,
        ..LoadSample::default()
    }
}

/// With two candidates per distance, the power of two choices is equivalent to an exhaustive search.
#[test]
fn agrees_with_an_exhaustive_search_over_two_candidates_per_distance() {
    let topology = Topology::new(6);
    with_fixed_seeds(|u| {
        let mut candidates = Vec::new();
        for idx in 0..6 {
            let sample = load(u.int_in_range(0..=9)?, u.int_in_range(10..=500)?);
            let mut candidate = topology.candidate(idx, idx / 2, sample);
            candidate.own_in_flight = u.int_in_range(0..=3)?;
            candidate.delta_since_row = u.int_in_range(-2..=3)?;
            candidates.push(candidate);
        }
        let mut rng = Rng(u.arbitrary()?);
        let chosen = choose_target(&candidates, &topology.request(&[]), &mut |n| {
            rng.index_below(n)
        });
        let cost =
            |it: usize| expected_wait(&candidates[it]) + Duration::from_millis([0, 20, 60][it / 2]);
        let best = (0..6)
            .filter(|it| has_capacity(&candidates[*it]))
            .map(cost)
            .min();
        assert_eq!(chosen.map(cost), best);
        Ok(())
    });
}

#[test]
fn crosses_zones_only_when_the_local_target_is_slower_or_full() {
    let topology = Topology::new(4);
    let check = |own: (u32, u32), far: (u32, u32), expect: Option<usize>| {
        let candidates = [
            topology.candidate(0, 0, load(own.0, own.1)),
            topology.candidate(1, 2, load(far.0, far.1)),
        ];
        let chosen = choose_target(&candidates, &topology.request(&[]), &mut |_| 0);
        assert_eq!(chosen, expect);
    };
    check((2, 50), (0, 50), Some(0));
    check((2, 500), (2, 50), Some(1));
    check((8, 50), (2, 50), Some(1));
    check((8, 50), (8, 50), None);
}

#[test]
fn a_hot_prefix_does_not_overload_its_replica() {
    let topology = Topology::new(4);
    let cached = [topology.hosts[0].clone()];
    let mut counts = [0u32; 4];
    let mut rng = Rng(1);
    for _ in 0..24 {
        let candidates: Vec<_> = (0..4)
            .map(|it| topology.candidate(it, 0, load(counts[it], 50)))
            .collect();
        let chosen = choose_target(&candidates, &topology.request(&cached), &mut |n| {
            rng.index_below(n)
        });
        counts[chosen.unwrap()] += 1;
        let mean = f64::from(counts.iter().sum::<u32>()) / 4.0;
        assert!(f64::from(counts[0]) <= mean * 1.25 + 2.0, "{counts:?}");
    }
    assert_eq!(
        counts[0],
        *counts.iter().max().unwrap(),
        "affinity applies within its bound"
    );
}

/// Returns the highest number of requests on one target after forty entries have each selected three targets from the
/// same stale load reports, in which one target appears idle.
fn max_requests_per_target(
    choose: impl Fn(&[TargetCandidate<'_>], &Topology, &mut Rng) -> usize,
) -> u32 {
    let topology = Topology::new(20);
    let mut rng = Rng(7);
    let mut counts = [0u32; 20];
    for _entry in 0..40 {
        let mut own = [0u32; 20];
        for _ in 0..3 {
            let candidates: Vec<_> = (0..20)
                .map(|it| TargetCandidate {
                    own_in_flight: own[it],
                    delta_since_row: own[it] as i32,
                    ..topology.candidate(it, 0, load(if it == 0 { 0 } else { 2 }, 50))
                })
                .collect();
            let chosen = choose(&candidates, &topology, &mut rng);
            own[chosen] += 1;
            counts[chosen] += 1;
        }
    }
    *counts.iter().max().unwrap()
}

#[test]
fn entries_with_the_same_stale_reports_do_not_herd() {
    let least_reported_load = |candidates: &[TargetCandidate<'_>], _: &Topology, _: &mut Rng| {
        (0..20)
            .min_by_key(|it| candidates[*it].load.in_flight)
            .unwrap()
    };
    let two_choices = |candidates: &[TargetCandidate<'_>], topology: &Topology, rng: &mut Rng| {
        choose_target(candidates, &topology.request(&[]), &mut |n| {
            rng.index_below(n)
        })
        .unwrap()
    };
    assert_eq!(max_requests_per_target(least_reported_load), 120);
    // The mean is 6. The target that appears idle is in a tenth of all pairs, so it is expected to get 12 of 120.
    assert!(
        max_requests_per_target(two_choices) <= 18,
        "{}",
        max_requests_per_target(two_choices)
    );
}

#[test]
fn own_requests_correct_a_stale_report() {
    let topology = Topology::new(1);
    let check = |reported: u32, own: u32, delta_since_row: i32, expect: u32| {
        let candidate = TargetCandidate {
            own_in_flight: own,
            delta_since_row,
            ..topology.candidate(0, 0, load(reported, 50))
        };
        assert_eq!(in_flight(&candidate), expect);
    };
    check(4, 0, 0, 4);
    check(4, 2, 2, 6);
    check(4, 0, -3, 1);
    check(1, 5, 0, 5);
    check(1, 0, -3, 0);
}

#[test]
fn outliers_are_ejected_but_at_most_half_of_a_group() {
    let now = Instant::now();
    let hosts: Vec<HostName> = (0..4).map(|it| host(&format!("h{it}"))).collect();
    let group: Vec<&HostName> = hosts.iter().collect();
    let mut outliers = OutlierTable::default();
    let fail = |outliers: &mut OutlierTable, idx: usize, after_ms| {
        for _ in 0..3 {
            outliers.on_failure(now + Duration::from_millis(after_ms), &hosts[idx]);
        }
    };
    fail(&mut outliers, 1, 0);
    assert_eq!(
        outliers.eligible(now, &group),
        [&hosts[0], &hosts[2], &hosts[3]]
    );
    for idx in [0, 2, 3] {
        fail(&mut outliers, idx, 10 * idx as u64);
    }
    let later = now + Duration::from_millis(50);
    assert_eq!(outliers.eligible(later, &group), [&hosts[0], &hosts[1]]);
    assert_eq!(outliers.eligible(later, &group[..1]), [&hosts[0]]);
    outliers.on_success(&hosts[3]);
    assert!(outliers.eligible(later, &group).contains(&&hosts[3]));
    assert_eq!(
        outliers
            .eligible(now + Duration::from_secs(2), &group)
            .len(),
        4
    );
}

#[test]
fn cache_events_may_be_delayed_or_lost() {
    let now = Instant::now();
    let (a, b) = (host("a"), host("b"));
    let mut prefixes = PrefixTable::default();
    prefixes.on_sent(now, 1, &a);
    prefixes.on_event(now, &b, 10, 1, true);
    prefixes.on_event(now, &b, 11, 2, true);
    assert_eq!(prefixes.hosts(now, 1), [a.clone(), b.clone()]);
    prefixes.on_event(now, &b, 13, 3, true);
    assert_eq!(
        prefixes.hosts(now, 1),
        vec![a.clone()],
        "the lost event may have been an eviction"
    );
    assert_eq!(prefixes.hosts(now, 3), vec![b.clone()]);
    prefixes.on_event(now, &b, 14, 3, false);
    assert!(prefixes.hosts(now, 3).is_empty());
    assert!(prefixes.hosts(now + Duration::from_secs(121), 1).is_empty());
    for prefix in 0..10_000 {
        prefixes.on_sent(now + Duration::from_millis(prefix), prefix, &a);
    }
    assert!(prefixes.len() <= 4096);
}
