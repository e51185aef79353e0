//! Engines and services that send responses with invalid status lines.

#[path = "support/status_changer.rs"]
mod status_changer;
mod support;

use std::path::{Path, PathBuf};
use std::time::Duration;

use httpio::{Method, Request, Response};
use serde_json::{Value, json};
use standin::{
    DeterministicResponse, FleetPlan, INVALID_STATUS_LINES as STATUS_LINES, ProcessFleet,
};
use status_changer::StatusLog;
use upstream::{TableClient, TableTransaction};

/// The kinds of requests, and the run of each whose status line is replaced.
const KINDS: [(&str, u32); 6] = [
    ("lookup", 0),
    ("order", 0),
    ("keyed", 0),
    ("completion", 0),
    ("stream", 0),
    ("stream", 1),
];

/// Number of requests for one status line; some of them are refused.
const MAX_TRIES: usize = 40;

/// Number of requests that earn all retries of a request even if some of them are hedged.
const MAX_FUNDING_REQUESTS: usize = 1000;

/// Number of retries that a request may need.
const NEEDED_RETRIES: u64 = 2;

/// Number of generated tokens.
const TOKEN_COUNT: usize = 6;

/// Timeout of every wait and call, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a fleet whose agents reach their engines and services through proxies.
fn start_fleet(name: &str, log: &StatusLog) -> ProcessFleet {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    // A stream can lose two replicas.
    let mut plan = FleetPlan::uniform(binary, dir.clone(), 1, 3);
    plan.weight_bytes = 1 << 20;
    plan.chunk_bytes = 64 << 10;
    plan.add_service("orders-1", "orders", 0);
    plan.add_service("orders-2", "orders", 0);
    support::start_proxied_fleet(plan, |it| status_changer::start(it, &STATUS_LINES, log))
}

fn call_service(
    fleet: &ProcessFleet,
    method: Method,
    path: &str,
    key: Option<&str>,
) -> Response<String> {
    support::send_for_text(fleet, 0, support::service_request(method, path, key))
}

fn call_model(fleet: &ProcessFleet, prompt: &str, stream: bool) -> Response<String> {
    let body = json!({
        "model": "demo", "prompt": prompt, "max_tokens": TOKEN_COUNT, "stream": stream,
    });
    let request = Request::post("/v1/completions").body(httpio::full(body.to_string()));
    support::send_for_text(fleet, 0, request.unwrap())
}

fn call(fleet: &ProcessFleet, kind: &str, demand: &str, id: &str) -> Response<String> {
    let prompt = format!("{demand} ");
    match kind {
        "lookup" => call_service(fleet, Method::GET, demand, None),
        "order" => call_service(fleet, Method::POST, demand, None),
        "keyed" => call_service(fleet, Method::POST, demand, Some(id)),
        _ => call_model(fleet, &prompt, kind == "stream"),
    }
}

/// Returns whether the response to a request with `demand` is complete.
fn is_whole(fleet: &ProcessFleet, kind: &str, demand: &str, response: &Response<String>) -> bool {
    let body = response.body();
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    let tokens = DeterministicResponse::new(fleet.manifests["v1"].version(), &format!("{demand} "));
    let text: String = (0..TOKEN_COUNT).map(|it| tokens.token(it)).collect();
    response.status() == httpio::StatusCode::OK
        && match kind {
            "completion" => json["choices"][0]["text"].as_str() == Some(&text),
            "stream" => {
                let received = support::streamed_text(body);
                received == text && body.ends_with("data: [DONE]\n\n")
            }
            _ => json["path"].as_str().is_some_and(|it| it.contains(demand)),
        }
}

/// Returns whether `response` says that the outcome of a request is unknown.
fn is_unknown(response: &Response<String>, codes: [&str; 2]) -> bool {
    let result = response.headers().get(model::RESULT_HEADER);
    let result = result.map_or("", |it| it.to_str().unwrap());
    response.status().is_server_error() && codes.iter().any(|it| result.starts_with(it))
}

