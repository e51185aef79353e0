//! Transfers of a version in virtual time: how long they take, and what the origin and the links between regions send.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use fleet::{FetchOutcome, FetchPlan, PieceFetch, PiecePeer, PieceSet, PieceSource, PieceSwarm};

const PIECES: usize = 96;

/// Time that the origin's link takes for a piece: 24.5 KB at 4.38 Mbit/s.
const ORIGIN_PIECE_MS: u64 = 45;

/// Time that the uplink of an agent takes for a piece: 24.5 KB at 7.3 Mbit/s.
const UPLINK_PIECE_MS: u64 = 27;

/// Time between two polls of the same neighbor, and resolution of the simulation.
const POLL_MS: u64 = 60;
const TICK_MS: u64 = 10;

/// A transfer to simulate.
#[derive(Clone, Debug)]
struct Scenario {
    /// Number of agents of each region; the origin is in the first one.
    regions: Vec<usize>,
    /// Time in milliseconds in which the origin refuses connections.
    origin_away: Range<u64>,
    /// Agents that do not respond.
    dead: BTreeSet<usize>,
    /// Agents whose uplink is narrowed to a tenth.
    slow: BTreeSet<usize>,
    /// Agents whose replicas serve the version at the start.
    complete: BTreeSet<usize>,
    /// Pieces that are corrupt at all of these agents.
    corrupt: BTreeSet<usize>,
    /// Whether each list of agents lacks a tenth of the others, which differ between the lists.
    lists_differ: bool,
}

/// What a transfer took.
#[derive(Debug)]
struct Outcome {
    /// Time until all live agents have all pieces, in milliseconds.
    done_ms: u64,
    /// Pieces that the origin sent.
    from_origin: usize,
    /// Pieces that were sent between regions.
    between_regions: usize,
}

impl Scenario {
    fn new(regions: &[usize]) -> Self {
        Self {
            regions: regions.to_vec(),
            origin_away: 0..0,
            dead: BTreeSet::new(),
            slow: BTreeSet::new(),
            complete: BTreeSet::new(),
            corrupt: BTreeSet::new(),
            lists_differ: false,
        }
    }

    fn region_of(&self, agent: usize) -> usize {
        let mut first = 0;
        for (region, size) in self.regions.iter().enumerate() {
            first += size;
            if agent < first {
                return region;
            }
        }
        panic!("agent {agent} does not exist");
    }

    fn plan(&self, own: usize) -> FetchPlan {
        let count = self.regions.iter().sum();
        let is_listed = |it: &usize| {
            !self.lists_differ || *it == own || !(*it * 7 + own * 3).is_multiple_of(10)
        };
        let peers = (0..count).filter(is_listed).map(|it| PiecePeer {
            address: address(it),
            region: format!("r{}", self.region_of(it)),
            complete: self.complete.contains(&it),
        });
        let region = format!("r{}", self.region_of(own));
        FetchPlan::new(address(own), &region, peers.collect(), Some("r0"))
    }
}

fn address(agent: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(agent).unwrap().to_be_bytes();
    ([10, 0, high, low], 7000).into()
}

