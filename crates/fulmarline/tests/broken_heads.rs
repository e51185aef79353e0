//! Engines and services that close a connection in the middle of the head of a response, after each of its bytes.

#[path = "support/head_cutter.rs"]
mod head_cutter;
mod support;

use std::path::Path;

use head_cutter::{CutLog, CutRecord};
use httpio::Method;
use standin::{DeterministicResponse, EngineFaults, ProcessFleet, ServiceFaults};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 8;

/// Number of requests for one cut; some of them are refused, or their retry is.
const MAX_TRIES: usize = 40;

/// Number of requests from which one retry results.
const FUNDING_REQUESTS: usize = 12;

/// Number of generated tokens, some of which arrive after the head.
const TOKEN_COUNT: usize = 6;

/// The kinds of requests, and the run of each whose head is cut.
const KINDS: [(&str, u32); 6] = [
    ("lookup", 0),
    ("order", 0),
    ("keyed", 0),
    ("completion", 0),
    ("stream", 0),
    ("stream", 1),
];

/// A request and the cut that it demands.
#[derive(Clone, Debug)]
struct CutRequest {
    kind: &'static str,
    id: String,
    demand: String,
}

/// Returns what is wrong with the response to `request`, which is sent now, if anything is.
fn send(fleet: &ProcessFleet, request: &CutRequest, log: &CutLog) -> Option<String> {
    let CutRequest { id, demand, .. } = request;
    let prompt = format!("{demand} ");
    let tokens = DeterministicResponse::new(fleet.manifests["v1"].version(), &prompt);
    let text: String = (0..TOKEN_COUNT).map(|it| tokens.token(it)).collect();
    if request.kind == "stream" {
        let body = support::open_stream(fleet, 0, &prompt, TOKEN_COUNT).join();
        let body = body.unwrap();
        let received = support::streamed_text(&body);
        let is_whole = received == text && body.ends_with("data: [DONE]\n\n");
        let is_broken = text.starts_with(&received) && !body.contains("[DONE]");
        return (!is_whole && !is_broken).then_some(body);
    }
    let (response, is_whole) = match request.kind {
        "completion" => {
            let response = support::send_completion(fleet, 0, &prompt, TOKEN_COUNT);
            let is_whole = response.body["choices"][0]["text"].as_str() == Some(&text);
            (response, is_whole)
        }
        kind => {
            let method = if kind == "lookup" {
                Method::GET
            } else {
                Method::POST
            };
            let key = (kind == "keyed").then_some(id.as_str());
            let sent = support::service_request(method, demand, key);
            let response = support::send(fleet, 0, sent);
            let path = response.body["path"].as_str().unwrap_or_default();
            let is_whole = path.contains(demand.as_str());
            (response, is_whole)
        }
    };
    // Codes below 300 say that the request has not run.
    let is_order = matches!(request.kind, "order" | "keyed");
    let is_denied = is_order && response.result.starts_with(['1', '2']) && log.get(id).runs > 0;
    let is_expected = match response.status {
        200 => is_whole,
        status => status >= 400 && response.body["code"].is_number() && !is_denied,
    };
    (!is_expected).then(|| format!("{response:?}"))
}

/// Returns what is wrong with an order whose head was cut.
fn order_mismatch(fleet: &ProcessFleet, request: &CutRequest, log: &CutLog) -> Option<String> {
    let id = &request.id;
    let CutRecord { runs, .. } = log.get(id);
    if runs != 1 {
        return Some(format!("{runs} runs"));
    }
    if request.kind != "keyed" {
        return None;
    }
    // A repeat after the cut must not run, and must not be told that the order has not run.
    let repeat = support::service_request(Method::POST, &request.demand, Some(id));
    let repeat = support::send(fleet, 0, repeat);
    let is_expected = repeat.result.starts_with("30") && log.get(id).runs == 1;
    (!is_expected).then(|| format!("{:?}, repeat {repeat:?}", log.get(id)))
}

/// Sends a request until a response to it is cut; returns `None` if the head is not longer than `position`, and otherwise what
/// is wrong.
fn check_cut(
    fleet: &ProcessFleet,
    log: &CutLog,
    (kind, run): (&'static str, u32),
    end: &str,
    (framing, position): (&str, usize),
) -> Option<Vec<String>> {
    let mut mismatches = Vec::new();
    for tried in 0..MAX_TRIES {
        for _ in 0..run as usize * FUNDING_REQUESTS {
            let warm = support::service_request(Method::GET, "warm", None);
            support::send(fleet, 0, warm);
        }
        let id = format!("{kind}{run}{framing}{end}x{position}x{tried}");
        let request = CutRequest {
            kind,
            demand: format!("cut-{run}-{end}-{position}-{id}"),
            id,
        };
        let mismatch = send(fleet, &request, log);
        let record = log.get(&request.id);
        if record.is_cut {
            let is_order = matches!(kind, "order" | "keyed");
            let order = || order_mismatch(fleet, &request, log);
            let mismatch = mismatch.or_else(|| is_order.then(order).flatten());
            mismatches.extend(mismatch.map(|it| format!("{}: {it}", request.demand)));
            return Some(mismatches);
        }
        if record.runs > run {
            return None;
        }
        mismatches.extend(mismatch.map(|it| format!("{}: not cut, {it}", request.demand)));
    }
    mismatches.push(format!("{kind} {run} {end} {position}: no head was cut"));
    Some(mismatches)
}

/// Guards against MIXED and ORDER: a back end stopped in the middle of its response's head and closed the connection, and the
/// caller received an empty or short body, framed as whole, or an order that had run counted as not run.
#[test]
fn a_head_that_breaks_off_is_no_response() {
    let log = CutLog::default();
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken-heads");
    let plan = support::single_zone_plan(&dir);
    let fleet = support::start_proxied_fleet(plan, |it| head_cutter::start(it, &log));
    let mut mismatches = Vec::new();
    let mut count = 0;
    for (framing, unframed) in [("marked", false), ("unframed", true)] {
        for engine in fleet.engines.values() {
            engine.set_faults(EngineFaults {
                unframed,
                ..EngineFaults::default()
            });
        }
        fleet.services["orders-1"].set_faults(ServiceFaults {
            unframed,
            ..ServiceFaults::default()
        });
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLER_COUNT)
                .map(|caller| {
                    let (fleet, log) = (&fleet, &log);
                    scope.spawn(move || {
                        let mut results = Vec::new();
                        for kind in KINDS {
                            for end in ["closed", "reset"] {
                                let positions = (caller..).step_by(CALLER_COUNT);
                                results.extend(positions.map_while(|it| {
                                    check_cut(fleet, log, kind, end, (framing, it))
                                }));
                            }
                        }
                        results
                    })
                })
                .collect();
            for caller in callers {
                let results = caller.join().unwrap();
                count += results.len();
                mismatches.extend(results.into_iter().flatten());
            }
        });
    }
    println!("{count} heads were cut");
    assert!(
        mismatches.is_empty(),
        "{} of {count} cuts\n{}",
        mismatches.len(),
        mismatches.join("\n")
    );
}
