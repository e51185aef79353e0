//! Streams of slow but sound replicas.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::TestSite;
use standin::{RawFraming, RawReplica, RawRequest, RawResponse, RunCounts};

/// Pause of a slow replica; longer than the time after which a stream that can be resumed is continued elsewhere.
const PAUSE: Duration = Duration::from_millis(2500);

/// Pause of a replica that falls silent for good; longer than any request may take.
const ENDLESS_PAUSE: Duration = Duration::from_secs(20);

/// Time after which the site's clients give up a request.
const DEADLINE: Duration = Duration::from_secs(6);

/// Paths of requests at which replicas fall silent: between two events, after the head of the response and before it.
const SILENT_PATHS: [&str; 3] = ["long-pause", "late-start", "late-head"];

fn events(id: &str) -> Vec<String> {
    (1..=4)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

/// Part of the path of a request at which only the first replica that receives it falls silent, for good.
const FIRST_ONLY: &str = "first-";

/// Path of requests that the first replica fails with an error response; the next one is slower than that, but sound.
const FAILED_ONCE: &str = "failed-once";

/// Path of requests whose first replica falls silent and goes on, while the next one sends a comment and then nothing.
const COMMENTED: &str = "commented";

/// A comment, which belongs to no event.
const COMMENT: &str = ": waiting\n\n";

/// Time that a sound replica takes until the head of its response.
const HEAD_TIME: Duration = Duration::from_millis(300);

fn respond(request: &RawRequest) -> RawResponse {
    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
    let id = header("request-id");
    let sent = header("last-event-id").parse().unwrap_or(0);
    let events = events(&id).split_off(sent);
    let mut response = RawResponse::complete(RawFraming::Chunked, events);
    if request.path.ends_with(FAILED_ONCE) {
        if request.earlier_runs == 0 {
            response.status = "500 Internal Server Error";
            return response;
        }
        std::thread::sleep(HEAD_TIME);
    }
    if request.path.ends_with(COMMENTED) {
        let is_first = request.earlier_runs == 0;
        response.pause = if is_first { PAUSE } else { ENDLESS_PAUSE };
        if !is_first {
            let rest = response.parts.concat();
            response.parts = vec![COMMENT.to_owned(), rest];
            response.sent_bytes += COMMENT.len();
        }
        return response;
    }
    let is_for_good = request.path.contains(FIRST_ONLY);
    if is_for_good && request.earlier_runs > 0 {
        return response;
    }
    let pause = if is_for_good { ENDLESS_PAUSE } else { PAUSE };
    if request.path.ends_with("late-head") {
        std::thread::sleep(pause);
    }
    if request.path.ends_with("late-start") {
        response.first_pause = pause;
    }
    if request.path.ends_with("long-pause") {
        response.pause = pause;
    }
    response
}

/// Returns a stream route to the pool of raw replicas, whose clients wait for each event up to the deadline.
fn route(prefix: &str, resumable: bool) -> Value {
    route_with_objective(prefix, resumable, 2000)
}

/// Returns a stream route whose clients leave after four times `objective_ms` without an event.
fn route_with_objective(prefix: &str, resumable: bool, objective_ms: u64) -> Value {
    json!({
        "name": prefix, "host": "shop.example", "prefix": prefix, "kind": "stream", "timeoutMs": 6000,
        "sloMs": objective_ms, "prio": 1, "service": "pool", "maxAttempts": 2, "public": false, "resumable": resumable,
    })
}

fn start_site(name: &str, first_index: u8, replicas: u8, runs: &RunCounts) -> TestSite {
    let mut site = TestSite::start(name, first_index, &[]);
    site.configure(&json!([
        route("/once/", false),
        route("/again/", true),
        route_with_objective("/impatient/", true, 1000),
    ]));
    for index in 0..replicas {
        let id = format!("pool-{index}");
        let ip = [127, 0, 1, first_index + index];
        let replica = RawReplica::start(&id, ip, runs, respond).unwrap();
        site.store
            .put("servers", replica.id(), &replica.row("pool", "a"));
    }
    site.wait("a served request", |it| {
        let response = it.call(0, Method::POST, "/once/warm", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    site
}

/// Checks that a request gets the whole response although every replica that receives it falls silent.
fn check_whole(site: &TestSite, path: &str, id: &str) {
    let response = site
        .call(0, Method::POST, path, id, "key-1")
        .unwrap_or_else(|| panic!("{path}: the connection was closed without a response"));
    assert_eq!(response.status, StatusCode::OK, "{path}: {response:?}");
    assert!(response.complete, "{path}: {response:?}");
    assert_eq!(response.body, events(id).concat(), "{path}");
}

/// Guards against slow but sound streams that were broken off after 1.2 s without an event, although nothing could have
/// continued them.
#[test]
fn streams_that_cannot_be_resumed_are_not_cut_during_a_pause() {
    let runs = RunCounts::default();
    let site = start_site("platform-pauses", 90, 1, &runs);
    for path in SILENT_PATHS {
        check_whole(&site, &format!("/once/{path}"), path);
        assert_eq!(runs.get(path), 1);
    }
}

/// Guards against streams that were given up at a silent replica before another one had continued them.
#[test]
fn streams_are_not_cut_while_every_replica_that_could_continue_them_is_silent() {
    for replicas in [1, 2] {
        let runs = RunCounts::default();
        let name = format!("platform-pauses-{replicas}");
        let site = start_site(&name, 90 + 2 * replicas, replicas, &runs);
        for path in SILENT_PATHS {
            let id = format!("{path}-{replicas}");
            check_whole(&site, &format!("/again/{path}"), &id);
            assert!(runs.get(&id) <= 2, "{id}: {} runs", runs.get(&id));
        }
    }
}

/// Guards against streams that were cut beside a change of the configuration, a reload or a declared version, because
/// nothing could continue them at that time.
#[test]
fn streams_of_silent_replicas_outlast_changes() {
    let runs = RunCounts::default();
    let mut site = start_site("platform-pauses-changes", 96, 2, &runs);
    let caller = site.caller();
    for (index, path) in SILENT_PATHS.into_iter().enumerate() {
        let id = format!("{path}-{index}");
        let request = std::thread::spawn({
            let (caller, id) = (caller.clone(), id.clone());
            move || caller.call(0, Method::POST, &format!("/again/{path}"), &id, "key-1")
        });
        std::thread::sleep(PAUSE / 5);
        match index {
            0 => site.configure(&json!([route("/once/", false), route("/again/", true)])),
            1 => site.entries[0].reload(),
            _ => site.declare(2),
        }
        let response = request.join().unwrap().expect("a response");
        assert_eq!(response.status, StatusCode::OK, "{id}: {response:?}");
        assert!(response.complete, "{id}: {response:?}");
        assert_eq!(response.body, events(&id).concat(), "{id}");
    }
}

/// Guards against streams of replicas that fall silent for good and are not continued by another replica.
#[test]
fn streams_of_replicas_that_stay_silent_are_continued_elsewhere() {
    let runs = RunCounts::default();
    let site = start_site("platform-pauses-taken-over", 98, 2, &runs);
    for path in SILENT_PATHS {
        let id = format!("{FIRST_ONLY}{path}");
        check_whole(&site, &format!("/again/{id}"), &id);
        assert_eq!(runs.get(&id), 2, "{id}");
    }
}

/// Guards against a replica that counts as silent as soon as it is asked, because the one before it has failed.
#[test]
fn a_stream_that_a_replica_has_failed_is_sent_to_one_other_replica() {
    let runs = RunCounts::default();
    let mut site = start_site("platform-pauses-failed", 20, 3, &runs);
    let mut route = route("/thrice/", true);
    route["maxAttempts"] = json!(3);
    site.configure(&json!([self::route("/once/", false), route]));
    site.wait("the route with three attempts", |it| {
        let response = it.call(0, Method::POST, "/thrice/warm", "warm-thrice", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    for index in 0..5 {
        let id = format!("{FAILED_ONCE}-{index}");
        check_whole(&site, &format!("/thrice/{FAILED_ONCE}"), &id);
        assert_eq!(runs.get(&id), 2, "{id}");
    }
}

/// Guards against a silent replica that is given up for another one that has sent a comment but no event.
#[test]
fn a_comment_does_not_replace_a_silent_replica() {
    let runs = RunCounts::default();
    let site = start_site("platform-pauses-comment", 24, 2, &runs);
    check_whole(&site, &format!("/again/{COMMENTED}"), COMMENTED);
    assert_eq!(runs.get(COMMENTED), 2);
}

/// Guards against clients that leave a stream without a response, while a replica that may run it later is silent.
#[test]
fn a_stream_that_does_not_begin_ends_with_a_status_before_its_client_leaves() {
    let runs = RunCounts::default();
    let site = start_site("platform-pauses-impatient", 102, 1, &runs);
    let id = format!("{FIRST_ONLY}late-head");
    let sent = Instant::now();
    let response = site
        .call(0, Method::POST, &format!("/impatient/{id}"), &id, "key-1")
        .expect("a response");
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT, "{response:?}");
    assert!(sent.elapsed() < DEADLINE, "{:?}", sent.elapsed());
}
