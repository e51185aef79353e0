//! Randomized soak test of lives: the store returns from older copies, several times in a row, and replicas leave, while
//! entries are killed, suspended and started again and clients keep their connections.
//!
//! The seeds in [`SEEDS`] run in CI; `FULMARLINE_SOAK_SEEDS=100..150` selects other seeds for a manual run.

#[path = "support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::{TestSite, route};
use standin::{ReplicaFaults, ReplicaKind, SiteReplica, StoreCopy};

/// Seeds that run by default.
const SEEDS: [u64; 2] = [1, 2];

/// Number of faults that are injected per seed.
const FAULT_COUNT: usize = 12;

/// Number of concurrent clients, each of which sends one order after another on kept connections.
const CLIENT_COUNT: u64 = 4;

/// Number of replicas besides the first one, which never leaves.
const LEAVING_REPLICAS: u8 = 4;

/// Time after which a replica that leaves gets nothing: the bound of the users' rule, and the time in which some entry
/// receives a response of it and tells the others.
const DEPARTURE_TIME: Duration = Duration::from_secs(4);

/// The operator's and the replicas' rows, which they write again after the store has lost them.
struct RowWriters {
    replicas: Vec<SiteReplica>,
    /// Replicas whose rows say that they drain.
    draining: Vec<usize>,
    /// Replicas that have left, and when.
    left: Vec<(usize, Instant)>,
    /// Name of the last route that was added.
    newest_route: String,
}

impl RowWriters {
    fn write_row(&self, site: &TestSite, index: usize) {
        let replica = &self.replicas[index];
        let state = if self.draining.contains(&index) {
            "draining"
        } else {
            "ready"
        };
        let row = replica.row("orders", ["a", "b"][index % 2], state);
        site.store.put("servers", &format!("s-{index}"), &row);
    }

    fn write_all(&self, site: &mut TestSite) {
        site.configure_again(&route(&self.newest_route));
        for index in 0..self.replicas.len() {
            self.write_row(site, index);
        }
    }
}

#[test]
fn nothing_goes_back_over_lives_of_the_store() {
    let seeds: Vec<u64> = match std::env::var("FULMARLINE_SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("FROM..TO");
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    for seed in seeds {
        soak(seed);
    }
}

fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = TestSite::start(&format!("life-soak-{seed}"), 161, &[]);
    for index in 0..2 {
        site.store.remove("servers", &format!("o-{index}"));
    }
    let replicas = (0..=LEAVING_REPLICAS).map(|it| {
        let address = ([127, 0, 1, 161 + it], 0).into();
        let id = format!("s-{it}");
        let weights = site::WEIGHTS;
        SiteReplica::start(&site.runtime, &id, address, ReplicaKind::Plain, weights).unwrap()
    });
    let mut writers = RowWriters {
        replicas: replicas.collect(),
        draining: Vec::new(),
        left: Vec::new(),
        newest_route: "r0".to_owned(),
    };
    site.configure(&route("r0"));
    writers.write_all(&mut site);
    for entry in 0..2 {
        site.wait_for_route(&[entry], "r0");
    }
    let stop = AtomicBool::new(false);
    let next_id = AtomicU64::new(0);
    let caller = site.caller();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let answers = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| {
                let (caller, stop, next_id) = (caller.clone(), &stop, &next_id);
                let caller = caller.with_kept_connections();
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let number = next_id.fetch_add(1, Ordering::Relaxed);
                        let id = format!("life-{seed}-{number}");
                        let entry = usize::try_from((number + client) % 2).unwrap();
                        let answer = caller.call(entry, Method::POST, "/order/1", &id, "key-1");
                        match answer {
                            Some(it) => answers.push((id, it.status)),
                            None => std::thread::sleep(Duration::from_millis(20)),
                        }
                        std::thread::sleep(Duration::from_millis(4));
                    }
                    answers
                })
            })
            .collect();
        let mut copy = site.store.copy();
        for _ in 0..FAULT_COUNT {
            let fault = inject_fault(&mut site, &mut rng, &mut writers, &mut copy);
            *counts.entry(fault).or_default() += 1;
        }
        // Whatever the last copy lacks is in force at both entries in the end.
        for entry in 0..2 {
            site.wait_for_route(&[entry], &writers.newest_route.clone());
        }
        std::thread::sleep(DEPARTURE_TIME);
        stop.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .flat_map(|it| it.join().unwrap())
            .collect::<Vec<_>>()
    });
    check_answers(&site, &writers, &answers);
    println!("seed {seed}: {} answers, {counts:?}", answers.len());
}

/// Injects one fault and returns its name.
fn inject_fault(
    site: &mut TestSite,
    rng: &mut StdRng,
    writers: &mut RowWriters,
    copy: &mut StoreCopy,
) -> &'static str {
    let entry = rng.random_range(0..2);
    let pause = Duration::from_millis(rng.random_range(100..700));
    let name = match rng.random_range(0..9) {
        0 => {
            *copy = site.store.copy();
            "copy"
        }
        1..=3 => {
            site.store.set_down(true);
            site.store.return_from(copy);
            std::thread::sleep(pause);
            site.store.set_down(false);
            std::thread::sleep(pause / 2);
            writers.write_all(site);
            "return"
        }
        4 => {
            let number = rng.random_range(0..u32::MAX);
            writers.newest_route = format!("r{number}");
            site.configure(&route(&writers.newest_route));
            "configuration"
        }
        5 | 6 if writers.left.len() < usize::from(LEAVING_REPLICAS) => {
            let index = writers.left.len() + 1;
            let (says_so, has_row) =
                [(true, false), (false, true), (true, true)][rng.random_range(0..3)];
            if says_so {
                writers.replicas[index].set_faults(ReplicaFaults {
                    leaving: Some("1"),
                    ..ReplicaFaults::default()
                });
            }
            if has_row {
                writers.draining.push(index);
                writers.write_row(site, index);
            }
            writers.left.push((index, Instant::now()));
            "departure"
        }
        7 => {
            site.entries[entry].suspend();
            std::thread::sleep(pause);
            site.entries[entry].resume();
            "freeze"
        }
        _ => {
            site.entries[entry].kill();
            std::thread::sleep(pause / 2);
            site.start_entry(entry);
            "kill"
        }
    };
    std::thread::sleep(pause);
    name
}

/// Checks that an order runs at most once, that a refused one has not run, and that replicas that left get nothing.
fn check_answers(site: &TestSite, writers: &RowWriters, answers: &[(String, StatusCode)]) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for replica in writers.replicas.iter().chain(&site.orders) {
        // Requests on added routes may be repeated.
        let orders = replica.runs().into_iter();
        for (id, count) in orders.filter(|it| it.0.starts_with("life-")) {
            *runs.entry(id).or_default() += count;
        }
    }
    let repeated: Vec<_> = runs.iter().filter(|it| *it.1 > 1).collect();
    assert!(
        repeated.is_empty(),
        "orders ran more than once: {repeated:?}"
    );
    for (id, status) in answers {
        let has_run = runs.contains_key(id);
        match status.as_u16() {
            200 => assert!(has_run, "{id} has not run"),
            429 | 503 => assert!(!has_run, "{id} was refused, but it ran"),
            // The route and the key are in every configuration.
            401 | 403 | 404 => panic!("{id} was denied with {status}"),
            _ => {}
        }
    }
    for (index, left_at) in &writers.left {
        let late = writers.replicas[*index].requests_since(*left_at + DEPARTURE_TIME);
        assert_eq!(late, 0, "s-{index} got requests after it had left");
    }
}
