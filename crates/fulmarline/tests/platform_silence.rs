//! Stand-ins of the users' platform that fall silent and go on, beside changes of the configuration, signals and
//! declared versions. What must hold is the same as without a silence.

#[path = "support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::{SiteCaller, SiteResponse, TestSite, WEIGHTS};
use standin::ReplicaCalls;

/// Held by the test that uses the addresses of a slot.
static SLOTS: [Mutex<()>; 5] = [const { Mutex::new(()) }; 5];

/// Starts a site at the addresses of `slot`, once no other test uses them.
fn start_site(name: &str, slot: u8, versions: &[u64]) -> (MutexGuard<'static, ()>, TestSite) {
    let guard = SLOTS[usize::from(slot)].lock();
    // A test that failed has released the addresses as well.
    let guard = guard.unwrap_or_else(PoisonError::into_inner);
    (
        guard,
        TestSite::start(name, FIRST_INDEX + 2 * slot, versions),
    )
}

/// A request with the response that its client received, or `None` if the connection was closed without one.
struct CallRecord {
    id: String,
    kind: CallKind,
    response: Option<SiteResponse>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Stream,
    Order,
    Lookup,
}

/// Runs `act` while clients of each of `kinds` call both entries on connections that they keep.
fn call_during(
    site: &mut TestSite,
    kinds: &[CallKind],
    act: impl FnOnce(&mut TestSite),
) -> Vec<CallRecord> {
    let caller = site.caller().with_kept_connections();
    let stop = AtomicBool::new(false);
    let next_id = AtomicU64::new(0);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..kinds.len() * 2)
            .map(|index| {
                let (caller, stop, next_id) = (&caller, &stop, &next_id);
                scope.spawn(move || {
                    let mut calls = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let number = next_id.fetch_add(1, Ordering::Relaxed);
                        let id = format!("silence-{number}");
                        let kind = kinds[index / 2];
                        calls.push(call(caller, index % 2, kind, id));
                        std::thread::sleep(CALL_PAUSE);
                    }
                    calls
                })
            })
            .collect();
        std::thread::sleep(QUIET_TIME);
        act(site);
        std::thread::sleep(QUIET_TIME);
        stop.store(true, Ordering::Relaxed);
        let calls = clients.into_iter().map(|it| it.join().unwrap());
        calls.flatten().collect()
    })
}

fn call(caller: &SiteCaller, entry: usize, kind: CallKind, id: String) -> CallRecord {
    let (method, path) = match kind {
        CallKind::Stream => (Method::POST, "/draft/1"),
        CallKind::Order => (Method::POST, "/order/1"),
        CallKind::Lookup => (Method::GET, "/lookup/1"),
    };
    let response = caller.call(entry, method, path, &id, "key-1");
    CallRecord { id, kind, response }
}

/// Checks that every request has a whole response of its own or a status that is true, and that no order ran twice.
/// Returns the number of responses by status.
fn check_calls(site: &TestSite, calls: &[CallRecord]) -> BTreeMap<u16, usize> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for (id, count) in site.orders.iter().flat_map(|it| it.runs()) {
        *runs.entry(id).or_default() += count;
    }
    let mut statuses = BTreeMap::new();
    for CallRecord { id, kind, response } in calls {
        let response = response.as_ref();
        let response =
            response.unwrap_or_else(|| panic!("{id}: {kind:?} closed without a response"));
        assert!(response.complete, "{id}: {kind:?} broke off: {response:?}");
        *statuses.entry(response.status.as_u16()).or_default() += 1;
        let run_count = runs.get(id).copied().unwrap_or(0);
        if *kind == CallKind::Order {
            assert!(run_count <= 1, "{id}: ran {run_count} times");
        }
        match response.status {
            StatusCode::OK => assert_eq!(response.body, expected_body(*kind, id)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                assert_eq!(run_count, 0, "{id}: refused as not run: {response:?}");
            }
            status => assert!(status.is_server_error(), "{id}: {kind:?}: {response:?}"),
        }
    }
    println!("{} calls, by status: {statuses:?}", calls.len());
    statuses
}

