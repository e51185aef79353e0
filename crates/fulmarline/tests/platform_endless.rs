//! Replicas that send bytes which are no response, without end.

#[path = "support/site.rs"]
mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use site::TestSite;
use standin::{
    EndlessBytes, RawConnection, RawFraming, RawReplica, RawRequest, RawResponse, RunCounts,
};

/// Number of requests that are answered without end at the same time.
const CONCURRENT_REQUESTS: usize = 200;

/// Peak memory of an entry in kilobytes, half of what the smallest deployment gives it.
const MAX_PEAK_KB: u64 = 130_000;

/// Number of requests after the first one that a replica has failed.
const FOLLOWING_REQUESTS: usize = 40;

/// End of a complete response in chunks.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Path suffix of a request that every replica answers completely.
const COMPLETE: &str = "complete";

/// Part of the path of a request that no replica answers completely.
const ALWAYS: &str = "always-";

fn body_parts(request: &RawRequest) -> Vec<String> {
    let id = request.id();
    if request.path.starts_with("/plain/") || request.path.starts_with("/keyed/") {
        return vec![format!("whole response to {id}")];
    }
    (1..=3)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

/// Responds without end to the first run of a request whose path ends with the name of [`EndlessBytes`], and to each run
/// if the path contains [`ALWAYS`].
fn start_replica(id: &str, ip: [u8; 4], runs: &RunCounts) -> RawReplica {
    RawReplica::start_raw(id, ip, runs, |request, socket| {
        let suffix = request.path.rsplit(['/', '-']).next().unwrap_or_default();
        let endless = EndlessBytes::from_name(suffix);
        if let Some(endless) =
            endless.filter(|_| request.earlier_runs == 0 || request.path.contains(ALWAYS))
        {
            endless.write(request.id(), socket)?;
        }
        RawResponse::complete(RawFraming::Chunked, body_parts(request)).write(
            request.id(),
            "replica",
            socket,
        )?;
        Ok(RawConnection::Close)
    })
    .unwrap()
}

/// Starts a site whose model service and plain service consist of `count` replicas each.
fn start_site(name: &str, first_index: u8, count: u8) -> (TestSite, RunCounts, Vec<RawReplica>) {
    let mut site = TestSite::start(name, first_index, &[]);
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 2000,
            "sloMs": 1000, "prio": 1, "service": service, "maxAttempts": 2, "public": false,
            "resumable": resumable,
        })
    };
    site.configure(&json!([
        route("/once/", "stream", "pool", false),
        route("/again/", "stream", "pool", true),
        route("/plain/", "idempotent", "plain", false),
        route("/keyed/", "non_idempotent", "plain", false),
    ]));
    let runs = RunCounts::default();
    let mut replicas = Vec::new();
    for index in 0..count {
        for service in ["pool", "plain"] {
            let id = format!("{service}-{index}");
            let replica = start_replica(&id, [127, 0, 1, first_index + index], &runs);
            let zone = ["a", "b"][usize::from(index)];
            site.store
                .put("servers", replica.id(), &replica.row(service, zone));
            replicas.push(replica);
        }
    }
    for path in ["/once/", "/plain/"] {
        let path = format!("{path}{COMPLETE}");
        site.wait("a served request", |it| {
            let response = it.call(0, Method::POST, &path, "warm", "key-1")?;
            (response.status == StatusCode::OK).then_some(())
        });
    }
    (site, runs, replicas)
}

/// Waits until the entry has closed every connection to a replica.
fn wait_for_closed_connections(site: &TestSite, replicas: &[RawReplica], what: &str) {
    site.wait(&format!("closed connections after {what}"), |_| {
        replicas
            .iter()
            .all(|it| it.open_connections() == 0)
            .then_some(())
    });
}

/// Sends a request that is answered without end to each route, and returns the unexpected outcomes.
fn mismatches(name: &str, first_index: u8, kinds: &[EndlessBytes]) -> Vec<String> {
    let (site, runs, replicas) = start_site(name, first_index, 2);
    let mut mismatches = Vec::new();
    for kind in kinds {
        std::thread::scope(|scope| {
            let calls = ["/plain/", "/keyed/", "/again/", "/once/"].map(|prefix| {
                let caller = site.caller();
                let path = format!("{prefix}{}", kind.name());
                scope.spawn(move || {
                    let id = path.replace('/', "");
                    let response = caller.call(0, Method::POST, &path, &id, "key-1");
                    (prefix, path, id, response.expect("a response"))
                })
            });
            for call in calls {
                let (prefix, path, id, response) = call.join().unwrap();
                let run_count = runs.get(&id);
                let request = RawRequest {
                    path: path.clone(),
                    headers: [("request-id".to_owned(), id)].into(),
                    ..RawRequest::default()
                };
                let is_whole = response.complete && response.body == body_parts(&request).concat();
                let is_retryable = matches!(prefix, "/plain/" | "/again/");
                let is_expected = match response.status {
                    StatusCode::OK => is_retryable && is_whole && run_count == 2,
                    StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                        response.complete && (is_retryable || run_count == 1)
                    }
                    _ => false,
                };
                if !is_expected {
                    let mut body = response.body;
                    body.truncate(80);
                    let (status, complete) = (response.status, response.complete);
                    mismatches.push(format!(
                        "{path}: {status}, complete {complete}, {run_count} runs, {body:?}"
                    ));
                }
            }
        });
        wait_for_closed_connections(&site, &replicas, &kind.name());
    }
    mismatches
}

