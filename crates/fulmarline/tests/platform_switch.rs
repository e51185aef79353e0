//! Requests at replicas that fall silent while a new version of the weights takes effect.

#[path = "support/site.rs"]
mod site;

use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{SiteResponse, TestSite};
use standin::{RawEnd, RawFraming, RawReplica, RawRequest, RawResponse, RunCounts};

/// Time after the declaration of a version from which no request may begin on an older one; `version_ms` of the site.
const SWITCH_BOUND: Duration = Duration::from_secs(8);

/// A prompt that a replica reads in 200 ms.
const LONG_PROMPT: u32 = 4000;

/// Time at which the new version was acknowledged, once it was.
#[derive(Clone, Default)]
struct Declaration(Arc<Mutex<Option<Instant>>>);

impl Declaration {
    /// Declares version 2.
    fn declare(&self, site: &TestSite) {
        site.declare(2);
        *self.0.lock().unwrap() = Some(Instant::now());
    }

    fn time(&self) -> Option<Instant> {
        *self.0.lock().unwrap()
    }

    /// Returns the time until `after` the declaration, or zero before it.
    fn remaining(&self, after: Duration) -> Duration {
        self.time().map_or(Duration::ZERO, |it| {
            (it + after).saturating_duration_since(Instant::now())
        })
    }

    fn sleep_until(&self, after: Duration) {
        std::thread::sleep(self.remaining(after));
    }
}

