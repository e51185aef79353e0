//! Randomized soak test: injects random faults into a site of real processes, and checks the guarantees against what
//! clients and replicas observe.
//!
//! The seeds in [`SEEDS`] run in CI; `FULMARLINE_SOAK_SEEDS=100..150` selects other seeds for a manual run, and
//! `FULMARLINE_SOAK_ADDRESS=200` the first address of the site, so that several runs fit on one machine. Every seed that has
//! failed is added to [`SEEDS`] with a comment on the cause.

#[path = "support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::TestSite;
use standin::{ReplicaCalls, ReplicaFaults};

/// Seeds that run by default.
const SEEDS: [u64; 2] = [1, 2];

/// Last number of the first address of the site.
const FIRST_INDEX: u8 = 61;

/// Number of faults that are injected per seed.
const FAULT_COUNT: u32 = 14;

/// Number of concurrent clients, each of which sends one request after another.
const CLIENT_COUNT: u8 = 4;

/// Statuses with which replicas fail requests that they have run.
const FAIL_STATUSES: [Option<u16>; 5] = [None, Some(408), Some(429), Some(500), Some(503)];

/// Statuses that promise that a request has not run.
const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Key that is revoked, moved to another tenant and given out again.
const MOVED_KEY: &str = "key-2";

/// Tenants that hold [`MOVED_KEY`] in turn, or none.
const HOLDERS: [Option<&str>; 3] = [None, Some("dealer"), Some("chain")];

/// Time for which a request may still run for a former holder of its key (`revokeMs` of the site).
const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// A request and the response that the client received.
struct CallRecord {
    id: String,
    kind: &'static str,
    key: &'static str,
    sent: Instant,
    ended: Instant,
    status: StatusCode,
    body: String,
    complete: bool,
}

#[test]
fn guarantees_hold_under_random_faults() {
    let seeds: Vec<u64> = match std::env::var("FULMARLINE_SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("FROM..TO");
            (from.parse().unwrap()..to.parse().unwrap()).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let first_index = std::env::var("FULMARLINE_SOAK_ADDRESS");
    let first_index = first_index.map_or(FIRST_INDEX, |it| it.parse().unwrap());
    for seed in seeds {
        println!("seed {seed}");
        soak(seed, first_index);
    }
}

fn soak(seed: u64, first_index: u8) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = TestSite::start(&format!("soak-{seed}"), first_index, &[1, 1, 0]);
    let stop = AtomicBool::new(false);
    let next_id = AtomicU64::new(0);
    let mut version = 1;
    let mut holders = Vec::new();
    set_holder(&mut site, &mut holders, Some("dealer"));
    site.wait_for_route(&[0, 1], "notice");
    let caller = site.caller();
    let calls = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| {
                let (caller, stop, next_id) = (&caller, &stop, &next_id);
                let mut rng = StdRng::seed_from_u64(seed ^ ((u64::from(client) + 1) << 32));
                scope.spawn(move || {
                    let mut calls = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("soak-{seed}-{}", next_id.fetch_add(1, Ordering::Relaxed));
                        let (kind, method, path, key) = match rng.random_range(0..5) {
                            0 => ("stream", Method::POST, "/draft/1", "key-1"),
                            1 => ("order", Method::POST, "/order/1", "key-1"),
                            2 => ("lookup", Method::GET, "/lookup/1", "key-1"),
                            3 => ("lookup", Method::GET, "/lookup/1", MOVED_KEY),
                            // The route is public.
                            _ => ("notice", Method::GET, "/notice/1", MOVED_KEY),
                        };
                        let entry = rng.random_range(0..2);
                        let sent = Instant::now();
                        match caller.call(entry, method, path, &id, key) {
                            Some(it) => calls.push(CallRecord {
                                id,
                                kind,
                                key,
                                sent,
                                ended: Instant::now(),
                                status: it.status,
                                body: it.body,
                                complete: it.complete,
                            }),
                            None => std::thread::sleep(Duration::from_millis(20)),
                        }
                    }
                    calls
                })
            })
            .collect();
        for _ in 0..FAULT_COUNT {
            match rng.random_range(0..6) {
                0 => move_key(&mut site, &mut rng, &mut holders),
                _ => version = inject_fault(&mut site, &mut rng, version),
            }
        }
        clear_faults(&mut site);
        stop.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .flat_map(|it| it.join().unwrap())
            .collect::<Vec<_>>()
    });
    check_recovered(&site, version);
    check_guarantees(&site, &calls);
    check_tenants(&site, &calls, &holders);
}