/// Guards against callers that wait for a head without end, and against a second run of what must not be repeated.
#[test]
fn heads_without_end_are_answered_in_time() {
    let all = mismatches("platform-endless-heads", 210, &EndlessBytes::HEADS);
    assert!(all.is_empty(), "{}", all.join("\n"));
}

/// Guards against callers that receive a body without end, or wait for one, and against a second run of what must not be
/// repeated.
#[test]
fn bodies_without_end_are_answered_in_time() {
    let all = mismatches("platform-endless-bodies", 212, &EndlessBytes::BODIES);
    assert!(all.is_empty(), "{}", all.join("\n"));
}

/// Guards against an entry that runs out of memory because each response that it reads may be large, so that the requests of
/// other clients end with it.
#[test]
fn memory_is_bounded_while_many_responses_have_no_end() {
    let (site, _, replicas) = start_site("platform-endless-memory", 214, 1);
    let has_ended = AtomicBool::new(false);
    let others = std::thread::scope(|scope| {
        let others = scope.spawn(|| {
            let caller = site.caller().with_kept_connections();
            caller.order_until(0, Duration::from_millis(20), &has_ended)
        });
        let bodies = [
            EndlessBytes::BulkTrickle,
            EndlessBytes::TinyChunks,
            EndlessBytes::ChunkExtension,
            EndlessBytes::Trailers,
        ];
        for kind in bodies.into_iter().chain(EndlessBytes::HEADS) {
            request_without_end(&site, kind);
            wait_for_closed_connections(&site, &replicas, &kind.name());
        }
        has_ended.store(true, Ordering::Relaxed);
        others.join().unwrap()
    });
    let peak_kb = site.entries[0].peak_memory_kb();
    println!("peak {peak_kb} kB, {} requests of others", others.len());
    assert!(peak_kb < MAX_PEAK_KB, "the entry used {peak_kb} kB");
    let failed = others.iter().filter(|it| **it != Some(StatusCode::OK));
    assert_eq!(failed.count(), 0, "requests of others failed");
}

/// Sends many requests at the same time that are answered without end.
fn request_without_end(site: &TestSite, kind: EndlessBytes) {
    std::thread::scope(|scope| {
        for index in 0..CONCURRENT_REQUESTS {
            let caller = site.caller();
            let prefix = ["/keyed/", "/once/"][usize::from(index % 4 == 0)];
            let path = format!("{prefix}{ALWAYS}{}", kind.name());
            scope.spawn(move || {
                let id = format!("{}-{index}", kind.name());
                let response = caller.call(0, Method::POST, &path, &id, "key-1");
                let response = response.expect("a response");
                assert!(!response.status.is_success(), "{}", response.status);
            });
        }
    });
}

/// Guards against streams of valid events without end that are forwarded after their deadline, because the next event is
/// always there.
#[test]
fn events_without_end_are_broken_off_at_the_deadline() {
    let (site, _, replicas) = start_site("platform-endless-events", 228, 1);
    for prefix in ["/once/", "/again/"] {
        let path = format!("{prefix}{ALWAYS}{}", EndlessBytes::Events.name());
        let mut socket = TcpStream::connect((site.hosts[0].ip, site.ports.front)).unwrap();
        socket.set_read_timeout(Some(site::WAIT_TIMEOUT)).unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {path}\r\nDeadline-Ms: 1500\r\n\
             Token-Count: 100,60\r\nAuthorization: Token key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).unwrap();
        let begin = Instant::now();
        let mut tail = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = socket.read(&mut buffer) {
            tail.extend_from_slice(&buffer[..count]);
            tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len()));
            assert!(begin.elapsed() < site::WAIT_TIMEOUT, "{path} has no end");
        }
        assert_ne!(tail, LAST_CHUNK, "{path} ended as if it were complete");
    }
    wait_for_closed_connections(&site, &replicas, "events without end");
}

/// Guards against a replica that stays in use because the heads of its responses are valid and only their bodies are not.
#[test]
fn a_replica_whose_bodies_have_no_end_is_avoided() {
    let (site, runs, _replicas) = start_site("platform-endless-health", 216, 1);
    let endless = RawReplica::start_raw("plain-x", [127, 0, 1, 217], &runs, |request, socket| {
        EndlessBytes::Chunks.write(request.id(), socket)?;
        Ok(RawConnection::Close)
    })
    .unwrap();
    site.store
        .put("servers", endless.id(), &endless.row("plain", "a"));
    let path = format!("/keyed/{COMPLETE}");
    let send = |id: &str| {
        let response = site.call(0, Method::POST, &path, id, "key-1");
        response.expect("a response").status
    };
    // The first request that the replica fails shows that it is in use.
    site.wait("a failed request", |_| {
        (send("first") == StatusCode::BAD_GATEWAY).then_some(())
    });
    let failures = (0..FOLLOWING_REQUESTS)
        .filter(|it| send(&format!("following-{it}")) != StatusCode::OK)
        .count();
    assert!(
        failures <= FOLLOWING_REQUESTS / 5,
        "{failures} of {FOLLOWING_REQUESTS} requests went to the replica that had failed"
    );
}