fn expected_body(kind: CallKind, id: &str) -> String {
    match kind {
        CallKind::Stream => (1..=12)
            .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
            .collect(),
        CallKind::Order | CallKind::Lookup => format!("done {id}"),
    }
}

fn public_route(name: &str) -> Value {
    json!({
        "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": "idempotent",
        "timeoutMs": 1000, "sloMs": 300, "service": "orders", "maxAttempts": 1, "public": true,
    })
}

fn has_route(site: &TestSite, entry: usize, name: &str) -> bool {
    let response = site
        .caller()
        .call_without_key(entry, Method::GET, &format!("/{name}/1"), name);
    response.is_some_and(|it| it.status == StatusCode::OK)
}

fn wait_for_route(site: &TestSite, name: &str) {
    for entry in 0..2 {
        site.wait("a new route", |it| has_route(it, entry, name).then_some(()));
    }
}

/// Checks by the logs that no entry went back to an older configuration.
fn check_config_order(site: &TestSite) {
    for entry in &site.entries {
        let log = entry.log_text();
        let lines = log.lines().filter_map(|it| serde_json::from_str(it).ok());
        let versions: Vec<u64> = lines
            .filter(|it: &Value| it["msg"] == "configuration in force")
            .map(|it| it["version"].as_u64().unwrap())
            .collect();
        assert!(versions.is_sorted_by(|it, next| it < next), "{versions:?}");
    }
}

/// Changes the configuration, signals every entry and declares `version`.
fn change_everything(site: &mut TestSite, route: &str, version: u64) {
    site.configure(&json!([public_route(route)]));
    for entry in &site.entries {
        entry.reload();
    }
    site.declare(version);
}

fn check_store_silence(name: &str, slot: u8, silence: Duration) {
    let (_slot, mut site) = start_site(name, slot, &[1, 1]);
    let kinds = [CallKind::Order, CallKind::Lookup, CallKind::Stream];
    let calls = call_during(&mut site, &kinds, |it| {
        it.store.set_silent(true);
        std::thread::sleep(silence / 2);
        change_everything(it, "during", 2);
        std::thread::sleep(silence / 2);
        it.store.set_silent(false);
        wait_for_route(it, "during");
        change_everything(it, "after", 3);
        wait_for_route(it, "after");
    });
    let statuses = check_calls(&site, &calls);
    assert!(statuses.keys().all(|it| [200, 503].contains(it)));
    site.wait_for_weights(3);
    check_config_order(&site);
}

/// Guards against configurations, versions and requests that are lost when the store is silent for a moment.
#[test]
fn a_short_silence_of_the_store_loses_nothing() {
    check_store_silence("silence-store-short", 0, Duration::from_millis(1500));
}

/// Guards against configurations, versions and requests that are lost when the store is silent for longer than keys are
/// trusted.
#[test]
fn a_long_silence_of_the_store_refuses_and_recovers() {
    check_store_silence("silence-store-long", 1, Duration::from_millis(8000));
}

/// Guards against an entry that learns of the return of the store only when a call from before it has timed out.
#[test]
fn entries_are_current_soon_after_a_long_silence_of_the_store() {
    let (_slot, mut site) = start_site("silence-store-return", 0, &[]);
    site.store.set_silent(true);
    std::thread::sleep(Duration::from_millis(8000));
    // What the store received last is lost with everything before.
    let call_count = site.store.feed_calls("op");
    site.wait("a call during the silence", |it| {
        (it.store.feed_calls("op") > call_count).then_some(())
    });
    site.store.end_silence_with_loss();
    site.configure(&json!([public_route("returned")]));
    let returned = Instant::now();
    wait_for_route(&site, "returned");
    let delay = returned.elapsed();
    assert!(
        delay < MAX_CONFIG_DELAY,
        "the configuration was in force after {delay:?}"
    );
}