/// Returns what is wrong with the response to a request, whose run number `run` got an invalid status.
fn mismatch(
    fleet: &ProcessFleet,
    (kind, run): (&str, u32),
    (demand, id): (&str, &str),
    response: &Response<String>,
    log: &StatusLog,
) -> Option<String> {
    let runs = log.runs(id);
    let is_expected = match kind {
        "order" => is_unknown(response, ["302", "302"]) && runs == 1,
        "keyed" => is_unknown(response, ["301", "302"]) && runs == 1,
        _ => is_whole(fleet, kind, demand, response) && runs > run + 1,
    };
    if !is_expected {
        return Some(format!("{runs} runs, {response:?}"));
    }
    if kind != "keyed" {
        return None;
    }
    let repeat = call(fleet, kind, demand, id);
    let is_expected = is_unknown(&repeat, ["301", "301"]) && log.runs(id) == 1;
    (!is_expected).then(|| format!("{} runs, repeat {repeat:?}", log.runs(id)))
}

/// Sends lookups until the entry may repeat a request often enough. Lookups that are slow are hedged from the same budget, so no
/// fixed number of them suffices on a busy host.
fn earn_retries(fleet: &ProcessFleet) {
    let available = || {
        let state = fleet.state("entry-1").unwrap();
        state["available_retries"].as_u64().unwrap()
    };
    for number in 0..MAX_FUNDING_REQUESTS {
        if number > 0 && available() >= NEEDED_RETRIES {
            return;
        }
        call_service(fleet, Method::GET, &format!("warm-{number}"), None);
    }
    panic!("no {NEEDED_RETRIES} retries after {MAX_FUNDING_REQUESTS} requests");
}

/// Sends requests until one of them gets the status line with `index`, and returns what is wrong with its response.
fn check(fleet: &ProcessFleet, log: &StatusLog, kind: (&str, u32), index: usize) -> Option<String> {
    let (kind, run) = kind;
    let line = STATUS_LINES[index];
    for tried in 0..MAX_TRIES {
        earn_retries(fleet);
        let id = format!("{kind}{run}x{index}x{tried}");
        let demand = format!("status-{run}-{index}-{id}");
        let response = call(fleet, kind, &demand, &id);
        if log.runs(&id) > run {
            let mismatch = mismatch(fleet, (kind, run), (&demand, &id), &response, log);
            return mismatch.map(|it| format!("{kind} {run} {line:?}: {it}"));
        }
    }
    Some(format!("{kind} {run} {line:?}: no response got the status"))
}

/// Guards against MIXED and ORDER: a back end in trouble sent a response with the status 000, and the caller received it as the
/// response, or an order that had run counted as not run.
#[test]
fn a_response_with_an_invalid_status_is_no_response() {
    let log = StatusLog::default();
    let fleet = start_fleet("invalid-statuses", &log);
    let mut mismatches = Vec::new();
    for kind in KINDS {
        let indexes = 0..STATUS_LINES.len();
        mismatches.extend(indexes.filter_map(|it| check(&fleet, &log, kind, it)));
    }
    assert!(
        mismatches.is_empty(),
        "{} of {}\n{}",
        mismatches.len(),
        KINDS.len() * STATUS_LINES.len(),
        mismatches.join("\n")
    );
}

/// Guards against MIXED: an outcome with an invalid status that an older entry has recorded for an order is returned to the caller.
#[test]
fn a_recorded_outcome_with_an_invalid_status_is_unknown() {
    let fleet = support::start_serving_fleet("invalid-outcomes", support::single_zone_plan);
    let table = TableClient::new(fleet.table.address(), WAIT_TIMEOUT);
    let mut mismatches = Vec::new();
    for status in [0, 99, 100, 101, 199, 600, 999, 1000, u16::MAX] {
        let key = format!("key-{status}");
        let ran = support::send_order(&fleet, 0, "castings", &key);
        assert_eq!(ran.result, "0 ok", "{ran:?}");
        let recorded = fleet.wait_for("the recorded outcome", WAIT_TIMEOUT, |_| {
            let rows = table.scan("", "", 1000).ok()?;
            let mut rows = rows.into_iter();
            rows.find(|it| it.value["state"]["done"]["status"] == 200)
        });
        let mut row = recorded.unwrap();
        row.value["state"]["done"]["status"] = status.into();
        let transaction = TableTransaction::default().expect(&row.key, Some(row.version));
        table
            .transact(&transaction.put(&row.key, row.value))
            .unwrap();
        let repeat = support::send_order(&fleet, 0, "castings", &key);
        if repeat.result != "301 order-unknown" {
            mismatches.push(format!("{status}: {repeat:?}"));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}
