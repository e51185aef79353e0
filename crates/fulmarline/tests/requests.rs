//! Requests during kills, suspensions, restarts and planned stops of processes.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpClient, Request};
use model::{ResultCode, RunStatus};
use serde_json::{Value, json};
use standin::{
    DeterministicResponse, EngineOptions, FleetPlan, ProcessFleet, ServiceFaults, TableFaults,
    TargetPlan,
};

/// Response that a caller received.
#[derive(Debug)]
struct CallerResponse {
    result: String,
    retry_after: Option<String>,
    body: String,
}

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of callers during a planned stop; at any time some of them have a request in progress.
const STOP_CALLERS: usize = 6;

/// Sends a request from a separate thread. Returns nothing if the connection to the entry breaks.
fn send_request(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Value,
) -> JoinHandle<Option<CallerResponse>> {
    let mut request = Request::post(path).header("authorization", "Bearer token-north");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(httpio::full(body.to_string())).unwrap();
    let handle = fleet.runtime().handle().clone();
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, WAIT_TIMEOUT);
            let pooled_response = client.send(entry, request).await.ok()?;
            let response = pooled_response
                .read(&client, 1 << 20, WAIT_TIMEOUT)
                .await
                .ok()?;
            let header = |name: &str| {
                let value = response.headers().get(name)?;
                value.to_str().ok().map(str::to_owned)
            };
            Some(CallerResponse {
                result: header(model::RESULT_HEADER).unwrap_or_default(),
                retry_after: header("retry-after"),
                body: String::from_utf8_lossy(response.body()).into_owned(),
            })
        })
    })
}

/// Sends an order from a separate thread.
fn start_order(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    key: &str,
    deadline_ms: &str,
) -> JoinHandle<Option<CallerResponse>> {
    let headers = [
        ("idempotency-key", key),
        (model::DEADLINE_HEADER, deadline_ms),
    ];
    send_request(
        fleet,
        entry,
        "/services/orders/reserve",
        &headers,
        json!({}),
    )
}

/// Sends a streaming completion request from a separate thread.
fn start_stream(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    prompt: &str,
    max_tokens: usize,
) -> JoinHandle<Option<CallerResponse>> {
    let body =
        json!({ "model": "demo", "prompt": prompt, "max_tokens": max_tokens, "stream": true });
    send_request(fleet, entry, "/v1/completions", &[], body)
}

fn join_result(response: JoinHandle<Option<CallerResponse>>) -> String {
    response.join().unwrap().unwrap().result
}

/// Repeats an order until the result no longer reports that it is in progress, and returns the result.
fn repeat_until_settled(fleet: &ProcessFleet, entry: SocketAddr, key: &str) -> String {
    fleet
        .wait_for("a settled order", WAIT_TIMEOUT, |fleet| {
            let result = join_result(start_order(fleet, entry, key, "5000"));
            (result != "300 order-in-progress").then_some(result)
        })
        .unwrap()
}

/// Returns how often the services started the order with the idempotency key `key`.
fn run_count(fleet: &ProcessFleet, key: &str) -> u32 {
    let services = fleet.services.values();
    services.map(|it| it.run_count(key).started).sum()
}

/// Plans a fleet with two entries, two engines and one order service.
fn two_entry_plan(dir: &Path) -> FleetPlan {
    let mut plan = support::single_zone_plan(dir);
    let mut second = plan.entries[0].clone();
    second.name = "entry-2".to_owned();
    plan.entries.push(second);
    plan
}

/// Returns the text of a stream and whether it is complete.
fn streamed_text(response: &CallerResponse) -> (String, bool) {
    let events: Vec<&str> = response.body.split("\n\n").collect();
    let text = events
        .iter()
        .filter_map(|it| serde_json::from_str::<Value>(it.strip_prefix("data: ")?).ok())
        .filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    (text, response.body.ends_with("data: [DONE]\n\n"))
}

fn expected_text(fleet: &ProcessFleet, prompt: &str, token_count: usize) -> String {
    let expected_response = DeterministicResponse::new(fleet.manifests["v1"].version(), prompt);
    (0..token_count)
        .map(|it| expected_response.token(it))
        .collect()
}

#[test]
fn stream_resumes_at_another_replica_after_a_kill() {
    let mut fleet = support::start_serving_fleet("stream-resume", support::single_zone_plan);
    let entry = fleet.callers()[0];
    let responses: Vec<_> = (0..6)
        .map(|it| start_stream(&fleet, entry, &format!("guide {it}"), 100))
        .collect();
    fleet
        .wait_for("tokens of both engines", WAIT_TIMEOUT, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("model-1").kill();

    for (idx, response) in responses.into_iter().enumerate() {
        let response = response.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 100);
        assert_eq!(streamed_text(&response), (expected, true), "stream {idx}");
    }
}

