//! Streams of slow but sound replicas.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::TestSite;
use standin::{RawFraming, RawReplica, RawRequest, RawResponse, RunCounts};

/// Pause of a slow replica; longer than the time after which a stream that can be resumed is continued elsewhere.
const PAUSE: Duration = Duration::from_millis(2500);

fn events(id: &str) -> Vec<String> {
    (1..=4)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

fn respond(request: &RawRequest) -> RawResponse {
    let id = request
        .headers
        .get("request-id")
        .cloned()
        .unwrap_or_default();
    let mut response = RawResponse::complete(RawFraming::Chunked, events(&id));
    if request.path.ends_with("/late-start") {
        std::thread::sleep(PAUSE);
    }
    if request.path.ends_with("/long-pause") {
        response.pause = PAUSE;
    }
    response
}

/// Guards against slow but sound streams that were broken off after 1.2 s without an event, although nothing could have
/// continued them.
#[test]
fn streams_that_cannot_be_resumed_are_not_cut_during_a_pause() {
    let mut site = TestSite::start("platform-pauses", 90, &[]);
    site.configure(&json!([{
        "name": "once", "host": "shop.example", "prefix": "/once/", "kind": "stream", "timeoutMs": 6000,
        "sloMs": 2000, "prio": 1, "service": "pool", "maxAttempts": 2, "public": false, "resumable": false,
    }]));
    let runs = RunCounts::default();
    let replica = RawReplica::start("pool-0", [127, 0, 1, 90], &runs, respond).unwrap();
    site.store
        .put("servers", replica.id(), &replica.row("pool", "a"));
    site.wait("a served request", |it| {
        let response = it.call(0, Method::POST, "/once/warm", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    for path in ["/once/late-start", "/once/long-pause"] {
        let response = site.call(0, Method::POST, path, path, "key-1").unwrap();
        assert_eq!(response.status, StatusCode::OK, "{path}: {response:?}");
        assert!(response.complete, "{path}: {response:?}");
        assert_eq!(response.body, events(path).concat());
        assert_eq!(runs.get(path), 1);
    }
}