/// Guards against orders and lookups that are ended or repeated because their sound replica is silent.
#[test]
fn a_silence_of_plain_replicas_delays_requests_only() {
    let (_slot, mut site) = start_site("silence-replicas", 1, &[]);
    let kinds = [CallKind::Order, CallKind::Lookup];
    let calls = call_during(&mut site, &kinds, |it| {
        for round in 0..3 {
            for replica in &it.orders {
                replica.set_silent(&[ReplicaCalls::Requests], true);
            }
            std::thread::sleep(Duration::from_millis(100));
            change_everything(it, &format!("round-{round}"), round + 1);
            std::thread::sleep(Duration::from_millis(1100));
            for replica in &it.orders {
                replica.set_silent(&[ReplicaCalls::Requests], false);
            }
            wait_for_route(it, &format!("round-{round}"));
        }
    });
    let statuses = check_calls(&site, &calls);
    assert_eq!(statuses.into_keys().collect::<Vec<_>>(), [200]);
    let runs = site.orders.iter().flat_map(|it| it.runs());
    let repeated: Vec<_> = runs.filter(|it| it.1 > 1).map(|it| it.0).collect();
    assert!(repeated.iter().all(|it| !it.starts_with("silence-")));
    check_config_order(&site);
}

/// Guards against long requests that are ended because their sound replica reads nothing for a moment.
#[test]
fn a_silence_in_a_long_body_delays_the_request_only() {
    let (_slot, mut site) = start_site("silence-body", 2, &[]);
    site.max_body_bytes = 2 * LONG_BODY_BYTES;
    site.configure(&json!([public_route("long")]));
    wait_for_route(&site, "long");
    let caller = site.caller();
    for (path, id) in [("/order/1", "long-order"), ("/lookup/1", "long-lookup")] {
        for replica in &site.orders {
            replica.set_silent(&[ReplicaCalls::Requests], true);
        }
        let response = std::thread::scope(|scope| {
            let body = vec![b'x'; LONG_BODY_BYTES];
            let response =
                scope.spawn(|| caller.call_with_body(0, Method::POST, path, id, "key-1", body));
            std::thread::sleep(Duration::from_millis(2200));
            for replica in &site.orders {
                replica.set_silent(&[ReplicaCalls::Requests], false);
            }
            response.join().unwrap()
        });
        let response = response.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "{id}: {response:?}");
        let runs = site.orders.iter().flat_map(|it| it.runs());
        assert_eq!(runs.filter(|it| it.0 == id).map(|it| it.1).sum::<u64>(), 1);
    }
}

/// Guards against mixed weights, lost versions and broken streams when replicas do not answer their agents in a switch.
#[test]
fn a_silence_of_model_replicas_during_a_switch_mixes_nothing() {
    let (_slot, mut site) = start_site("silence-switch", 2, &[1, 1]);
    let calls = call_during(&mut site, &[CallKind::Stream], |it| {
        for (version, calls) in [
            (2, [ReplicaCalls::Reports, ReplicaCalls::Orders]),
            (3, [ReplicaCalls::Staging, ReplicaCalls::Orders]),
        ] {
            it.declare(version);
            it.models[0].set_silent(&calls, true);
            std::thread::sleep(Duration::from_millis(2000));
            it.models[0].set_silent(&calls, false);
            it.wait_for_weights(version);
        }
    });
    let statuses = check_calls(&site, &calls);
    assert!(statuses.keys().all(|it| [200, 503].contains(it)));
    site.wait_for_weights(3);
}