/// Gives [`MOVED_KEY`] to `holder` or takes it away, and records when this was acknowledged.
fn set_holder(
    site: &mut TestSite,
    holders: &mut Vec<(Instant, Option<&'static str>)>,
    holder: Option<&'static str>,
) {
    site.tenants = vec![("dealer", vec!["key-1"]), ("chain", vec!["key-3"])];
    let tenants = site.tenants.iter_mut();
    for (_, keys) in tenants.filter(|it| Some(it.0) == holder) {
        keys.push(MOVED_KEY);
    }
    site.configure(&site::route("notice"));
    holders.push((Instant::now(), holder));
}

/// Changes who holds [`MOVED_KEY`], once or several times, while the store turns the entries away for longer than keys may be
/// accepted, or an entry is suspended, or neither.
fn move_key(
    site: &mut TestSite,
    rng: &mut StdRng,
    holders: &mut Vec<(Instant, Option<&'static str>)>,
) {
    let entry = rng.random_range(0..2);
    let is_turned_away = rng.random();
    let is_suspended = rng.random();
    if is_turned_away {
        site.store.set_down(true);
    }
    if is_suspended {
        site.entries[entry].suspend();
    }
    for _ in 0..rng.random_range(1..4) {
        set_holder(site, holders, HOLDERS[rng.random_range(0..HOLDERS.len())]);
        std::thread::sleep(Duration::from_millis(rng.random_range(50..500)));
    }
    if is_turned_away || is_suspended {
        std::thread::sleep(REVOCATION_BOUND);
    }
    if is_suspended {
        site.entries[entry].resume();
    }
    std::thread::sleep(Duration::from_millis(rng.random_range(100..900)));
    site.store.set_down(false);
}

/// Checks that requests with [`MOVED_KEY`] ran only for a tenant that held it, at the earliest [`REVOCATION_BOUND`] before they
/// were sent.
fn check_tenants(
    site: &TestSite,
    calls: &[CallRecord],
    holders: &[(Instant, Option<&'static str>)],
) {
    let mut tenants: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
    for (id, of_runs) in site.orders.iter().flat_map(|it| it.tenants()) {
        tenants.entry(id).or_default().extend(of_runs);
    }
    for call in calls.iter().filter(|it| it.key == MOVED_KEY) {
        let allowed = holders.iter().enumerate().filter(|(index, (since, _))| {
            let until = holders.get(index + 1).map(|it| it.0);
            let is_past = until.is_some_and(|it| it + REVOCATION_BOUND < call.sent);
            !is_past && *since <= call.ended
        });
        let allowed: Vec<_> = allowed.filter_map(|(_, (_, holder))| *holder).collect();
        for tenant in tenants.get(&call.id).into_iter().flatten() {
            let is_allowed = tenant.as_deref().is_some_and(|it| allowed.contains(&it));
            assert!(
                is_allowed,
                "{} ({}): ran for {tenant:?}, allowed {allowed:?}",
                call.id, call.kind
            );
        }
    }
}

/// Injects one fault and returns the version that was declared last.
fn inject_fault(site: &mut TestSite, rng: &mut StdRng, version: u64) -> u64 {
    let entry = rng.random_range(0..2);
    let pause = Duration::from_millis(rng.random_range(100..900));
    match rng.random_range(0..10) {
        0 => {
            site.entries[entry].kill();
            std::thread::sleep(pause);
            site.start_entry(entry);
        }
        1 => {
            site.entries[entry].terminate();
            assert!(
                site.entries[entry].wait(site::WAIT_TIMEOUT).is_some(),
                "the planned stop timed out"
            );
            site.start_entry(entry);
        }
        2 => {
            site.entries[entry].suspend();
            std::thread::sleep(pause);
            site.entries[entry].resume();
        }
        3 => {
            site.store.set_down(true);
            std::thread::sleep(pause * 3);
            site.store.set_down(false);
        }
        4 => site.store.truncate_history(),
        5 => {
            let truncate_next_after = Some(rng.random_range(0..10));
            let index = rng.random_range(0..site.models.len());
            site.models[index].set_faults(ReplicaFaults {
                truncate_next_after,
                unframed: rng.random(),
                ..ReplicaFaults::default()
            });
        }
        6 => {
            let faults = ReplicaFaults {
                drop_responses: rng.random(),
                fail_status: FAIL_STATUSES[rng.random_range(0..FAIL_STATUSES.len())],
                full: rng.random(),
                ..ReplicaFaults::default()
            };
            let replicas = if rng.random() {
                &site.models
            } else {
                &site.orders
            };
            replicas[rng.random_range(0..replicas.len())].set_faults(faults);
        }
        7 | 8 => return interrupt_order(site, rng, version),
        _ => {
            site.origin.set_corrupt_pieces(rng.random());
            site.declare(version + 1);
            return version + 1;
        }
    }
    std::thread::sleep(pause / 2);
    version
}

/// Declares versions while a replica answers no order to load, and ends its agent once or twice meanwhile. The replica accepts the
/// orders afterwards, or they are lost. Returns the version that was declared last.
fn interrupt_order(site: &mut TestSite, rng: &mut StdRng, mut version: u64) -> u64 {
    let index = rng.random_range(0..site.models.len());
    site.models[index].set_silent(&[ReplicaCalls::Orders], true);
    for _ in 0..rng.random_range(1..3) {
        version += 1;
        site.declare(version);
        std::thread::sleep(Duration::from_millis(rng.random_range(100..1500)));
        if rng.random() {
            site.agents[index].kill();
        } else {
            site.agents[index].terminate();
            site.agents[index].wait(site::WAIT_TIMEOUT);
        }
        site.restart_agent(index);
    }
    std::thread::sleep(Duration::from_millis(rng.random_range(100..3500)));
    if rng.random() {
        site.models[index].set_silent(&[ReplicaCalls::Orders], false);
    } else {
        site.models[index].end_silence_with_loss(ReplicaCalls::Orders);
    }
    version
}

/// Ends all faults that last until they are reset.
fn clear_faults(site: &mut TestSite) {
    site.store.set_down(false);
    site.origin.set_corrupt_pieces(false);
    for replica in site.models.iter().chain(&site.orders) {
        replica.set_faults(ReplicaFaults::default());
    }
}

/// Checks that every replica serves the newest weights and that requests succeed again.
fn check_recovered(site: &TestSite, version: u64) {
    site.wait("the newest weights on every replica", |it| {
        it.models
            .iter()
            .all(|it| it.version() == version)
            .then_some(())
    });
    site.republish_rows();
    for (kind, path) in [("stream", "/draft/1"), ("order", "/order/1")] {
        site.wait("service after the faults", |it| {
            let response = it.call(1, Method::POST, path, &format!("after-{kind}"), "key-1")?;
            (response.status == StatusCode::OK && response.complete).then_some(())
        });
    }
}

/// Checks that responses belong to their requests, that an order runs at most once, that a refused order did not run,
/// and that no replica loaded mixed weights or received headers that it must not see.
fn check_guarantees(site: &TestSite, calls: &[CallRecord]) {
    let mut run_counts: BTreeMap<String, u64> = BTreeMap::new();
    for replica in &site.orders {
        for (id, count) in replica.runs() {
            *run_counts.entry(id).or_default() += count;
        }
    }
    for call in calls {
        let CallRecord {
            id, status, body, ..
        } = call;
        let run_count = run_counts.get(id).copied().unwrap_or(0);
        let is_success = *status == StatusCode::OK && call.complete;
        match call.kind {
            "stream" => {
                let expected: String = (1..=12)
                    .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
                    .collect();
                assert!(
                    !is_success || *body == expected,
                    "{id}: the stream is complete but wrong: {body}"
                );
                let is_prefix = *status != StatusCode::OK || expected.starts_with(body.as_str());
                assert!(
                    is_prefix,
                    "{id}: not a prefix of the expected stream: {body}"
                );
            }
            _ => assert!(
                !is_success || *body == format!("done {id}"),
                "{id}: response of another request: {body}"
            ),
        }
        if call.kind == "order" {
            assert!(run_count <= 1, "{id}: ran {run_count} times");
            let is_refusal = REFUSAL_STATUSES.contains(&status.as_u16());
            assert!(
                !is_refusal || run_count == 0,
                "{id}: refused with {status}, but it ran"
            );
        }
    }
    for replica in &site.models {
        assert_eq!(replica.mixed_loads(), 0);
        assert_eq!(replica.forbidden_headers(), Vec::<String>::new());
    }
    let served_count = calls
        .iter()
        .filter(|it| it.status == StatusCode::OK)
        .count();
    println!("{} requests, {served_count} served", calls.len());
}
