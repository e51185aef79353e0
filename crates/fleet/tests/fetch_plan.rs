//! Transfer plans: no wait cycles, even load, and the origin as the last resort.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{FetchPlan, OriginAccess, PiecePeer, PieceSource};

const PIECES: usize = 96;

const ORIGIN_CLIENTS: usize = 4;

fn address(index: usize) -> SocketAddr {
    (
        [
            10,
            0,
            u8::try_from(index / 250).unwrap(),
            u8::try_from(index % 250).unwrap(),
        ],
        7000,
    )
        .into()
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

fn origin(region: Option<&str>) -> OriginAccess {
    OriginAccess {
        clients: ORIGIN_CLIENTS,
        region: region.map(str::to_owned),
    }
}

fn plans(peers: &[PiecePeer]) -> Vec<FetchPlan> {
    peers
        .iter()
        .map(|it| FetchPlan::new(it.address, &it.region, peers.to_vec(), origin(None)))
        .collect()
}

/// Guards against deadlocks: agents waited for each other, and a piece never arrived after a short outage of the
/// origin.
#[test]
fn agents_never_wait_for_each_other() {
    let check = |u: &mut Unstructured<'_>| -> Result<()> {
        let sizes = [
            u.int_in_range(1..=9)?,
            u.int_in_range(0..=9)?,
            u.int_in_range(0..=9)?,
        ];
        let mut peers = peers(&sizes);
        for peer in &mut peers {
            peer.complete = u.ratio(1, 8)?;
        }
        let plans = plans(&peers);
        let index = u.int_in_range(0..=PIECES - 1)?;
        let mut waits: BTreeMap<SocketAddr, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (peer, plan) in peers.iter().zip(&plans) {
            let sources = plan.sources(index, peers.len());
            assert_eq!(sources.last(), Some(&PieceSource::Origin));
            let waited = sources.iter().filter_map(|it| match it {
                PieceSource::Fetcher(address) => Some(*address),
                PieceSource::Holder(_) | PieceSource::Origin => None,
            });
            waits.insert(peer.address, waited.collect());
        }
        // Repeatedly remove agents that do not wait for others; only the agents of a cycle would remain.
        while let Some(free) = waits.iter().find(|it| it.1.is_empty()).map(|it| *it.0) {
            waits.remove(&free);
            for waited in waits.values_mut() {
                waited.remove(&free);
            }
        }
        assert!(waits.is_empty(), "cycle of waits: {waits:?}");
        Ok(())
    };
    for seed in 0..300 {
        arbtest::arbtest(check).seed((seed << 32) | 0x40).run();
    }
}

#[test]
fn without_failures_one_copy_leaves_the_origin_and_one_enters_each_region() {
    let peers = peers(&[8, 7, 4]);
    let plans = plans(&peers);
    let region_of: BTreeMap<SocketAddr, &str> = peers
        .iter()
        .map(|it| (it.address, it.region.as_str()))
        .collect();
    let mut from_origin = 0;
    let mut across = 0;
    let mut clients = BTreeSet::new();
    let mut sent: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for index in 0..PIECES {
        for (peer, plan) in peers.iter().zip(&plans) {
            match plan.sources(index, 0)[0] {
                PieceSource::Origin => {
                    from_origin += 1;
                    clients.insert(peer.address);
                }
                PieceSource::Holder(source) | PieceSource::Fetcher(source) => {
                    *sent.entry(source).or_default() += 1;
                    across += usize::from(region_of[&source] != peer.region);
                }
            }
        }
    }
    assert_eq!(from_origin, PIECES);
    assert!(
        clients.len() <= ORIGIN_CLIENTS,
        "{} agents fetch from the origin",
        clients.len()
    );
    // Each region gets each piece from another region, except the pieces that its own agents fetched from the origin.
    assert_eq!(across, 2 * PIECES);
    // The busiest uplink determines the duration of a transfer: copies for others in its region, and one copy per
    // region of each piece that it fetched from the origin.
    let most = sent.values().max().copied().unwrap_or(0);
    let bound = PIECES + PIECES / ORIGIN_CLIENTS * 3;
    assert!(
        most <= bound,
        "the busiest agent sends {most} pieces, bound {bound}"
    );
}

#[test]
fn holders_of_the_own_region_come_first() {
    let mut peers = peers(&[3, 2]);
    peers[1].complete = true;
    peers[4].complete = true;
    let plan = FetchPlan::new(peers[0].address, "r0", peers.clone(), origin(None));
    assert_eq!(plan.sources(5, 0)[0], PieceSource::Holder(address(1)));
    assert_eq!(plan.sources(5, 3)[1], PieceSource::Holder(address(4)));
}