/// Simulates a transfer in steps of [`TICK_MS`]. Links send one piece after the other.
fn run(scenario: &Scenario) -> Outcome {
    let start = Instant::now();
    let count: usize = scenario.regions.iter().sum();
    let index_of: BTreeMap<SocketAddr, usize> = (0..count).map(|it| (address(it), it)).collect();
    let full = PieceSet::full(PIECES);
    let mut staged: Vec<PieceSet> = (0..count)
        .map(|it| match scenario.complete.contains(&it) {
            true => full.clone(),
            false => PieceSet::new(PIECES),
        })
        .collect();
    let mut swarms: Vec<PieceSwarm> = (0..count)
        .map(|it| PieceSwarm::new(scenario.plan(it), PIECES, start))
        .collect();
    let mut origin_free_at = 0;
    let mut uplink_free_at = vec![0; count];
    let mut ends: BTreeMap<(u64, usize, usize), (PieceFetch, FetchOutcome)> = BTreeMap::new();
    let mut outcome = Outcome {
        done_ms: 0,
        from_origin: 0,
        between_regions: 0,
    };
    let is_live = |it: &usize| !scenario.dead.contains(it);
    for now_ms in (0..60_000).step_by(usize::try_from(TICK_MS).unwrap()) {
        let now = start + Duration::from_millis(now_ms);
        while let Some(entry) = ends.first_entry().filter(|it| it.key().0 <= now_ms) {
            let (_, agent, index) = *entry.key();
            let (fetch, result) = entry.remove();
            if result == FetchOutcome::Staged {
                staged[agent].insert(index);
                outcome.from_origin += usize::from(fetch.source == PieceSource::Origin);
            }
            swarms[agent].record_end(fetch, result, 0.5, now);
        }
        if (0..count).filter(is_live).all(|it| staged[it].is_full()) {
            outcome.done_ms = now_ms;
            return outcome;
        }
        for agent in (0..count).filter(is_live) {
            // Agents poll at different times.
            if (now_ms + u64::try_from(agent).unwrap() * TICK_MS).is_multiple_of(POLL_MS) {
                for neighbor in swarms[agent].plan().neighbors() {
                    let other = index_of[&neighbor];
                    if is_live(&other) && !scenario.complete.contains(&other) {
                        swarms[agent].record_pieces(neighbor, staged[other].clone(), now);
                    }
                }
            }
            let seed = |it: u64| (now_ms * 1009 + it).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let agent_seed = seed(u64::try_from(agent).unwrap());
            while let Some(fetch) = swarms[agent].next_fetch(&staged[agent], agent_seed, now) {
                let end = match fetch.source {
                    PieceSource::Origin if scenario.origin_away.contains(&now_ms) => {
                        (now_ms + TICK_MS, FetchOutcome::Unreachable)
                    }
                    PieceSource::Origin => {
                        origin_free_at = origin_free_at.max(now_ms) + ORIGIN_PIECE_MS;
                        (origin_free_at, FetchOutcome::Staged)
                    }
                    PieceSource::Agent(source) => {
                        let source = index_of[&source];
                        let is_other = scenario.region_of(source) != scenario.region_of(agent);
                        let factor = if scenario.slow.contains(&source) {
                            10
                        } else {
                            1
                        };
                        let free_at = uplink_free_at[source].max(now_ms);
                        let is_corrupt = scenario.complete.contains(&source)
                            && scenario.corrupt.contains(&fetch.index);
                        if is_corrupt {
                            (now_ms + TICK_MS, FetchOutcome::Absent)
                        } else if !is_live(&source) {
                            (now_ms + 700, FetchOutcome::Unreachable)
                        } else if free_at > now_ms + 150 {
                            (now_ms + 150, FetchOutcome::Busy)
                        } else {
                            outcome.between_regions += usize::from(is_other);
                            uplink_free_at[source] = free_at + UPLINK_PIECE_MS * factor;
                            (uplink_free_at[source] + 5, FetchOutcome::Staged)
                        }
                    }
                };
                ends.insert((end.0, agent, fetch.index), (fetch, end.1));
            }
        }
    }
    let missing = (0..count)
        .filter(is_live)
        .filter(|it| !staged[*it].is_full());
    panic!(
        "agents without all pieces after a minute: {:?}",
        missing.collect::<Vec<_>>()
    );
}

/// Checks a transfer against bounds: the time in addition to `unavoidable_ms`, and copies sent by the origin and between
/// regions.
fn check(scenario: &Scenario, unavoidable_ms: u64, max_copies: f64, max_between_regions: f64) {
    let outcome = run(scenario);
    let copies = outcome.from_origin as f64 / PIECES as f64;
    let between_regions = outcome.between_regions as f64 / PIECES as f64;
    assert!(
        outcome.done_ms <= unavoidable_ms + TAIL_MS
            && copies <= max_copies
            && between_regions <= max_between_regions,
        "{outcome:?}: bounds {} ms, {max_copies} and {max_between_regions} copies",
        unavoidable_ms + TAIL_MS
    );
}

/// Time that the last piece takes from the origin to all agents: one step into the region and six inside it, since 37
/// agents are less than 2^6, each with a poll, a wait for two other transfers and its own.
const TAIL_MS: u64 = 7 * (POLL_MS + 150 + 3 * UPLINK_PIECE_MS);

