//! For which tenant replicas run requests while keys move between tenants and entries cannot learn of it.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::{SiteCaller, TestSite};

/// Kinds of requests, each with a public route to a service that serves it.
const KINDS: [(&str, &str); 3] = [
    ("idempotent", "orders"),
    ("non_idempotent", "orders"),
    ("stream", "pool"),
];

/// Time after which a key that was taken from a tenant must not be accepted any more (`revokeMs` of the site).
const REVOCATION_BOUND: Duration = Duration::from_secs(5);

/// Time for which requests are sent after that.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Pause between two rounds of requests.
const CALL_PAUSE: Duration = Duration::from_millis(250);

fn public_routes() -> Value {
    let routes = KINDS.map(|(kind, service)| {
        json!({
            "name": kind, "host": "shop.example", "prefix": format!("/{kind}/"), "kind": kind, "timeoutMs": 3000,
            "sloMs": 1000, "prio": 1, "service": service, "maxAttempts": 2, "public": true, "resumable": kind == "stream",
        })
    });
    json!(routes)
}

fn start(name: &str, first_index: u8) -> TestSite {
    let mut site = TestSite::start(name, first_index, &[1, 1]);
    site.tenants = vec![("dealer", vec!["key-1", "key-2"]), ("chain", vec!["key-3"])];
    site.configure(&public_routes());
    wait_for_tenant(&site, "dealer");
    site
}

/// Moves the key `key-1` from one tenant to the other.
fn move_key(site: &mut TestSite) {
    site.tenants = vec![("dealer", vec!["key-2"]), ("chain", vec!["key-3", "key-1"])];
    site.configure(&public_routes());
}

/// Waits until both entries run requests with `key-1` for `tenant`, whatever their kind.
fn wait_for_tenant(site: &TestSite, tenant: &str) {
    for entry in 0..2 {
        for (kind, _) in KINDS {
            site.wait(tenant, |it| {
                let id = format!("wait-{tenant}-{entry}-{kind}");
                it.call(entry, Method::POST, &format!("/{kind}/1"), &id, "key-1")?;
                let tenants = tenants(it, &id);
                (tenants.last() == Some(&Some(tenant.to_owned()))).then_some(())
            });
        }
    }
}

/// Returns the tenants for which replicas have run the request `id`, the most recent one last.
fn tenants(site: &TestSite, id: &str) -> Vec<Option<String>> {
    let replicas = site.orders.iter().chain(&site.models);
    let runs = replicas.filter_map(|it| it.tenants().remove(id));
    runs.flatten().collect()
}

/// Statuses of the responses to the requests with a key, and to those without one.
#[derive(Default)]
struct Statuses {
    with_key: Vec<(String, Option<StatusCode>)>,
    without_key: Vec<(String, Option<StatusCode>)>,
}

/// Sends requests of each kind, with `key-1` and without a key, to an entry for `duration`.
fn send_for(caller: &SiteCaller, entry: usize, label: &str, duration: Duration) -> Statuses {
    let began = Instant::now();
    let mut statuses = Statuses::default();
    while began.elapsed() < duration {
        for (kind, _) in KINDS {
            let number = statuses.with_key.len();
            let path = format!("/{kind}/1");
            let id = format!("{label}-{entry}-{kind}-{number}");
            let response = caller.call(entry, Method::POST, &path, &id, "key-1");
            statuses
                .with_key
                .push((id.clone(), response.map(|it| it.status)));
            let id = format!("{id}-without");
            let response = caller.call_without_key(entry, Method::POST, &path, &id);
            statuses
                .without_key
                .push((id, response.map(|it| it.status)));
        }
        std::thread::sleep(CALL_PAUSE);
    }
    statuses
}

