//! Compares the planner with a naive one under arrivals, losses, corruptions, restarts and new versions.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::{arbitrary, arbtest};
use fleet::Fleet;
use model::{ChunkSet, HostName};
use spread::{FetchState, SpreadPolicy};

/// What the naive planner needs: which chunks each host holds.
type Holdings = BTreeMap<HostName, BTreeSet<usize>>;

/// Gives each missing chunk to one host after the other, from the origin alone.
fn naive_spread(mut holdings: Holdings, chunks: usize) -> Holdings {
    for held in holdings.values_mut() {
        held.extend(0..chunks);
    }
    holdings
}

fn holdings(fleet: &Fleet) -> Holdings {
    let live = fleet.hosts.iter().filter(|(_, it)| it.alive);
    live.map(|(name, it)| (name.clone(), it.state.have().iter().collect()))
        .collect()
}

/// Replaces the version on all hosts, keeping the chunks with the same digest.
fn supersede(fleet: &mut Fleet, label: &str, chunks: usize) {
    let old = std::mem::replace(&mut fleet.manifest, fleet::manifest(label, chunks));
    for host in fleet.hosts.values_mut() {
        let have = host.state.have();
        let kept: ChunkSet = (0..chunks)
            .filter(|&it| have.contains(it) && old.chunks.get(it) == fleet.manifest.chunks.get(it))
            .collect();
        host.state = FetchState::new(&fleet.manifest, kept, fleet.max_fetches);
        host.running.clear();
    }
    fleet.trackers.clear();
    fleet.origin_sent.clear();
    fleet.pair_sent.clear();
    fleet.failed_entries = 0;
    fleet.failed_crossings = 0;
}

/// Losses that may cost a chunk a second way into a region.
#[derive(Default)]
struct Losses {
    hosts: u32,
    trackers: u32,
}

fn step(
    u: &mut arbitrary::Unstructured<'_>,
    fleet: &mut Fleet,
    losses: &mut Losses,
) -> arbitrary::Result<()> {
    let names: Vec<HostName> = fleet.hosts.keys().cloned().collect();
    let name = u.choose(&names)?.clone();
    fleet.now += Duration::from_millis(u.int_in_range(0..=20)?);
    match u.int_in_range(0..=99)? {
        0..=44 => fleet.ask(&name),
        45..=89 => {
            let running = &fleet.hosts[&name].running;
            if !running.is_empty() && fleet.hosts[&name].alive {
                let (fetch, _) = u.choose(running)?;
                let chunk = fetch.chunk;
                fleet.finish(&name, chunk);
            }
        }
        90..=93 => fleet.exchange(),
        94 => {
            let live = fleet.hosts.values().filter(|it| it.alive).count();
            if live > 3 && fleet.hosts[&name].alive {
                fleet.hosts.get_mut(&name).unwrap().alive = false;
                losses.hosts += 1;
            }
        }
        95 => fleet.hosts.get_mut(&name).unwrap().corrupts = u.arbitrary()?,
        96 => fleet.join(names.len(), u.int_in_range(0..=2)?),
        97 => {
            let keys: Vec<_> = fleet.trackers.keys().cloned().collect();
            if let Some(key) = keys.first() {
                fleet.trackers.remove(key);
                losses.trackers += 1;
            }
        }
        98 => {
            let label = if u.arbitrary()? { "v2" } else { "longer" };
            supersede(fleet, label, u.int_in_range(60..=80)?);
            *losses = Losses::default();
        }
        _ => {
            // Nobody is silent for so long that it counts as dead.
            fleet.now += Duration::from_secs(u.int_in_range(0..=3)?);
            names.iter().for_each(|it| fleet.ask(it));
        }
    }
    Ok(())
}

/// Lets everything run without further faults until the fleet is done.
fn settle(fleet: &mut Fleet) {
    let live = |fleet: &Fleet| -> Vec<HostName> {
        let live = fleet.hosts.iter().filter(|(_, it)| it.alive);
        live.map(|(name, _)| name.clone()).collect()
    };
    for _ in 0..MAX_ROUNDS {
        if fleet.is_done() {
            return;
        }
        for name in live(fleet) {
            fleet.ask(&name);
        }
        for name in live(fleet) {
            let running: Vec<usize> = fleet.hosts[&name]
                .running
                .iter()
                .map(|(it, _)| it.chunk)
                .collect();
            for chunk in running {
                fleet.finish(&name, chunk);
            }
        }
        fleet.exchange();
        fleet.now += Duration::from_millis(100);
    }
}

const MAX_ROUNDS: usize = 3000;

fn check(seed: u64, origin_copies: u32) {
    arbtest(|u| {
        let policy = SpreadPolicy {
            origin_copies,
            ..SpreadPolicy::default()
        };
        let mut fleet = Fleet::new(9, 3, 70, policy);
        let mut losses = Losses::default();
        for _ in 0..400 {
            if u.is_empty() {
                break;
            }
            step(u, &mut fleet, &mut losses)?;
        }
        settle(&mut fleet);

        let chunks = fleet.manifest.chunk_count();
        let naive = naive_spread(holdings(&fleet), chunks);
        assert!(
            holdings(&fleet) == naive,
            "chunks are missing, seed {seed:#x}"
        );
        let corrupting = fleet.hosts.values().filter(|it| it.corrupts).count() as u32;
        let lost = losses.hosts + losses.trackers + corrupting + fleet.failed_entries;
        if lost == 0 {
            let most = fleet.origin_sent.values().max().copied().unwrap_or(0);
            assert!(
                most <= origin_copies,
                "a chunk left the origin {most} times, seed {seed:#x}"
            );
            assert!(
                fleet.pair_sent.values().all(|it| *it <= 1),
                "seed {seed:#x}"
            );
        }
        Ok(())
    })
    .seed(seed);
}

#[test]
fn ends_with_the_set_of_the_naive_planner() {
    for size in [0x200, 0x800, 0x2000] {
        for seed in 0..60_u64 {
            check(seed << 32 | size, 1);
            check(seed << 32 | size, 3);
        }
    }
}