/// Time in which a transfer must end if agents fail: the switch time of the deployments with such an origin, 13.4 s, less
/// 3 s for the loads.
const DEGRADED_MS: u64 = 13_400 - 3000 - TAIL_MS;

/// Time that the origin takes for one copy.
const COPY_MS: u64 = PIECES as u64 * ORIGIN_PIECE_MS;

#[test]
fn one_copy_leaves_the_origin_and_one_enters_each_region() {
    check(&Scenario::new(&[4, 4, 3]), COPY_MS, 1.0, 2.0);
    check(&Scenario::new(&[20, 20, 18]), COPY_MS, 1.0, 2.0);
    check(&Scenario::new(&[37, 37, 37, 36, 36]), COPY_MS, 1.0, 4.0);
}

/// Guards against transfers that did not continue for seconds after the origin's return: agents waited for particular
/// others, and those that took over fetched what others fetched too.
#[test]
fn a_transfer_continues_as_soon_as_the_origin_is_back() {
    for regions in [&[4, 4, 3][..], &[22, 22, 22, 21, 21]] {
        let scenario = Scenario {
            origin_away: 2500..8500,
            ..Scenario::new(regions)
        };
        check(&scenario, COPY_MS + 6000, 1.1, regions.len() as f64);
    }
}

/// Guards against an origin that sent 1.6 copies: agents with different lists ranked each other differently, and each
/// fetched the same pieces.
#[test]
fn agents_with_different_lists_share_the_origin() {
    let scenario = Scenario {
        lists_differ: true,
        ..Scenario::new(&[22, 22, 22, 21, 21])
    };
    check(&scenario, COPY_MS + 1000, 1.3, 5.0);
}

#[test]
fn others_take_over_from_dead_and_slow_agents() {
    let every = |step: usize, offset: usize| (offset..36).step_by(step).collect::<BTreeSet<_>>();
    for offset in 0..3 {
        let dead = Scenario {
            dead: every(8, offset),
            ..Scenario::new(&[12, 12, 12])
        };
        check(&dead, DEGRADED_MS, 1.2, 2.5);
        let slow = Scenario {
            slow: every(8, offset),
            ..Scenario::new(&[12, 12, 12])
        };
        check(&slow, DEGRADED_MS, 1.2, 3.0);
    }
}

#[test]
fn agents_that_are_added_use_the_holders_of_their_region() {
    let scenario = Scenario {
        complete: (0..20).chain(25..45).chain(50..70).collect(),
        ..Scenario::new(&[25, 25, 25])
    };
    let download_ms = PIECES as u64 * UPLINK_PIECE_MS;
    check(&scenario, download_ms, 0.0, 0.0);
}

/// Guards against agents that never fetch from the origin what all holders have lost.
#[test]
fn pieces_that_are_corrupt_at_all_holders_come_from_the_origin() {
    let scenario = Scenario {
        complete: (0..3).collect(),
        corrupt: (0..30).collect(),
        ..Scenario::new(&[8])
    };
    let download_ms = PIECES as u64 * UPLINK_PIECE_MS;
    check(&scenario, download_ms + COPY_MS, 30.0 / PIECES as f64, 0.0);
}

#[test]
fn a_region_without_holders_copies_from_another_one() {
    let scenario = Scenario {
        complete: (0..20).collect(),
        ..Scenario::new(&[20, 10])
    };
    let download_ms = PIECES as u64 * UPLINK_PIECE_MS;
    check(&scenario, download_ms, 0.0, 1.2);
}

#[test]
fn a_region_that_reaches_no_other_uses_the_origin() {
    let scenario = Scenario {
        dead: (0..20).collect(),
        ..Scenario::new(&[20, 10])
    };
    check(&scenario, DEGRADED_MS, 1.2, 0.0);
}

/// Guards against a version that no agent loads, because all wait for one whose replica serves it and which cannot be reached.
#[test]
fn an_agent_that_should_have_all_pieces_and_does_not_respond_is_not_waited_for() {
    for region in [4, 12] {
        let scenario = Scenario {
            complete: [1].into(),
            dead: [1].into(),
            ..Scenario::new(&[region, region])
        };
        check(&scenario, DEGRADED_MS, 1.2, 2.5);
    }
}
