//! Replicas that send responses with invalid status lines.

#[path = "support/raw_site.rs"]
mod raw_site;
#[path = "support/site.rs"]
mod site;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use httpio::{Method, StatusCode};
use raw_site::RawSitePlan;
use site::{SiteCaller, SiteResponse, WAIT_TIMEOUT};
use standin::{INVALID_STATUS_LINES as STATUS_LINES, RawConnection, RawRequest, RunCounts};

/// The kinds of requests by the prefix of their route, and the run of each that gets an invalid status.
const KINDS: [(&str, u64); 5] = [
    ("/plain/", 0),
    ("/keyed/", 0),
    ("/once/", 0),
    ("/again/", 0),
    ("/resumed/", 1),
];

/// What follows the head of a response with an invalid status.
const ENDS: [&str; 3] = ["whole", "closed", "silent"];

/// Time for which clients wait for a response beside a silent replica.
const SHORT_PATIENCE: Duration = Duration::from_millis(800);

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}/{number}\n\n")
}

fn whole_body(path: &str, id: &str, after: usize) -> String {
    if path.starts_with("/plain/") || path.starts_with("/keyed/") {
        return format!("whole response to {id}");
    }
    (after + 1..=3).map(|it| event(id, it)).collect()
}

/// Responds as the path of a request demands, which ends in `INDEX-END` of an invalid status.
fn respond(request: &RawRequest, mut socket: &TcpStream) -> std::io::Result<RawConnection> {
    let id = request.id();
    let after = request.headers.get("last-event-id");
    let after = after.map_or(0, |it| it.parse().expect("an event's number"));
    let body = whole_body(&request.path, id, after);
    let headers = format!(
        "Request-Id: {id}\r\nRoute-Stamp: stamp\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let (kind, demand) = request.path[1..].split_once('/').unwrap();
    let run = KINDS
        .iter()
        .find(|it| it.0[1..].starts_with(kind))
        .unwrap()
        .1;
    let Some((index, end)) = demand.split_once('-') else {
        write!(socket, "HTTP/1.1 200 OK\r\n{headers}{body}")?;
        return Ok(RawConnection::Close);
    };
    if request.earlier_runs < run {
        let first = event(id, 1);
        write!(socket, "HTTP/1.1 200 OK\r\n{headers}{first}")?;
    } else if request.earlier_runs > run {
        write!(socket, "HTTP/1.1 200 OK\r\n{headers}{body}")?;
    } else {
        let index: usize = index.parse().expect("the index of a status line");
        let line = STATUS_LINES[index];
        write!(socket, "{line}\r\n{headers}")?;
        match end {
            "whole" => socket.write_all(body.as_bytes())?,
            "silent" => std::thread::sleep(2 * SHORT_PATIENCE),
            _ => {}
        }
    }
    Ok(RawConnection::Close)
}

/// The site, whose streams can lose two replicas.
const SITE_PLAN: RawSitePlan<'static> = RawSitePlan {
    name: "platform-statuses",
    first_index: 79,
    replica_index: 81,
    // Some replicas serve while others have just failed.
    replica_count: 12,
    entry_count: 1,
    max_attempts: 3,
};

/// Returns whether `response` has a status that says that the outcome is unknown.
fn is_unknown(response: &SiteResponse) -> bool {
    let statuses = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    statuses.contains(&response.status) && response.complete
}

/// Returns what is wrong with the response to a request that got the status line with `index`.
fn check(
    caller: &SiteCaller,
    runs: &RunCounts,
    (prefix, run): (&str, u64),
    (index, end): (usize, &str),
) -> Option<String> {
    let path = format!("{prefix}{index}-{end}");
    let id = path.replace('/', "-");
    let is_silent = end == "silent";
    let patience = if is_silent {
        SHORT_PATIENCE
    } else {
        WAIT_TIMEOUT
    };
    let caller = caller.clone().with_patience(patience);
    let response = caller.call(0, Method::POST, &path, &id, "key-1");
    let response = response.expect("a response");
    let run_count = runs.get(&id);
    let is_whole = response.status == StatusCode::OK && response.body == whole_body(prefix, &id, 0);
    let is_expected = match prefix {
        "/keyed/" | "/once/" => is_unknown(&response) && run_count == 1,
        // After a status below 200, another head is waited for. That may take as long as the client waits.
        "/resumed/" if is_silent => {
            is_whole || response.body == event(&id, 1) && !response.complete
        }
        _ if is_silent => is_whole || is_unknown(&response),
        _ => is_whole && response.complete && run_count == run + 2,
    };
    let line = STATUS_LINES[index];
    (!is_expected).then(|| format!("{path} {line:?}: {run_count} runs, {response:?}"))
}

/// Guards against MIXED: a replica in trouble sent a response with the status 000, and the client received it as the response.
#[test]
fn a_response_with_an_invalid_status_is_no_response() {
    let runs = RunCounts::default();
    let site = SITE_PLAN.start(&runs, respond);
    let mut mismatches = Vec::new();
    for kind in KINDS {
        for end in ENDS {
            let caller = site.caller();
            let results: Vec<_> = std::thread::scope(|scope| {
                let checks: Vec<_> = (0..STATUS_LINES.len())
                    .map(|index| {
                        let (caller, runs) = (&caller, &runs);
                        scope.spawn(move || check(caller, runs, kind, (index, end)))
                    })
                    .collect();
                checks.into_iter().map(|it| it.join().unwrap()).collect()
            });
            mismatches.extend(results.into_iter().flatten());
        }
    }
    assert!(
        mismatches.is_empty(),
        "{} of {}\n{}",
        mismatches.len(),
        KINDS.len() * ENDS.len() * STATUS_LINES.len(),
        mismatches.join("\n")
    );
    let metrics = site.metrics(0);
    let refused = r#"fulmarline_sends_total{outcome="invalid_status",repeat="no"}"#;
    assert!(metrics.contains(refused), "{metrics}");
}
