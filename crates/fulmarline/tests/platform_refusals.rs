//! Which responses of replicas reach a client as the promise that its request has not run.

#[path = "support/raw_site.rs"]
mod raw_site;
#[path = "support/site.rs"]
mod site;

use std::io::Write;
use std::net::TcpStream;

use httpio::Method;
use raw_site::RawSitePlan;
use site::TestSite;
use standin::{RawConnection, RawRequest, RunCounts};

/// Responds as the path of a request demands, which ends in `STATUS-CASE`:
///
/// - `ran`: the request has run and fails with the status, without a word on whether it has.
/// - `refused`: each replica states that it has not run the request.
/// - `refused_first`: as `refused` at the first replica, and as `ran` at the next one.
fn respond(request: &RawRequest, mut socket: &TcpStream) -> std::io::Result<RawConnection> {
    let id = request.id();
    let demand = request.path.rsplit('/').next().unwrap_or_default();
    let headers = format!("Request-Id: {id}\r\nRoute-Stamp: stamp\r\n");
    let body = format!("id: 1\ndata: {id}/1\n\n");
    let (status, not_executed) = match demand.split_once('-') {
        Some((status, "ran")) if request.earlier_runs == 0 => (status, ""),
        Some((status, "refused")) => (status, "Not-Executed: 1\r\n"),
        Some((status, "refused_first")) if request.earlier_runs == 0 => {
            (status, "Not-Executed: 1\r\n")
        }
        Some((status, "refused_first")) => (status, ""),
        _ => ("200", ""),
    };
    write!(
        socket,
        "HTTP/1.1 {status} Status\r\n{headers}{not_executed}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    Ok(RawConnection::KeepOpen)
}

/// A request and the response that its client must get.
struct Case {
    path: String,
    status: u16,
    /// How often replicas receive it.
    sends: u64,
}

/// Sends the requests one after the other, and checks the statuses of their responses, how often replicas received them, and that a
/// failure bears the stamp of a replica only if it has that replica's status.
fn check(site: &TestSite, runs: &RunCounts, cases: &[Case]) {
    let mut mismatches = Vec::new();
    for case in cases {
        let id = case.path.replace('/', "-");
        let response = site.call(0, Method::POST, &case.path, &id, "key-1");
        let response = response.unwrap_or_else(|| panic!("{}: no response", case.path));
        let status = response.status.as_u16();
        let is_replicas = status == 200 || case.path.contains(&format!("/{status}-"));
        let is_stamped = response.headers.contains_key("route-stamp");
        let sends = runs.get(&id);
        if (status, sends) != (case.status, case.sends) || (is_stamped && !is_replicas) {
            mismatches.push(format!("{}: {sends} sends, {response:?}", case.path));
        }
    }
    let (count, total) = (mismatches.len(), cases.len());
    assert_eq!(count, 0, "{count} of {total}\n{}", mismatches.join("\n"));
}

fn case(kind: &str, status: u16, demand: &str, expected: u16, sends: u64) -> Case {
    Case {
        path: format!("/{kind}/{status}-{demand}"),
        status: expected,
        sends,
    }
}

fn start(name: &str, first_index: u8, runs: &RunCounts) -> TestSite {
    let plan = RawSitePlan {
        name,
        first_index,
        replica_index: first_index + 2,
        // Replicas that fail or refuse often are avoided for a while.
        replica_count: 20,
        entry_count: 1,
        max_attempts: 2,
    };
    plan.start(runs, respond)
}

/// Guards against REFUSED: a replica ran an order and failed it with 503, and its caller was told 503, which promises that the order
/// has not run.
#[test]
fn a_failure_of_a_replica_is_no_promise_that_the_request_has_not_run() {
    let runs = RunCounts::default();
    let site = start("refusals-ran", 20, &runs);
    let mut cases = Vec::new();
    for kind in ["keyed", "once"] {
        for status in [408, 429, 503] {
            cases.push(case(kind, status, "ran", 502, 1));
            cases.push(case(kind, status, "refused_first", 502, 2));
        }
        // These promise nothing, so clients get them as the replica sent them.
        cases.extend([400, 500, 504].map(|it| case(kind, it, "ran", it, 1)));
    }
    check(&site, &runs, &cases);
    let metrics = site.metrics(0);
    let failures = r#"fulmarline_sends_total{outcome="unproven_refusal",repeat="no"} 6"#;
    assert!(metrics.contains(failures), "{metrics}");
}

/// Guards against a refusal that is not passed on as one: the caller would not know that it may send its order again.
#[test]
fn a_refusal_of_a_replica_stays_a_promise() {
    let runs = RunCounts::default();
    let site = start("refusals-refused", 24, &runs);
    let mut cases = Vec::new();
    for kind in ["keyed", "once", "plain", "again"] {
        let refusals = [408, 421, 429, 503].map(|it| case(kind, it, "refused", 503, 2));
        cases.extend(refusals);
    }
    check(&site, &runs, &cases);
}

/// Guards against a changed status of requests that may be repeated, whose callers rely on no promise.
#[test]
fn a_failure_of_a_request_that_may_be_repeated_keeps_its_status() {
    let runs = RunCounts::default();
    let site = start("refusals-repeatable", 28, &runs);
    let kept = [408, 429, 503].map(|it| case("plain", it, "ran", it, 1));
    check(&site, &runs, &kept);
    let repeated = [("plain", 500), ("again", 503)];
    let repeated = repeated.map(|(kind, status)| case(kind, status, "ran", 200, 2));
    check(&site, &runs, &repeated);
}