#[test]
fn one_agent_fetches_the_manifest_from_the_origin() {
    for complete in [false, true] {
        let mut peers = peers(&[4, 4, 3]);
        for peer in peers.iter_mut().skip(2).take(5) {
            peer.complete = complete;
        }
        let from_origin = plans(&peers)
            .iter()
            .filter(|it| it.manifest_sources() == [PieceSource::Origin])
            .count();
        assert_eq!(from_origin, 1);
    }
}

#[test]
fn rollout_positions_alternate_between_regions() {
    let peers = peers(&[4, 4, 3]);
    let mut positions: Vec<f64> = plans(&peers)
        .iter()
        .map(FetchPlan::rollout_position)
        .collect();
    positions.sort_by(f64::total_cmp);
    let expected: Vec<f64> = (0..11).map(|it| f64::from(it) / 11.0).collect();
    assert_eq!(positions, expected);
}

/// Guards against uneven load: for each piece that was assigned to an agent without weights, all new agents chose the
/// same holder, and its uplink delayed the transfer by seconds.
#[test]
fn new_agents_spread_over_the_holders_of_their_region() {
    let mut peers = peers(&[23, 23, 22]);
    for (index, peer) in peers.iter_mut().enumerate() {
        peer.complete = index % 23 < 13;
    }
    let new_agents: Vec<_> = peers.iter().filter(|it| !it.complete).collect();
    let mut sent: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for new_agent in &new_agents {
        let plan = FetchPlan::new(
            new_agent.address,
            &new_agent.region,
            peers.clone(),
            origin(None),
        );
        for index in 0..PIECES {
            match plan.sources(index, 0)[0] {
                PieceSource::Holder(source) => *sent.entry(source).or_default() += 1,
                source => panic!("piece {index} from {source:?}"),
            }
        }
    }
    let most = sent.values().max().copied().unwrap_or(0);
    let even_share = new_agents.len() * PIECES / sent.len();
    assert!(
        most <= even_share + even_share / 4,
        "the busiest holder sends {most} pieces"
    );
}

/// Guards against a stampede when an agent is late or fails: all others switched to the origin at once, which then
/// refused the agent that they waited for, or to other regions, whose links then carried a copy for each of them.
#[test]
fn few_agents_take_over_from_late_agents() {
    let peers = peers(&[23, 23, 22]);
    let plans = plans(&peers);
    let region_of: BTreeMap<SocketAddr, &str> = peers
        .iter()
        .map(|it| (it.address, it.region.as_str()))
        .collect();
    for round in 0..4 {
        let sources = || plans.iter().map(|it| it.sources(7, round));
        let at_origin = sources().filter(|it| it.contains(&PieceSource::Origin));
        assert_eq!(at_origin.count(), round + 1);
        let is_far = |region: &str, source: &PieceSource| match source {
            PieceSource::Holder(it) | PieceSource::Fetcher(it) => region_of[it] != region,
            PieceSource::Origin => false,
        };
        let far = peers.iter().zip(sources());
        let far = far.filter(|(peer, sources)| sources.iter().any(|it| is_far(&peer.region, it)));
        assert!(far.count() <= 3 * (round + 1));
    }
    // A region that is partitioned from the others but not from the origin uses the origin within a few rounds.
    for region in ["r0", "r1", "r2"] {
        let of_region = peers.iter().zip(&plans).filter(|it| it.0.region == region);
        let mut of_region = of_region.map(|it| it.1);
        assert!(of_region.any(|it| it.sources(7, 3).contains(&PieceSource::Origin)));
    }
}

/// Guards against one agent sending the manifest to all others, which occupied its uplink for most of a second.
#[test]
fn the_manifest_is_distributed_along_a_tree() {
    let peers = peers(&[23, 23, 22]);
    let mut requests: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let plans = plans(&peers);
    for plan in &plans {
        if let PieceSource::Fetcher(source) = plan.manifest_sources()[0] {
            *requests.entry(source).or_default() += 1;
        }
    }
    assert!(requests.values().all(|it| *it <= 6), "{requests:?}");
    let at_origin = |it: &&FetchPlan| it.manifest_sources().contains(&PieceSource::Origin);
    assert!(plans.iter().filter(at_origin).count() <= 6 + ORIGIN_CLIENTS);
    for (peer, plan) in peers.iter().zip(&plans) {
        // No agent waits for itself, so the path up the tree ends at the agent that fetches from the origin.
        let sources = plan.manifest_sources();
        assert!(!sources.contains(&PieceSource::Fetcher(peer.address)));
    }
}

/// Guards against agents of other regions fetching from the origin over links that are congested with other traffic.
#[test]
fn only_agents_in_the_region_of_the_origin_fetch_from_it() {
    let peers = peers(&[8, 7, 4]);
    for index in 0..PIECES {
        for peer in &peers {
            let plan = FetchPlan::new(
                peer.address,
                &peer.region,
                peers.clone(),
                origin(Some("r1")),
            );
            let is_client = plan.sources(index, 0)[0] == PieceSource::Origin;
            assert!(!is_client || peer.region == "r1");
        }
    }
}
