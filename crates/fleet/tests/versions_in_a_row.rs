//! Two versions that are declared one after the other, before an origin that goes away: what agents decide, and in virtual
//! time which weights replicas serve.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use fleet::{
    FetchOutcome, FetchPlan, PieceFetch, PiecePeer, PieceSet, PieceShares, PieceSource, PieceSwarm,
    SWITCH_RESERVE, StoreInterval, SwitchDeadlines, VersionPlan,
};

/// A deployment; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    regions: [usize; 3],
    switch_bound_ms: u64,
    pieces: usize,
    /// Time that the origin's link takes for a piece, and the uplink of an agent.
    origin_piece_ms: u64,
    uplink_piece_ms: u64,
}

/// 48 pieces of 49,152 bytes over 9 and 9.4 Mbit/s.
const QUICK: Deployment = Deployment {
    regions: [18, 17, 17],
    switch_bound_ms: 9700,
    pieces: 48,
    origin_piece_ms: 44,
    uplink_piece_ms: 42,
};

/// 96 pieces of 24,576 bytes over 4.38 and 7.3 Mbit/s.
const SLOW: Deployment = Deployment {
    regions: [18, 17, 17],
    switch_bound_ms: 13_400,
    pieces: 96,
    origin_piece_ms: 45,
    uplink_piece_ms: 27,
};

const SECOND_MS: u64 = 18_000;
const THIRD_MS: u64 = 20_000;

impl Deployment {
    fn deadlines(&self, versions: &[(u64, u64)]) -> SwitchDeadlines {
        let bound = Duration::from_millis(self.switch_bound_ms);
        let mut deadlines = SwitchDeadlines::new(bound, SWITCH_RESERVE);
        let copy_ms = self.origin_piece_ms * self.pieces as u64;
        deadlines.set_copy_time(Duration::from_millis(copy_ms));
        for (version, declared_ms) in versions {
            let declared = StoreInterval {
                not_before_ms: *declared_ms,
                not_after_ms: *declared_ms,
            };
            deadlines.declare(*version, declared);
        }
        deadlines
    }

    /// Checks which version is staged and which one is fetched ahead, if versions 2 and 3 are declared and shares of their
    /// pieces are known, the own one and that of the swarm.
    fn check(
        &self,
        at_ms: u64,
        second: (f64, f64),
        third: (f64, f64),
        expected: (u64, Option<u64>),
    ) {
        let deadlines = self.deadlines(&[(2, SECOND_MS), (3, THIRD_MS)]);
        let shares = |version: u64| {
            let (own, swarm) = if version == 2 { second } else { third };
            PieceShares { own, swarm }
        };
        let plan = deadlines.plan(Some(1), shares, Some(Duration::from_millis(at_ms)));
        let (staged, ahead) = expected;
        assert_eq!(
            plan,
            VersionPlan { staged, ahead },
            "at {at_ms} ms, version 2 {second:?}, version 3 {third:?}"
        );
    }

    fn check_load(&self, at_ms: u64, newest_share: f64, position: f64, expected: bool) {
        let deadlines = self.deadlines(&[(2, SECOND_MS), (3, THIRD_MS)]);
        let now = Some(Duration::from_millis(at_ms));
        let is_due = deadlines.is_load_due(Some(1), 2, newest_share, position, now);
        assert_eq!(
            is_due, expected,
            "at {at_ms} ms, {newest_share}, {position}"
        );
    }
}