fn events(request: &RawRequest, first: u64) -> Vec<String> {
    let id = &request.headers["request-id"];
    (first..=4)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

fn complete_response(request: &RawRequest) -> RawResponse {
    RawResponse::complete(RawFraming::Chunked, events(request, 1))
}

/// Starts a site with a route whose streams can be resumed and one whose streams cannot.
fn start_site(name: &str, first_index: u8) -> TestSite {
    let mut site = TestSite::start(name, first_index, &[]);
    let route = |name: &str, resumable: bool| {
        json!({
            "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": "stream", "timeoutMs": 6000,
            "sloMs": 2000, "prio": 1, "service": "pool", "maxAttempts": 2, "public": false, "resumable": resumable,
            "gapAimMs": 1000,
        })
    };
    site.configure(&json!([route("resumable", true), route("once", false)]));
    site
}

fn register(site: &TestSite, replica: &RawReplica, zone: &str, version: u64) {
    let row = replica.row_with_version("pool", zone, version);
    site.store.put("servers", replica.id(), &row);
}

fn wait_until_served(site: &TestSite) {
    site.wait("a served request", |it| {
        let response = it.call(0, Method::POST, "/once/warm", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
}

/// Sends a request with the path as id, `after` the declaration.
fn call_at(
    site: &TestSite,
    declaration: &Declaration,
    path: String,
    prompt_tokens: u32,
    after: Duration,
) -> JoinHandle<Option<SiteResponse>> {
    let (caller, declaration) = (site.caller(), declaration.clone());
    std::thread::spawn(move || {
        declaration.sleep_until(after);
        caller.call_with_prompt(0, Method::POST, &path, &path, "key-1", prompt_tokens)
    })
}

/// Checks that no request began on old weights after the bound. `replicas` are those with old weights.
fn check_starts(runs: &RunCounts, declaration: &Declaration, replicas: &[&str]) {
    let bound = declaration.time().unwrap() + SWITCH_BOUND;
    let starts = runs.starts();
    let late: Vec<(&str, Duration)> = starts
        .iter()
        .filter(|it| replicas.contains(&it.replica.as_str()) && it.at > bound)
        .map(|it| (it.request.as_str(), it.at - bound))
        .collect();
    assert!(
        late.is_empty(),
        "began on old weights after the bound: {late:?}"
    );
}

/// Guards against requests that waited at a silent replica across the switch and began there when it woke.
#[test]
fn requests_at_a_silent_replica_do_not_begin_on_old_weights_after_the_switch() {
    let site = start_site("switch-silent", 170);
    let runs = RunCounts::default();
    let declaration = Declaration::default();
    let silence = declaration.clone();
    let replica = RawReplica::start("pool-0", [127, 0, 1, 180], &runs, move |request| {
        // Heads of responses do not tell whether a request has begun.
        let mut response = complete_response(request);
        if request.path.ends_with("/head") {
            response.first_pause = silence.remaining(SWITCH_BOUND);
        } else {
            silence.sleep_until(SWITCH_BOUND);
        }
        response
    })
    .unwrap();
    register(&site, &replica, "a", 1);
    wait_until_served(&site);
    declaration.declare(&site);
    let mut calls = Vec::new();
    let early = Duration::from_secs(4);
    for path in ["/once/early", "/once/early/head", "/resumable/early"] {
        calls.push(call_at(&site, &declaration, path.to_owned(), 100, early));
    }
    for index in 0..12 {
        let after = Duration::from_millis(6950 + 40 * index);
        let end = ["", "/head"][usize::try_from(index % 2).unwrap()];
        let path = format!("/resumable/{index}{end}");
        calls.push(call_at(&site, &declaration, path, 100, after));
    }
    let responses: Vec<_> = calls.into_iter().map(|it| it.join().unwrap()).collect();
    declaration.sleep_until(SWITCH_BOUND + Duration::from_millis(500));
    check_starts(&runs, &declaration, &["pool-0"]);
    for response in responses {
        let response = response.expect("a status");
        let refused = [StatusCode::BAD_GATEWAY, StatusCode::SERVICE_UNAVAILABLE];
        assert!(refused.contains(&response.status), "{response:?}");
    }
    assert_eq!(runs.get("/once/early"), 1);
    assert_eq!(runs.get("/once/early/head"), 1);
}

/// Guards against requests that end with their silent replica although another one has the new weights.
#[test]
fn requests_at_a_silent_replica_are_served_by_one_with_new_weights() {
    let site = start_site("switch-elsewhere", 172);
    let runs = RunCounts::default();
    let declaration = Declaration::default();
    let silence = declaration.clone();
    let silent = RawReplica::start("pool-0", [127, 0, 1, 180], &runs, move |request| {
        silence.sleep_until(SWITCH_BOUND);
        complete_response(request)
    })
    .unwrap();
    let current = RawReplica::start("pool-1", [127, 0, 1, 181], &runs, complete_response).unwrap();
    register(&site, &silent, "a", 1);
    wait_until_served(&site);
    declaration.declare(&site);
    register(&site, &current, "b", 2);
    let path = "/resumable/1";
    let call = call_at(
        &site,
        &declaration,
        path.to_owned(),
        100,
        Duration::from_secs(4),
    );
    let response = call.join().unwrap().expect("a response");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(response.complete, "{response:?}");
    let expected: String = (1..=4)
        .map(|it| format!("id: {it}\ndata: {path}/{it}\n\n"))
        .collect();
    assert_eq!(response.body, expected);
    assert_eq!(runs.get(path), 2);
    declaration.sleep_until(SWITCH_BOUND + Duration::from_millis(500));
    check_starts(&runs, &declaration, &["pool-0"]);
}

/// Guards against resumed streams that begin on old weights after the switch: the wait for the first event started
/// anew when the head of the response had arrived.
#[test]
fn resumed_streams_do_not_begin_on_old_weights_after_the_switch() {
    const BREAK: Duration = Duration::from_millis(5000);
    const HEAD: Duration = Duration::from_millis(5950);
    const FIRST_EVENT: Duration = Duration::from_millis(8150);
    let site = start_site("switch-resumed", 174);
    let runs = RunCounts::default();
    let declaration = Declaration::default();
    let breaking = declaration.clone();
    let first = RawReplica::start("pool-0", [127, 0, 1, 180], &runs, move |request| {
        let mut response = complete_response(request);
        if request.path.ends_with("/broken") {
            response.sent_bytes = response.parts[0].len() + 1;
            response.end = RawEnd::Closed;
            response.pause = breaking.remaining(BREAK);
        }
        response
    })
    .unwrap();
    let silence = declaration.clone();
    let second = RawReplica::start("pool-1", [127, 0, 1, 181], &runs, move |request| {
        let mut response = RawResponse::complete(RawFraming::Chunked, events(request, 2));
        silence.sleep_until(HEAD);
        response.first_pause = silence.remaining(FIRST_EVENT);
        response
    })
    .unwrap();
    register(&site, &first, "a", 1);
    wait_until_served(&site);
    declaration.declare(&site);
    register(&site, &second, "b", 1);
    let path = "/resumable/broken";
    let call = call_at(
        &site,
        &declaration,
        path.to_owned(),
        LONG_PROMPT,
        BREAK - Duration::from_millis(800),
    );
    let response = call.join().unwrap().expect("a status");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    declaration.sleep_until(SWITCH_BOUND + Duration::from_millis(500));
    assert_eq!(runs.get(path), 2, "the stream was resumed");
    check_starts(&runs, &declaration, &["pool-0", "pool-1"]);
}

/// Guards against an entry that was frozen until a version had taken effect and then allowed older weights for the whole
/// switch time again, because the others no longer told it how old the declaration was.
#[test]
fn an_entry_that_wakes_after_the_switch_sends_nothing_to_old_weights() {
    const WAKE: Duration = Duration::from_millis(7700);
    let site = start_site("switch-frozen", 176);
    let runs = RunCounts::default();
    let declaration = Declaration::default();
    let replica = RawReplica::start("pool-0", [127, 0, 1, 180], &runs, complete_response).unwrap();
    register(&site, &replica, "a", 1);
    wait_until_served(&site);
    site.entries[0].suspend();
    declaration.declare(&site);
    declaration.sleep_until(WAKE);
    site.entries[0].resume();
    // An entry that has woken is bound by the switch after 3 s.
    let bound = WAKE + Duration::from_secs(3);
    let call = call_at(&site, &declaration, "/once/1".to_owned(), 100, bound);
    let response = call.join().unwrap().expect("a status");
    check_starts(&runs, &declaration, &["pool-0"]);
    assert_eq!(
        response.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{response:?}"
    );
}

/// Guards against a declaration that counted as new when it was read after a call to the store had remained without a
/// response: all entries allowed old weights for longer, by up to the time-out of the call.
#[test]
fn a_declaration_on_silent_store_connections_takes_effect_in_time() {
    let site = start_site("switch-silent-store", 178);
    let runs = RunCounts::default();
    let declaration = Declaration::default();
    let replica = RawReplica::start("pool-0", [127, 0, 1, 180], &runs, complete_response).unwrap();
    register(&site, &replica, "a", 1);
    wait_until_served(&site);
    site.store.silence_pending_feeds();
    declaration.declare(&site);
    let calls: Vec<_> = (0..10)
        .map(|it| {
            let after = SWITCH_BOUND + Duration::from_millis(50 * it);
            call_at(&site, &declaration, format!("/once/{it}"), 100, after)
        })
        .collect();
    let responses: Vec<_> = calls.into_iter().map(|it| it.join().unwrap()).collect();
    check_starts(&runs, &declaration, &["pool-0"]);
    for response in responses {
        let response = response.expect("a status");
        assert_eq!(
            response.status,
            StatusCode::SERVICE_UNAVAILABLE,
            "{response:?}"
        );
    }
}