/// Checks that no request with a key ran, for its former tenant or for none, that each of them was refused with the promise that it
/// has not run, and that requests without a key were served.
fn check_outdated(site: &TestSite, statuses: &Statuses) {
    let mut mismatches = Vec::new();
    for (id, status) in &statuses.with_key {
        let tenants = tenants(site, id);
        if *status != Some(StatusCode::SERVICE_UNAVAILABLE) || !tenants.is_empty() {
            mismatches.push(format!("{id}: {status:?}, ran for {tenants:?}"));
        }
    }
    for (id, status) in &statuses.without_key {
        let tenants = tenants(site, id);
        if *status != Some(StatusCode::OK) || tenants.iter().any(Option::is_some) {
            mismatches.push(format!("{id}: {status:?}, ran for {tenants:?}"));
        }
    }
    let total = statuses.with_key.len() + statuses.without_key.len();
    assert!(total > 0);
    assert!(
        mismatches.is_empty(),
        "{} of {total}\n{}",
        mismatches.len(),
        mismatches.join("\n")
    );
}

/// Guards against UNASKED: entries that the store turned away named the former tenant of a key to replicas on public routes.
#[test]
fn a_key_that_moved_does_not_run_requests_for_its_former_tenant() {
    let mut site = start("keys-moved", 140);
    site.store.set_down(true);
    move_key(&mut site);
    std::thread::sleep(REVOCATION_BOUND);
    for entry in 0..2 {
        let statuses = send_for(&site.caller(), entry, "late", LATE_TIME);
        check_outdated(&site, &statuses);
        let response = site.call(entry, Method::POST, "/stream/1", "refused", "key-1");
        let response = response.expect("a response");
        let retry_after = response.headers.get("retry-after");
        let seconds = retry_after.and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
        assert!(seconds.is_some_and(|it| it > 0.0), "{response:?}");
    }
    site.store.set_down(false);
    wait_for_tenant(&site, "chain");
}

/// Guards against UNASKED after a suspension: requests that waited in the sockets of the entry are read before the change is.
#[test]
fn an_entry_that_was_suspended_names_no_former_tenant() {
    let mut site = start("keys-suspended", 150);
    let caller = site.caller().with_patience(Duration::from_secs(20));
    site.entries[0].suspend();
    move_key(&mut site);
    std::thread::sleep(REVOCATION_BOUND);
    let ids: Vec<String> = (0..12).map(|it| format!("suspended-{it}")).collect();
    std::thread::scope(|scope| {
        for (index, id) in ids.iter().enumerate() {
            let (kind, _) = KINDS[index % KINDS.len()];
            let caller = &caller;
            scope.spawn(move || caller.call(0, Method::POST, &format!("/{kind}/1"), id, "key-1"));
        }
        // The requests are in the sockets of the entry when it goes on.
        std::thread::sleep(Duration::from_millis(300));
        site.entries[0].resume();
    });
    for id in &ids {
        let tenants = tenants(&site, id);
        let is_sound = tenants.iter().all(|it| it.as_deref() == Some("chain"));
        assert!(is_sound, "{id} ran for {tenants:?}");
    }
    wait_for_tenant(&site, "chain");
}

/// Guards against CONFIG and ROUTE for keys on public routes: requests whose key was taken away, or was never given out, ran.
#[test]
fn a_key_that_no_tenant_holds_is_refused_on_public_routes() {
    let mut site = start("keys-revoked", 160);
    site.tenants = vec![("dealer", vec!["key-2"]), ("chain", vec!["key-3"])];
    site.configure(&public_routes());
    for entry in 0..2 {
        site.wait("the revocation", |it| {
            let response = it.call(entry, Method::GET, "/lookup/1", "revoked", "key-1")?;
            (response.status == StatusCode::UNAUTHORIZED).then_some(())
        });
        for (kind, _) in KINDS {
            for key in ["key-1", "key-9"] {
                let id = format!("unknown-{entry}-{kind}-{key}");
                let response = site.call(entry, Method::POST, &format!("/{kind}/1"), &id, key);
                let status = response.map(|it| it.status);
                let tenants = tenants(&site, &id);
                assert_eq!(status, Some(StatusCode::UNAUTHORIZED), "{id}: {tenants:?}");
                assert!(tenants.is_empty(), "{id}: {tenants:?}");
            }
        }
    }
}