/// Guards against agents that give up a version which the origin has sent whole or in part, although its successor can be
/// whole in time after it.
#[test]
fn the_version_with_the_earlier_deadline_is_staged_first() {
    let none = (0.0, 0.0);
    for deployment in [QUICK, SLOW] {
        deployment.check(20_100, (0.6, 0.8), none, (2, None));
        // Agents fetch the newest one besides as soon as the older one needs no origin.
        deployment.check(20_100, (0.6, 1.0), none, (2, Some(3)));
        deployment.check(20_600, (1.0, 1.0), (0.2, 0.4), (2, Some(3)));
        deployment.check(24_000, (1.0, 1.0), (0.9, 1.0), (2, Some(3)));
        deployment.check(24_000, (1.0, 1.0), (1.0, 1.0), (3, None));
        deployment.check(24_000, (0.9, 1.0), (0.2, 1.0), (3, None));
    }
    // What the origin still has to send of the older one would make the newest one late.
    QUICK.check(24_500, (0.5, 0.6), none, (3, None));
    SLOW.check(24_500, (0.5, 0.6), none, (3, None));
    // It needs no origin, so it delays nothing.
    QUICK.check(25_800, (0.5, 1.0), none, (2, Some(3)));
    SLOW.check(29_500, (0.5, 1.0), none, (2, Some(3)));
}

/// Guards against loads that no replica needs, and against replicas that all pause at once.
#[test]
fn an_older_version_is_loaded_only_if_the_newest_one_is_late() {
    // Version 1 ends at 26.1 s.
    QUICK.check_load(23_000, 0.0, 0.0, false);
    QUICK.check_load(23_100, 0.0, 0.0, true);
    QUICK.check_load(24_000, 0.0, 0.5, false);
    QUICK.check_load(24_100, 0.0, 0.5, true);
    QUICK.check_load(25_000, 0.0, 1.0, false);
    QUICK.check_load(25_100, 0.0, 1.0, true);
    QUICK.check_load(25_000, 1.0, 0.0, false);
}

/// What replicas serve during a day.
#[derive(Debug, Default)]
struct Outcome {
    /// Time in which no replica serves an allowed version, in milliseconds.
    none_ms: u64,
    /// Time in which fewer than half of them do.
    under_half_ms: u64,
    /// When the newest version was first whole at an agent.
    whole_ms: u64,
    /// Pieces that the origin sent.
    from_origin: usize,
    /// Loads of version 2.
    older_loads: usize,
    /// When all replicas serve the newest version.
    done_ms: u64,
}

struct Agent {
    serving: u64,
    loading: Option<(u64, u64)>,
    swarms: BTreeMap<u64, PieceSwarm>,
    pieces: BTreeMap<u64, PieceSet>,
    shares: BTreeMap<u64, f64>,
    whole_ms: Option<u64>,
}

fn address(agent: usize) -> SocketAddr {
    ([10, 0, 0, u8::try_from(agent).unwrap()], 7000).into()
}

