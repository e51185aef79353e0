//! Property test that compares the planner with a naive one while hosts join, fail or corrupt data, trackers restart
//! and versions change.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::{arbitrary, arbtest};
use fleet::Fleet;
use model::{ChunkSet, HostName};
use spread::{FetchState, SpreadPolicy};

/// The chunks that each host holds.
type Holdings = BTreeMap<HostName, BTreeSet<usize>>;

/// Gives every host all chunks, as if each fetched its missing ones from the origin.
fn naive_plan(mut holdings: Holdings, chunks: usize) -> Holdings {
    for held in holdings.values_mut() {
        held.extend(0..chunks);
    }
    holdings
}

fn holdings(fleet: &Fleet) -> Holdings {
    let live = fleet.hosts.iter().filter(|(_, it)| it.alive);
    live.map(|(name, it)| (name.clone(), it.state.present().iter().collect()))
        .collect()
}

/// Replaces the version on all hosts, keeping chunks whose digest is unchanged.
fn replace_version(fleet: &mut Fleet, label: &str, chunks: usize) {
    let old = std::mem::replace(&mut fleet.manifest, fleet::manifest(label, chunks));
    for host in fleet.hosts.values_mut() {
        let present = host.state.present();
        let kept: ChunkSet = (0..chunks)
            .filter(|&it| {
                present.contains(it) && old.chunks.get(it) == fleet.manifest.chunks.get(it)
            })
            .collect();
        host.state = FetchState::new(&fleet.manifest, kept, fleet.max_fetches);
        host.running.clear();
    }
    fleet.trackers.clear();
    fleet.origin_sent.clear();
    fleet.region_pair_sent.clear();
    fleet.failed_imports = 0;
    fleet.failed_region_fetches = 0;
}

/// Counts of faults after which a chunk may be imported into a region more than once.
#[derive(Default)]
struct Faults {
    hosts: u32,
    trackers: u32,
}

fn apply_random_event(
    u: &mut arbitrary::Unstructured<'_>,
    fleet: &mut Fleet,
    faults: &mut Faults,
) -> arbitrary::Result<()> {
    let names: Vec<HostName> = fleet.hosts.keys().cloned().collect();
    let name = u.choose(&names)?.clone();
    fleet.now += Duration::from_millis(u.int_in_range(0..=20)?);
    match u.int_in_range(0..=99)? {
        0..=44 => fleet.send_reports(&name),
        45..=89 => {
            let running = &fleet.hosts[&name].running;
            if !running.is_empty() && fleet.hosts[&name].alive {
                let (fetch, _) = u.choose(running)?;
                let chunk = fetch.chunk;
                fleet.finish_fetch(&name, chunk);
            }
        }
        90..=93 => fleet.exchange_offers(),
        94 => {
            let live = fleet.hosts.values().filter(|it| it.alive).count();
            if live > 3 && fleet.hosts[&name].alive {
                fleet.hosts.get_mut(&name).unwrap().alive = false;
                faults.hosts += 1;
            }
        }
        95 => fleet.hosts.get_mut(&name).unwrap().sends_corrupt_data = u.arbitrary()?,
        96 => fleet.add_host(names.len(), u.int_in_range(0..=2)?),
        97 => {
            let keys: Vec<_> = fleet.trackers.keys().cloned().collect();
            if let Some(key) = keys.first() {
                fleet.trackers.remove(key);
                faults.trackers += 1;
            }
        }
        98 => {
            let label = if u.arbitrary()? { "v2" } else { "longer" };
            replace_version(fleet, label, u.int_in_range(60..=80)?);
            *faults = Faults::default();
        }
        _ => {
            // The time step stays below the host timeout, so that no live host is considered dead.
            fleet.now += Duration::from_secs(u.int_in_range(0..=3)?);
            names.iter().for_each(|it| fleet.send_reports(it));
        }
    }
    Ok(())
}

/// Runs the simulation without further faults until every live host holds all chunks.
fn run_to_completion(fleet: &mut Fleet) {
    let live = |fleet: &Fleet| -> Vec<HostName> {
        let live = fleet.hosts.iter().filter(|(_, it)| it.alive);
        live.map(|(name, _)| name.clone()).collect()
    };
    for _ in 0..MAX_ROUNDS {
        if fleet.is_complete() {
            return;
        }
        for name in live(fleet) {
            fleet.send_reports(&name);
        }
        for name in live(fleet) {
            let running: Vec<usize> = fleet.hosts[&name]
                .running
                .iter()
                .map(|(it, _)| it.chunk)
                .collect();
            for chunk in running {
                fleet.finish_fetch(&name, chunk);
            }
        }
        fleet.exchange_offers();
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
        let mut faults = Faults::default();
        for _ in 0..400 {
            if u.is_empty() {
                break;
            }
            apply_random_event(u, &mut fleet, &mut faults)?;
        }
        run_to_completion(&mut fleet);

        let chunks = fleet.manifest.chunk_count();
        let naive = naive_plan(holdings(&fleet), chunks);
        assert!(
            holdings(&fleet) == naive,
            "hosts lack chunks, seed {seed:#x}"
        );
        let corrupting_hosts = fleet
            .hosts
            .values()
            .filter(|it| it.sends_corrupt_data)
            .count() as u32;
        let fault_count = faults.hosts + faults.trackers + corrupting_hosts + fleet.failed_imports;
        if fault_count == 0 {
            let most = fleet.origin_sent.values().max().copied().unwrap_or(0);
            assert!(
                most <= origin_copies,
                "a chunk was fetched from the origin {most} times, seed {seed:#x}"
            );
            assert!(
                fleet.region_pair_sent.values().all(|it| *it <= 1),
                "a chunk was sent twice between two regions, seed {seed:#x}"
            );
        }
        Ok(())
    })
    .seed(seed);
}

#[test]
fn reaches_the_holdings_of_the_naive_planner() {
    for size in [0x200, 0x800, 0x2000] {
        for seed in 0..60_u64 {
            check(seed << 32 | size, 1);
            check(seed << 32 | size, 3);
        }
    }
}
