//! Second copies of responses that arrive late, on a connection that is in use again.

#[path = "support/site.rs"]
mod site;

use std::io::Write;
use std::net::TcpStream;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{SiteResponse, TestSite};
use standin::{RawConnection, RawFraming, RawReplica, RawRequest, RawResponse, RunCounts};

/// Number of requests that leave a connection for the next one, so that the retry budget covers those under test.
const FUNDING_REQUESTS: usize = 40;

/// Number of requests before each one under test.
const WARM_REQUESTS: usize = 8;

/// Late responses to an earlier request: a name for the path of a request, and the response.
const COPIES: [(&str, &str); 12] = [
    ("ok", "200 OK\r\nRequest-Id: earlier\r\nRoute-Stamp: stamp"),
    ("ok-no-id", "200 OK\r\nRoute-Stamp: stamp"),
    ("error", "500 Internal Server Error\r\nRequest-Id: earlier"),
    ("error-no-id", "500 Internal Server Error"),
    ("conflict", "409 Conflict\r\nRequest-Id: earlier"),
    ("conflict-no-id", "409 Conflict"),
    (
        "full",
        "503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: earlier",
    ),
    ("full-no-id", "503 Service Unavailable\r\nNot-Executed: 1"),
    (
        "bad",
        "400 Bad Request\r\nNot-Executed: 1\r\nRequest-Id: earlier",
    ),
    ("other", "421 Misdirected Request\r\nRequest-Id: earlier"),
    ("other-no-id", "421 Misdirected Request"),
    ("switching", "101 Switching Protocols\r\nUpgrade: other"),
];