/// Guards against pieces that the origin sends again because a replica does not answer when they are staged.
#[test]
fn a_silence_while_pieces_are_staged_repeats_no_transfer() {
    let (_slot, mut site) = start_site("silence-staging", 0, &[]);
    site.add_model_replica(FIRST_INDEX + 10, 0);
    let replica = &site.models[0];
    replica.set_silent(&[ReplicaCalls::Staging], true);
    // The first call reads what is staged, and times out.
    site.wait("a piece", |_| {
        (replica.received(ReplicaCalls::Staging) > 1).then_some(())
    });
    std::thread::sleep(Duration::from_millis(2000));
    replica.set_silent(&[ReplicaCalls::Staging], false);
    site.wait_for_weights(1);
    assert_eq!(site.origin.pieces_sent(), WEIGHTS.pieces as u64);
}

/// Guards against entries that do not learn of loaded weights, because agents look for entries in a silent store.
#[test]
fn entries_learn_of_loaded_weights_while_the_store_is_silent() {
    let (_slot, mut site) = start_site("silence-status", 4, &[]);
    let mut route = public_route("open");
    route["kind"] = json!("stream");
    route["service"] = json!("pool");
    site.configure(&json!([route]));
    site.add_model_replica(FIRST_INDEX + 18, 0);
    let replica = &site.models[0];
    replica.set_silent(&[ReplicaCalls::Staging], true);
    site.wait("the transfer", |_| {
        (replica.received(ReplicaCalls::Staging) > 0).then_some(())
    });
    site.store.set_silent(true);
    // The entries announce nothing any more, and the agent counts them as gone.
    std::thread::sleep(Duration::from_millis(6500));
    assert_eq!(replica.version(), 0);
    replica.set_silent(&[ReplicaCalls::Staging], false);
    site.wait_for_weights(1);
    site.wait("a served stream", |it| {
        let response = it
            .caller()
            .call_without_key(0, Method::POST, "/open/1", "open")?;
        (response.status == StatusCode::OK).then_some(())
    });
}

/// Guards against a sound replica that is taken out of service because it does not answer its agent for a moment.
#[test]
fn a_silent_report_takes_no_replica_out_of_service() {
    let (_slot, mut site) = start_site("silence-report", 4, &[1]);
    let wait_for_status = |site: &TestSite, status: StatusCode| {
        site.wait("a status", |it| {
            let response = call(&it.caller(), 0, CallKind::Stream, "probe".to_owned()).response?;
            (response.status == status).then_some(())
        });
    };
    wait_for_status(&site, StatusCode::OK);
    let calls = call_during(&mut site, &[CallKind::Stream], |it| {
        it.models[0].set_silent(&[ReplicaCalls::Reports], true);
        std::thread::sleep(Duration::from_millis(2000));
        it.models[0].set_silent(&[ReplicaCalls::Reports], false);
    });
    let statuses = check_calls(&site, &calls);
    assert_eq!(statuses.into_keys().collect::<Vec<_>>(), [200]);

    // A replica that stays silent has failed.
    site.models[0].set_silent(&[ReplicaCalls::Reports], true);
    wait_for_status(&site, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against a switch that ends when the origin is silent for a moment.
#[test]
fn a_silence_of_the_origin_delays_a_switch_only() {
    let (_slot, mut site) = start_site("silence-origin", 3, &[1, 1]);
    let calls = call_during(&mut site, &[CallKind::Stream], |it| {
        it.origin.set_silent(true);
        it.declare(2);
        std::thread::sleep(Duration::from_millis(2000));
        it.configure(&json!([public_route("during")]));
        it.origin.set_silent(false);
        wait_for_route(it, "during");
        it.wait_for_weights(2);
    });
    let statuses = check_calls(&site, &calls);
    assert!(statuses.keys().all(|it| [200, 503].contains(it)));
    check_config_order(&site);
}

/// Last octet of the first loopback address of the sites.
const FIRST_INDEX: u8 = 190;

/// Time within which a configuration must be in force on every entry after the store was silent.
const MAX_CONFIG_DELAY: Duration = Duration::from_millis(3000);

/// Size of a body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 2 << 20;

/// Time before and after a silence in which requests are sent as well.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Pause of a client between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(20);