#[test]
fn stream_of_a_suspended_agent_resumes_elsewhere_without_duplicate_tokens() {
    let mut fleet = support::start_serving_fleet("stream-frozen", support::single_zone_plan);
    let entry = fleet.callers()[0];
    let responses: Vec<_> = (0..4)
        .map(|it| start_stream(&fleet, entry, &format!("guide {it}"), 300))
        .collect();
    fleet
        .wait_for("tokens of both engines", WAIT_TIMEOUT, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("model-1").suspend();
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.process("model-1").resume();

    for (idx, response) in responses.into_iter().enumerate() {
        let response = response.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 300);
        assert_eq!(streamed_text(&response), (expected, true), "stream {idx}");
    }
}

#[test]
fn concurrent_repeats_through_both_entries_run_once() {
    let fleet = support::start_serving_fleet("repeat-both", two_entry_plan);
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 200,
        ..ServiceFaults::default()
    });
    let callers = fleet.callers();
    let responses: Vec<_> = (0..8)
        .map(|it| start_order(&fleet, callers[it % 2], "key-1", "5000"))
        .collect();
    let mut results: Vec<_> = responses.into_iter().map(join_result).collect();
    results.retain(|it| it != "300 order-in-progress");

    assert_eq!(run_count(&fleet, "key-1"), 1);
    assert_eq!(results.iter().filter(|it| *it == "0 ok").count(), 1);
    assert_eq!(
        repeat_until_settled(&fleet, callers[1], "key-1"),
        "1 replayed"
    );
    assert_eq!(run_count(&fleet, "key-1"), 1);
}

#[test]
fn entry_killed_between_claim_and_dispatch_lets_a_repeat_run_the_order() {
    let mut fleet = support::start_serving_fleet("killed-before-dispatch", two_entry_plan);
    let callers = fleet.callers();
    // The table applies the claim, but its delayed reply arrives only after the entry has been killed.
    fleet.table.set_faults(TableFaults {
        delay_ms: 1_000,
        ..TableFaults::default()
    });
    let first = start_order(&fleet, callers[0], "key-1", "500");
    std::thread::sleep(Duration::from_millis(300));
    fleet.process("entry-1").kill();
    assert!(first.join().unwrap().is_none());
    std::thread::sleep(Duration::from_millis(1_000));
    fleet.table.set_faults(TableFaults::default());

    let result = repeat_until_settled(&fleet, callers[1], "key-1");
    assert_eq!(result, "0 ok");
    assert_eq!(run_count(&fleet, "key-1"), 1);
}

#[test]
fn entry_killed_between_run_and_record_leaves_an_unknown_order() {
    let mut fleet = support::start_serving_fleet("killed-before-record", two_entry_plan);
    let callers = fleet.callers();
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    });
    let first = start_order(&fleet, callers[0], "key-1", "1000");
    fleet
        .wait_for("the run", WAIT_TIMEOUT, |it| {
            (run_count(it, "key-1") == 1).then_some(())
        })
        .unwrap();
    fleet.process("entry-1").kill();
    assert!(first.join().unwrap().is_none());

    let result = repeat_until_settled(&fleet, callers[1], "key-1");
    assert_eq!(result, "301 order-unknown");
    assert_eq!(run_count(&fleet, "key-1"), 1);
}

#[test]
fn order_in_progress_at_an_agent_restart_is_unknown() {
    let mut fleet = support::start_serving_fleet("agent-restarted", support::single_zone_plan);
    let entry = fleet.callers()[0];
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 2_000,
        ..ServiceFaults::default()
    });
    let first = start_order(&fleet, entry, "key-1", "20000");
    fleet
        .wait_for("the run", WAIT_TIMEOUT, |it| {
            (run_count(it, "key-1") == 1).then_some(())
        })
        .unwrap();
    fleet.process("orders-1").kill();
    assert_eq!(join_result(first), "301 order-unknown");
    fleet.start_process("orders-1").unwrap();
    fleet
        .wait_for("the agent", WAIT_TIMEOUT, |it| {
            it.entries_see_targets(3).then_some(())
        })
        .unwrap();

    assert_eq!(
        repeat_until_settled(&fleet, entry, "key-1"),
        "301 order-unknown"
    );
    assert_eq!(run_count(&fleet, "key-1"), 1);
}

#[test]
fn order_at_a_suspended_agent_is_unknown_and_runs_at_most_once() {
    let mut fleet = support::start_serving_fleet("agent-frozen", support::single_zone_plan);
    let entry = fleet.callers()[0];
    fleet.process("orders-1").suspend();
    let first = join_result(start_order(&fleet, entry, "key-1", "500"));
    fleet.process("orders-1").resume();

    assert_eq!(first, "303 deadline-unknown");
    let repeat = repeat_until_settled(&fleet, entry, "key-1");
    let runs = run_count(&fleet, "key-1");
    let is_consistent = match repeat.as_str() {
        "0 ok" | "1 replayed" => runs == 1,
        _ => runs <= 1,
    };
    assert!(is_consistent, "{repeat}, {runs} runs");
}