/// Simulates versions 2 and up, declared at `declared`, with an origin that is away in `away`, in steps of 10 ms.
fn run(deployment: &Deployment, declared: &[(u64, u64)], away: Range<u64>) -> Outcome {
    let start = Instant::now();
    let regions = deployment.regions;
    let count: usize = regions.iter().sum();
    let region_of = |it: usize| match it {
        it if it < regions[0] => "r0",
        it if it < regions[0] + regions[1] => "r1",
        _ => "r2",
    };
    let peers: Vec<_> = (0..count)
        .map(|it| PiecePeer {
            address: address(it),
            region: region_of(it).to_owned(),
            complete: false,
        })
        .collect();
    let plan = |it: usize| FetchPlan::new(address(it), region_of(it), peers.clone(), Some("r0"));
    let plans: Vec<FetchPlan> = (0..count).map(plan).collect();
    let mut agents: Vec<Agent> = (0..count)
        .map(|_| Agent {
            serving: 1,
            loading: None,
            swarms: BTreeMap::new(),
            pieces: BTreeMap::new(),
            shares: BTreeMap::new(),
            whole_ms: None,
        })
        .collect();
    let newest = declared.last().unwrap().0;
    let switch_ms = deployment.switch_bound_ms - u64::try_from(SWITCH_RESERVE.as_millis()).unwrap();
    let (mut origin_free_at, mut uplink_free_at) = (0, vec![0; count]);
    let mut ends: BTreeMap<(u64, usize, u64, usize), (PieceFetch, FetchOutcome)> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for now_ms in (SECOND_MS..60_000).step_by(10) {
        let now = start + Duration::from_millis(now_ms);
        let store_now = Some(Duration::from_millis(now_ms));
        while let Some(entry) = ends.first_entry().filter(|it| it.key().0 <= now_ms) {
            let (_, agent, version, index) = *entry.key();
            let (fetch, result) = entry.remove();
            if result == FetchOutcome::Staged {
                outcome.from_origin += usize::from(fetch.source == PieceSource::Origin);
                agents[agent]
                    .pieces
                    .get_mut(&version)
                    .unwrap()
                    .insert(index);
            }
            let swarm = agents[agent].swarms.get_mut(&version).unwrap();
            swarm.record_end(fetch, result, 0.5, now);
        }
        for agent in 0..count {
            // A declaration takes 0.2 to 0.5 s to an agent.
            let delay_ms = 200 + (agent as u64 * 37) % 300;
            let known = declared.iter().filter(|it| it.1 + delay_ms <= now_ms);
            let known: Vec<_> = known.copied().collect();
            let Some(known_newest) = known.last().map(|it| it.0) else {
                continue;
            };
            let deadlines = deployment.deadlines(&known);
            let state = &mut agents[agent];
            if let Some((version, _)) = state.loading.take_if(|it| it.1 <= now_ms) {
                state.serving = version;
            }
            let serving = state.loading.map_or(state.serving, |it| it.0);
            let shares = |version: u64| {
                let own = state.pieces.get(&version).map_or(0.0, PieceSet::share);
                let swarm = state.shares.get(&version).copied().unwrap_or_default();
                PieceShares { own, swarm }
            };
            let plan = deadlines.plan(Some(serving), shares, store_now);
            if serving < plan.staged && state.loading.is_none() && shares(plan.staged).own >= 1.0 {
                let position = plans[agent].rollout_position();
                let newest_share = shares(known_newest).swarm;
                let is_due = if plan.staged < known_newest {
                    deadlines.is_load_due(
                        Some(serving),
                        plan.staged,
                        newest_share,
                        position,
                        store_now,
                    )
                } else {
                    if outcome.whole_ms == 0 {
                        outcome.whole_ms = now_ms;
                    }
                    let whole_ms = *state.whole_ms.get_or_insert(now_ms);
                    let end = deadlines.deadline(serving).unwrap();
                    let window = end.saturating_sub(Duration::from_millis(whole_ms));
                    Duration::from_millis(now_ms - whole_ms) >= window.mul_f64(position)
                };
                if is_due {
                    state.loading = Some((plan.staged, now_ms + 1000));
                    outcome.older_loads += usize::from(plan.staged < newest);
                }
            }
            let active = [Some(plan.staged), plan.ahead].into_iter().flatten();
            for version in active.filter(|it| *it > serving) {
                let empty = || PieceSet::new(deployment.pieces);
                agents[agent].pieces.entry(version).or_insert_with(empty);
                let swarm = PieceSwarm::new(plans[agent].clone(), deployment.pieces, now);
                agents[agent].swarms.entry(version).or_insert(swarm);
                if version == plan.staged {
                    // Pieces that are staged replace those of the version before.
                    let staged = agents[agent].pieces[&version].clone();
                    if let Some(before) = agents[agent].pieces.get_mut(&(version - 1)) {
                        (0..staged.len())
                            .filter(|it| staged.contains(*it))
                            .for_each(|it| before.remove(it));
                    }
                }
                if (now_ms + agent as u64 * 10).is_multiple_of(60) {
                    for neighbor in plans[agent].neighbors() {
                        let other = &agents[usize::from(match neighbor.ip() {
                            std::net::IpAddr::V4(it) => it.octets()[3],
                            std::net::IpAddr::V6(_) => unreachable!(),
                        })];
                        let has = other.pieces.get(&version).cloned();
                        let swarm = agents[agent].swarms.get_mut(&version).unwrap();
                        match has {
                            Some(has) => swarm.record_pieces(neighbor, has, now),
                            None => swarm.record_without_version(neighbor),
                        }
                    }
                }
                let state = &mut agents[agent];
                let staged = state.pieces[&version].clone();
                let swarm = state.swarms.get_mut(&version).unwrap();
                let share = swarm.known_share(&staged);
                let known_share = state.shares.entry(version).or_default();
                *known_share = known_share.max(share);
                let seed = (now_ms * 1009 + agent as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                while let Some(fetch) = swarm.next_fetch(&staged, seed, now) {
                    let end = match fetch.source {
                        PieceSource::Origin if away.contains(&now_ms) => {
                            (now_ms + 10, FetchOutcome::Unreachable)
                        }
                        PieceSource::Origin => {
                            origin_free_at =
                                now_ms.max(origin_free_at) + deployment.origin_piece_ms;
                            (origin_free_at, FetchOutcome::Staged)
                        }
                        PieceSource::Agent(source) => {
                            let source = (0..count).find(|it| address(*it) == source).unwrap();
                            let free_at = uplink_free_at[source].max(now_ms);
                            if free_at > now_ms + 150 {
                                (now_ms + 150, FetchOutcome::Busy)
                            } else {
                                uplink_free_at[source] = free_at + deployment.uplink_piece_ms;
                                (uplink_free_at[source] + 5, FetchOutcome::Staged)
                            }
                        }
                    };
                    ends.insert((end.0, agent, version, fetch.index), (fetch, end.1));
                }
            }
        }
        let mut in_effect = declared.iter().filter(|it| it.1 + switch_ms <= now_ms);
        let oldest = in_effect.next_back().map_or(1, |it| it.0);
        let allowed = agents
            .iter()
            .filter(|it| it.loading.is_none() && it.serving >= oldest);
        let allowed = allowed.count();
        outcome.none_ms += if allowed == 0 { 10 } else { 0 };
        outcome.under_half_ms += if allowed * 2 < count { 10 } else { 0 };
        if agents.iter().all(|it| it.serving == newest) {
            outcome.done_ms = now_ms;
            return outcome;
        }
    }
    panic!("not all replicas serve version {newest}: {outcome:?}");
}

/// Checks what a transfer costs: the time without any allowed version and with less than half of the replicas, and the number
/// of replicas that load version 2.
fn check_run(
    deployment: &Deployment,
    versions: usize,
    away: Range<u64>,
    max_none_ms: u64,
    max_under_half_ms: u64,
    max_older_loads: usize,
) {
    let declared = [(2, SECOND_MS), (3, THIRD_MS)];
    let outcome = run(deployment, &declared[..versions], away.clone());
    assert!(
        outcome.none_ms <= max_none_ms
            && outcome.under_half_ms <= max_under_half_ms
            && outcome.older_loads <= max_older_loads,
        "{outcome:?}, origin away {away:?}"
    );
}

const AWAY: Range<u64> = 20_500..26_500;

/// Time from the return of the origin in which not all of its bytes can be served: a copy, its way to the agents and a load.
fn return_ms(deployment: &Deployment) -> u64 {
    deployment.origin_piece_ms * deployment.pieces as u64 + 500 + 1000
}

/// Guards against seconds without any allowed version: agents gave up version 2, which the origin had sent once, for version 3,
/// whose origin went away.
#[test]
fn a_version_that_the_origin_has_sent_is_served_until_its_successor_is_whole() {
    // Version 2 ends at 28.1 s.
    let none_ms = AWAY.end + return_ms(&QUICK) - 28_100;
    check_run(&QUICK, 2, AWAY, none_ms, none_ms + 500, 52);
    // Half of version 2 is missing, and there is no time for the rest and a copy of version 3 afterwards. Version 1 ends at 29.8 s.
    let none_ms = AWAY.end + return_ms(&SLOW) - 29_800;
    check_run(&SLOW, 2, AWAY, none_ms, none_ms + 500, 0);
}

/// Guards against replicas that pause twice although the newest version is whole in time.
#[test]
fn a_version_is_not_loaded_if_its_successor_arrives_in_time() {
    for deployment in [QUICK, SLOW] {
        check_run(&deployment, 2, 0..0, 0, 0, 0);
        // Loads are crowded into the last second after the origin's return.
        check_run(&deployment, 1, AWAY, 0, 1000, 0);
    }
}
