//! Roles in a transfer: who fetches from the origin, whom agents ask, and the order in which replicas load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fleet::{CLASSES, FetchPlan, ManifestSource, PiecePeer};

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).unwrap().to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

fn peers(sizes: &[usize]) -> Vec<PiecePeer> {
    let mut peers = Vec::new();
    for (region, size) in sizes.iter().enumerate() {
        for _ in 0..*size {
            peers.push(PiecePeer {
                address: address(peers.len()),
                region: format!("r{region}"),
                complete: false,
            });
        }
    }
    peers
}

fn plans(peers: &[PiecePeer]) -> Vec<FetchPlan> {
    peers
        .iter()
        .map(|it| FetchPlan::new(it.address, &it.region, peers.to_vec(), Some("r1")))
        .collect()
}

#[test]
fn each_class_has_one_first_agent_in_each_region() {
    let peers = peers(&[20, 30, 4]);
    let plans = plans(&peers);
    for region in ["r0", "r1", "r2"] {
        let in_region = || {
            let pairs = peers.iter().zip(&plans);
            pairs.filter(|it| it.0.region == region).map(|it| it.1)
        };
        for class in 0..CLASSES {
            let ranks: BTreeSet<usize> = in_region().map(|it| it.own_rank(class)).collect();
            assert_eq!(ranks, (0..in_region().count()).collect());
        }
        let first_of = |plan: &FetchPlan| (0..CLASSES).filter(|it| plan.own_rank(*it) == 0).count();
        let most = in_region().map(first_of).max();
        assert_eq!(most, Some(CLASSES.div_ceil(in_region().count())));
    }
}

/// Guards against several agents that each consider themselves the first one: rankings by position shifted with every
/// agent that was added or removed.
#[test]
fn rankings_keep_their_first_agents_while_others_come_and_go() {
    let all = peers(&[0, 40]);
    let of_all = plans(&all);
    let mut disagreeing = 0;
    for removed in 0..all.len() {
        let mut fewer = all.clone();
        fewer.remove(removed);
        for (peer, plan) in fewer.iter().zip(plans(&fewer)) {
            let before = &of_all[all.iter().position(|it| it == peer).unwrap()];
            let changed =
                |class: &usize| (plan.own_rank(*class) == 0) != (before.own_rank(*class) == 0);
            disagreeing += (0..CLASSES).filter(changed).count();
        }
    }
    // Each removal of a first agent changes at least one other agent.
    assert!(disagreeing <= 4 * CLASSES, "{disagreeing} changes");
}

#[test]
fn agents_ask_few_others_and_every_agent_is_reached() {
    let peers = peers(&[60, 40, 25]);
    let plans = plans(&peers);
    let mut askers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for plan in &plans {
        let neighbors = plan.neighbors();
        assert!(neighbors.len() <= 20, "{} neighbors", neighbors.len());
        for neighbor in neighbors {
            *askers.entry(neighbor).or_default() += 1;
        }
    }
    assert_eq!(askers.len(), peers.len(), "some agents are asked by none");
    let most = askers.values().max().copied();
    assert!(most <= Some(45), "one agent is asked by {most:?}");
}

#[test]
fn two_agents_of_each_region_bring_the_manifest_into_it() {
    let peers = peers(&[20, 30, 4]);
    let plans = plans(&peers);
    let mut from_origin = 0;
    let mut across: BTreeMap<&str, usize> = BTreeMap::new();
    for (peer, plan) in peers.iter().zip(&plans) {
        match plan.manifest_sources(0)[0] {
            ManifestSource::Origin => {
                from_origin += 1;
                assert_eq!(peer.region, "r1");
            }
            ManifestSource::Agent(source) if !plan.is_in_region(source) => {
                *across.entry(&peer.region).or_default() += 1;
            }
            ManifestSource::Agent(_) => {}
        }
    }
    assert_eq!(from_origin, 2);
    assert_eq!(across, BTreeMap::from([("r0", 2), ("r2", 2)]));
}

/// Guards against a version that no agent could begin to transfer for as long as one particular agent was dead.
#[test]
fn others_ask_the_origin_for_the_manifest_if_the_first_agents_fail() {
    let peers = peers(&[20, 30]);
    let asking = |attempt: usize| {
        let plans = plans(&peers);
        let asks = |it: &&FetchPlan| {
            it.manifest_sources(attempt)
                .contains(&ManifestSource::Origin)
        };
        plans.iter().filter(asks).count()
    };
    assert_eq!(asking(3), 2);
    assert!(asking(16) > 4, "only {} agents ask the origin", asking(16));
    assert!(asking(100) <= 8, "{} agents ask the origin", asking(100));
}

#[test]
fn holders_of_the_region_are_asked_for_the_manifest_first() {
    let mut peers = peers(&[20, 30]);
    peers[3].complete = true;
    for (peer, plan) in peers.iter().zip(plans(&peers)).take(20) {
        if !peer.complete {
            let sources = plan.manifest_sources(0);
            assert_eq!(sources[0], ManifestSource::Agent(peers[3].address));
        }
    }
}

#[test]
fn rollout_positions_alternate_between_regions() {
    let peers = peers(&[3, 3]);
    let mut positions: Vec<(f64, String)> = peers
        .iter()
        .zip(plans(&peers))
        .map(|(peer, plan)| (plan.rollout_position(), peer.region.clone()))
        .collect();
    positions.sort_by(|a, b| a.0.total_cmp(&b.0));
    let regions: Vec<&str> = positions.iter().map(|it| it.1.as_str()).collect();
    assert_eq!(regions, ["r0", "r1", "r0", "r1", "r0", "r1"]);
    assert_eq!(positions[0].0, 0.0);
    assert!(positions[5].0 < 1.0);
}