#[test]
fn planned_stop_of_entry_and_agent_interrupts_no_stream() {
    let mut fleet = support::start_serving_fleet("planned-stop", two_entry_plan);
    let entry = fleet.callers()[0];
    let responses: Vec<_> = (0..6)
        .map(|it| start_stream(&fleet, entry, &format!("guide {it}"), 200))
        .collect();
    fleet
        .wait_for("tokens of both engines", WAIT_TIMEOUT, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("entry-1").terminate();
    fleet.process("model-1").terminate();

    for (idx, response) in responses.into_iter().enumerate() {
        let response = response.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 200);
        assert_eq!(streamed_text(&response), (expected, true), "stream {idx}");
    }
    for name in ["entry-1", "model-1"] {
        let status = fleet.process(name).wait(WAIT_TIMEOUT).unwrap();
        assert!(status.success(), "{name}: {status}");
    }
}

/// Guards against planned stops that never end while callers keep sending on open connections, and that cut off requests which
/// arrive just as the entry closes its listener.
#[test]
fn a_planned_stop_ends_while_callers_keep_sending() {
    let mut fleet = support::start_serving_fleet("stop-under-load", support::single_zone_plan);
    let entry = fleet.callers()[0];
    let handle = fleet.runtime().handle().clone();
    let callers: Vec<_> = (0..STOP_CALLERS)
        .map(|caller| {
            let handle = handle.clone();
            std::thread::spawn(move || handle.block_on(call_until_closed(entry, caller)))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    fleet.process("entry-1").terminate();
    let status = fleet.process("entry-1").wait(WAIT_TIMEOUT);
    assert!(
        status.is_some_and(|it| it.success()),
        "the planned stop ended with {status:?}"
    );
    for caller in callers {
        assert!(caller.join().unwrap() > 0, "no request was served");
    }
}

/// Sends one request after another, on one connection if possible, until the entry no longer listens. Returns the number of
/// responses, all of which were complete.
async fn call_until_closed(entry: SocketAddr, caller: usize) -> usize {
    let client = HttpClient::new(None, WAIT_TIMEOUT);
    let mut responses = 0;
    loop {
        // Requests that start together must not end together.
        let max_tokens = 100 + 37 * ((caller + 2 * responses) % STOP_CALLERS);
        let body = json!({ "model": "demo", "prompt": "guide", "max_tokens": max_tokens });
        let request = Request::post("/v1/completions")
            .header("authorization", "Bearer token-north")
            .body(httpio::full(body.to_string()))
            .unwrap();
        match client.send(entry, request).await {
            Ok(pooled_response) => {
                let read = pooled_response.read(&client, 1 << 20, WAIT_TIMEOUT).await;
                let response = read.expect("a complete response");
                assert!(!response.body().is_empty());
                responses += 1;
            }
            Err(httpio::ClientError::NotSent(_)) => return responses,
            // The request crossed the close of a connection on which no request was in progress.
            Err(err) => assert!(responses > 0, "the first request had no response: {err}"),
        }
    }
}

#[test]
fn overload_refusals_report_duration_and_cause_and_did_not_run() {
    let fleet = support::start_serving_fleet("overload", |dir| {
        let mut plan = support::single_zone_plan(dir);
        for agent in &mut plan.agents {
            if let TargetPlan::Engine(options) = &mut agent.target {
                *options = EngineOptions {
                    max_batch: 2,
                    ..EngineOptions::default()
                };
            }
        }
        plan
    });
    let entry = fleet.callers()[0];
    let headers = [(model::DEADLINE_HEADER, "3000")];
    let responses: Vec<_> = (0..40)
        .map(|it| {
            let prompt = format!("flood {it}");
            let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": 40 });
            let response = send_request(&fleet, entry, "/v1/completions", &headers, body);
            (prompt, response)
        })
        .collect();
    let mut refused_count = 0;
    for (prompt, response) in responses {
        let response = response.join().unwrap().unwrap();
        let code = ResultCode::from_header(&response.result).unwrap();
        if code.run_status() != RunStatus::NotRun {
            continue;
        }
        refused_count += 1;
        let body: Value = serde_json::from_str(&response.body).unwrap();
        assert!(body["overloaded_ms"].is_u64(), "{body}");
        assert!(body["overload_cause"].is_string(), "{body}");
        assert!(response.retry_after.is_some());
        let runs = fleet
            .engines
            .values()
            .map(|it| it.runs_by_prompt().get(&prompt).started);
        assert_eq!(runs.sum::<u32>(), 0, "{prompt}: {}", response.result);
    }
    assert!(refused_count > 0);
    // The dump shows the state as of the control thread's last step, which may precede the refusals above.
    let own_state = fleet
        .wait_for(
            "the overload state in the dump",
            OVERLOAD_DUMP_TIMEOUT,
            |it| {
                let state = it.state("entry-1").ok()?;
                let own_state = state["own"].clone();
                own_state["overloaded_ms"].is_u64().then_some(own_state)
            },
        )
        .unwrap();
    assert!(own_state["overload_cause"].is_string(), "{own_state}");
}

/// Timeout for the overload state in the dump. The entry keeps this state for five seconds after the last refusal.
const OVERLOAD_DUMP_TIMEOUT: Duration = Duration::from_secs(4);