fn body_parts(id: &str, path: &str) -> Vec<String> {
    if path.starts_with("/plain/") || path.starts_with("/single/") {
        return vec![format!("whole response to {id}")];
    }
    (1..=3)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

/// Writes a complete response after which the connection stays open.
fn write_response(request: &RawRequest, mut socket: &TcpStream) -> std::io::Result<()> {
    let body = body_parts(request.id(), &request.path).concat();
    let length = body.len();
    let id = request.id();
    write!(
        socket,
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nRoute-Stamp: stamp\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Starts a replica that sends a late copy before its response to the first run of a request whose path names the copy,
/// unless the request is the first one of its connection.
fn start_replica(id: &str, ip: [u8; 4], runs: &RunCounts) -> RawReplica {
    let used = std::sync::Mutex::new(std::collections::BTreeSet::new());
    RawReplica::start_raw(id, ip, runs, move |request, mut socket| {
        let is_reused = !used.lock().unwrap().insert(socket.peer_addr()?);
        let name = request.path.rsplit('/').next().unwrap_or_default();
        let copy = COPIES.iter().find(|it| it.0 == name);
        if let Some((_, copy)) = copy.filter(|_| is_reused && request.earlier_runs == 0) {
            write!(socket, "HTTP/1.1 {copy}\r\nContent-Length: 4\r\n\r\ncopy")?;
        }
        write_response(request, socket)?;
        Ok(RawConnection::KeepOpen)
    })
    .unwrap()
}

fn start_site(name: &str, first_index: u8) -> (TestSite, RunCounts, Vec<RawReplica>) {
    let mut site = TestSite::start(name, first_index, &[]);
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        json!({
            "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 6000,
            "sloMs": 2000, "prio": 1, "service": service, "maxAttempts": attempts, "public": false,
            "resumable": resumable,
        })
    };
    site.configure(&json!([
        route("/once/", "stream", "pool", false, 2),
        route("/again/", "stream", "pool", true, 2),
        route("/plain/", "idempotent", "plain", false, 2),
        route("/single/", "idempotent", "plain", false, 1),
    ]));
    let runs = RunCounts::default();
    let mut replicas = Vec::new();
    for index in 0..2_u8 {
        for service in ["pool", "plain"] {
            let id = format!("{service}-{index}");
            let replica = start_replica(&id, [127, 0, 1, first_index + index], &runs);
            let zone = ["a", "b"][usize::from(index)];
            site.store
                .put("servers", replica.id(), &replica.row(service, zone));
            replicas.push(replica);
        }
    }
    for path in ["/again/warm", "/plain/warm"] {
        site.wait("a served request", |it| {
            let response = it.call(0, Method::POST, path, "warm", "key-1")?;
            (response.status == StatusCode::OK).then_some(())
        });
        for _ in 0..FUNDING_REQUESTS {
            site.call(0, Method::POST, path, "warm", "key-1");
        }
    }
    (site, runs, replicas)
}

fn is_own(response: &SiteResponse, id: &str, path: &str) -> bool {
    response.status == StatusCode::OK
        && response.complete
        && response.body == body_parts(id, path).concat()
}

/// Sends a request whose connection delivers each copy before the response, and returns the unexpected outcomes.
fn mismatches(
    name: &str,
    first_index: u8,
    prefix: &str,
    is_expected: impl Fn(&SiteResponse, &str, &str, u64) -> bool,
) -> Vec<String> {
    let (site, runs, _replicas) = start_site(name, first_index);
    let mut mismatches = Vec::new();
    for (copy, _) in COPIES {
        let warm_path = if matches!(prefix, "/plain/" | "/single/") {
            "/plain/warm"
        } else {
            "/again/warm"
        };
        // Both replicas have an idle connection afterwards.
        for _ in 0..WARM_REQUESTS {
            site.call(0, Method::POST, warm_path, "warm", "key-1");
        }
        let path = format!("{prefix}{copy}");
        let id = path.replace('/', "");
        let response = site.call(0, Method::POST, &path, &id, "key-1");
        let response = response.expect("a response");
        let run_count = runs.get(&id);
        if !is_expected(&response, &id, &path, run_count) {
            let (status, body) = (response.status, response.body);
            mismatches.push(format!("{path}: {status}, {run_count} runs, {body:?}"));
        }
    }
    mismatches
}

/// Guards against a copy of a refusal that makes the entry send a request which must not be repeated to a second replica,
/// and against such a request that is lost because its connection delivers a copy.
#[test]
fn a_copy_does_not_affect_a_stream_that_must_not_be_repeated() {
    let all = mismatches(
        "platform-copies-once",
        218,
        "/once/",
        |it, id, path, runs| is_own(it, id, path) && runs == 1,
    );
    assert!(all.is_empty(), "{}", all.join("\n"));
}

/// Guards against a client that receives a copy of the response to another request.
#[test]
fn a_request_that_meets_a_copy_is_repeated() {
    for (index, prefix) in [(220, "/plain/"), (222, "/again/")] {
        let name = format!("platform-copies-{index}");
        let all = mismatches(&name, index, prefix, |it, id, path, _| is_own(it, id, path));
        assert!(all.is_empty(), "{}", all.join("\n"));
    }
}

/// Guards against a copy of a refusal that tells the client that its request has not run, although it has.
#[test]
fn a_copy_of_a_refusal_promises_nothing() {
    let all = mismatches(
        "platform-copies-single",
        224,
        "/single/",
        |it, id, path, _| is_own(it, id, path) || it.status == StatusCode::BAD_GATEWAY,
    );
    assert!(all.is_empty(), "{}", all.join("\n"));
}

/// Guards against a pooled connection whose end of a response was not found, for every framing.
#[test]
fn responses_of_every_framing_are_followed_by_another_response() {
    let mut site = TestSite::start("platform-copies-framing", 226, &[]);
    site.configure(&json!([{
        "name": "plain", "host": "shop.example", "prefix": "/plain/", "kind": "idempotent", "timeoutMs": 6000,
        "sloMs": 2000, "prio": 1, "service": "plain", "maxAttempts": 2, "public": false, "resumable": false,
    }]));
    let runs = RunCounts::default();
    let replica = RawReplica::start_raw("plain-0", [127, 0, 1, 226], &runs, |request, socket| {
        if request.path.ends_with("/copied") {
            // Both responses arrive at once, so that the second one is buffered when the first one ends.
            let parts = body_parts(request.id(), &request.path);
            let response = RawResponse::complete(RawFraming::Chunked, parts);
            response.write(request.id(), "plain-0", socket)?;
            response.write(request.id(), "plain-0", socket)?;
            return Ok(RawConnection::KeepOpen);
        }
        write_response(request, socket)?;
        Ok(RawConnection::KeepOpen)
    })
    .unwrap();
    site.store
        .put("servers", replica.id(), &replica.row("plain", "a"));
    site.wait("a served request", |it| {
        let response = it.call(0, Method::POST, "/plain/warm", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    for index in 0..FUNDING_REQUESTS {
        for path in ["/plain/copied", "/plain/next"] {
            let id = format!("{index}{}", path.replace('/', "-"));
            let response = site.call(0, Method::POST, path, &id, "key-1").unwrap();
            assert!(is_own(&response, &id, path), "{id}: {response:?}");
        }
    }
}
