//! Home regions and evacuated zones, with real entries.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::{SiteResponse, TestSite, route};

/// Time in which all entries know a row of the operator.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Time after which an evacuation must be in force (`evacMs`).
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Time in which requests arrive at the host of a suspended entry.
const SEND_TIME: Duration = Duration::from_millis(300);

/// Time for which requests are sent.
const CHECKED_TIME: Duration = Duration::from_secs(1);

/// Returns the route `name` with home regions.
fn homed_route(name: &str, homes: &[&str]) -> Value {
    let mut route = route(name)[0].take();
    route["homeRegions"] = json!(homes);
    route
}

/// Sends requests to both entries in turn, and returns the responses.
fn send(site: &TestSite, path: &str, prefix: &str) -> Vec<SiteResponse> {
    let caller = site.caller().with_kept_connections();
    let started = Instant::now();
    let mut responses = Vec::new();
    while started.elapsed() < CHECKED_TIME {
        let id = format!("{prefix}-{}", responses.len());
        let entry = responses.len() % 2;
        responses.extend(caller.call(entry, Method::GET, path, &id, "key-1"));
    }
    responses
}

fn assert_served(responses: &[SiteResponse]) {
    assert!(responses.len() > 20, "{}", responses.len());
    let failed = responses.iter().filter(|it| it.status != StatusCode::OK);
    assert_eq!(failed.count(), 0);
}

fn assert_refused(responses: &[SiteResponse]) {
    assert!(!responses.is_empty());
    for response in responses {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert_eq!(response.body, "no_placement\n");
    }
}

/// Guards against HOME: entries sent requests to the replicas of any region, whatever the homes of their route.
#[test]
fn requests_reach_replicas_in_their_home_regions_only() {
    let mut site = TestSite::start("placement-homes", 20, &[]);
    let routes = [
        homed_route("in-a", &["a"]),
        homed_route("in-b", &["b"]),
        homed_route("elsewhere", &["c"]),
    ];
    site.configure(&json!(routes));
    site.wait_for_route(&[0, 1], "in-a");
    for (path, other) in [("/in-a/1", 1), ("/in-b/1", 0)] {
        let started = Instant::now();
        assert_served(&send(&site, path, path));
        assert_eq!(site.orders[other].requests_since(started), 0, "{path}");
    }
    let started = Instant::now();
    assert_refused(&send(&site, "/elsewhere/1", "elsewhere"));
    let runs = site.orders.iter().map(|it| it.requests_since(started));
    assert_eq!(runs.sum::<usize>(), 0);
}

/// Guards against EVAC: nothing read the operator's evacuations. An entry that starts meanwhile must know them before it serves, and a
/// store that is away does not end them.
#[test]
fn an_evacuated_zone_gets_no_requests_until_it_is_taken_back() {
    let mut site = TestSite::start("placement-evacuation", 24, &[]);
    site.store.put("op", "evacuate/b", &json!({}));
    std::thread::sleep(NOTICE_TIME);
    let noticed = Instant::now();
    assert_served(&send(&site, "/lookup/1", "evacuated"));
    site.start_entry(0);
    site.wait("the started entry", |it| {
        (it.ready(0) == Some(StatusCode::OK)).then_some(())
    });
    assert_served(&send(&site, "/lookup/1", "restarted"));
    site.store.set_down(true);
    assert_served(&send(&site, "/lookup/1", "store-away"));
    site.store.set_down(false);
    assert_eq!(
        site.orders[1].requests_since(noticed),
        0,
        "an evacuated zone got requests"
    );

    site.store.put("op", "evacuate/a", &json!({}));
    std::thread::sleep(NOTICE_TIME);
    let noticed = Instant::now();
    assert_refused(&send(&site, "/lookup/1", "both"));
    let runs = site.orders.iter().map(|it| it.requests_since(noticed));
    assert_eq!(runs.sum::<usize>(), 0);

    site.store.remove("op", "evacuate/a");
    site.store.remove("op", "evacuate/b");
    std::thread::sleep(NOTICE_TIME);
    let returned = Instant::now();
    assert_served(&send(&site, "/lookup/1", "returned"));
    for replica in &site.orders {
        assert!(replica.requests_since(returned) > 0);
    }
}

/// Guards against EVAC by an entry that was suspended while a zone was evacuated: it has requests to serve before it has read any row
/// again.
#[test]
fn a_suspended_entry_sends_nothing_to_a_zone_that_was_evacuated_meanwhile() {
    let mut site = TestSite::start("placement-suspension", 28, &[]);
    let suspended = 1;
    // Requests with a key wait for the confirmation that the key is still valid.
    let mut open = route("open");
    open[0]["timeoutMs"] = json!(5000);
    site.configure(&open);
    site.wait_for_route(&[suspended], "open");
    site.entries[suspended].suspend();
    site.store.put("op", "evacuate/b", &json!({}));
    std::thread::sleep(EVACUATION_TIME);
    let caller = site.caller();
    let callers: Vec<_> = (0..20)
        .map(|it| {
            let caller = caller.clone();
            std::thread::spawn(move || {
                let id = format!("woken-{it}");
                caller.call_without_key(suspended, Method::GET, "/open/1", &id)
            })
        })
        .collect();
    std::thread::sleep(SEND_TIME);
    let woken = Instant::now();
    site.entries[suspended].resume();
    let responses = callers.into_iter().map(|it| it.join().unwrap());
    let served = responses.flatten().filter(|it| it.status == StatusCode::OK);
    assert!(served.count() > 10);
    assert_eq!(site.orders[1].requests_since(woken), 0);
}
