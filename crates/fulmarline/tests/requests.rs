//! Requests while processes are killed, frozen, restarted and stopped on purpose.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpClient, Request};
use model::{ResultCode, RunStatus};
use serde_json::{Value, json};
use standin::{
    DeterministicAnswer, EngineOptions, FleetPlan, ProcessFleet, ServiceFaults, TableFaults,
    TargetPlan,
};

/// What a caller got.
#[derive(Debug)]
struct CallerAnswer {
    result: String,
    retry_after: Option<String>,
    body: String,
}

/// Longest wait for anything; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Starts a call that ends with an answer or with nothing when the entry goes away.
fn call(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Value,
) -> JoinHandle<Option<CallerAnswer>> {
    let mut request = Request::post(path).header("authorization", "Bearer token-north");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(httpio::full(body.to_string())).unwrap();
    let handle = fleet.runtime().handle().clone();
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, PATIENCE);
            let reply = client.send(entry, request).await.ok()?;
            let response = reply.read(&client, 1 << 20, PATIENCE).await.ok()?;
            let header = |name: &str| {
                let value = response.headers().get(name)?;
                value.to_str().ok().map(str::to_owned)
            };
            Some(CallerAnswer {
                result: header(model::RESULT_HEADER).unwrap_or_default(),
                retry_after: header("retry-after"),
                body: String::from_utf8_lossy(response.body()).into_owned(),
            })
        })
    })
}

fn order(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    key: &str,
    deadline_ms: &str,
) -> JoinHandle<Option<CallerAnswer>> {
    let headers = [
        ("idempotency-key", key),
        (model::DEADLINE_HEADER, deadline_ms),
    ];
    call(
        fleet,
        entry,
        "/services/orders/reserve",
        &headers,
        json!({}),
    )
}

fn stream(
    fleet: &ProcessFleet,
    entry: SocketAddr,
    prompt: &str,
    tokens: usize,
) -> JoinHandle<Option<CallerAnswer>> {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": tokens, "stream": true });
    call(fleet, entry, "/v1/completions", &[], body)
}

fn result_of(answer: JoinHandle<Option<CallerAnswer>>) -> String {
    answer.join().unwrap().unwrap().result
}

/// Asks again until the answer is not that the order is in progress.
fn settled_repeat(fleet: &ProcessFleet, entry: SocketAddr, key: &str) -> String {
    fleet
        .wait_for("a settled order", PATIENCE, |fleet| {
            let result = result_of(order(fleet, entry, key, "5000"));
            (result != "300 order-in-progress").then_some(result)
        })
        .unwrap()
}

fn runs_of(fleet: &ProcessFleet, key: &str) -> u32 {
    let services = fleet.services.values();
    services.map(|it| it.run_count(key).started).sum()
}

/// Two entries, two engines and one order service.
fn two_entries(dir: &Path) -> FleetPlan {
    let mut plan = support::small_plan(dir);
    let mut second = plan.entries[0].clone();
    second.name = "entry-2".to_owned();
    plan.entries.push(second);
    plan
}

/// Returns the text of a stream and whether it ended as a whole one.
fn streamed_text(answer: &CallerAnswer) -> (String, bool) {
    let events: Vec<&str> = answer.body.split("\n\n").collect();
    let text = events
        .iter()
        .filter_map(|it| serde_json::from_str::<Value>(it.strip_prefix("data: ")?).ok())
        .filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    (text, answer.body.ends_with("data: [DONE]\n\n"))
}

fn expected_text(fleet: &ProcessFleet, prompt: &str, tokens: usize) -> String {
    let script = DeterministicAnswer::new(fleet.manifests["v1"].version(), prompt);
    (0..tokens).map(|it| script.token(it)).collect()
}

#[test]
fn stream_goes_on_where_the_killed_replica_stopped() {
    let mut fleet = support::served_fleet("stream-resume", support::small_plan);
    let entry = fleet.callers()[0];
    let answers: Vec<_> = (0..6)
        .map(|it| stream(&fleet, entry, &format!("guide {it}"), 100))
        .collect();
    fleet
        .wait_for("tokens of both engines", PATIENCE, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("model-1").kill();

    for (idx, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 100);
        assert_eq!(streamed_text(&answer), (expected, true), "stream {idx}");
    }
}

#[test]
fn stream_of_a_frozen_agent_goes_on_elsewhere_without_a_doubled_token() {
    let mut fleet = support::served_fleet("stream-frozen", support::small_plan);
    let entry = fleet.callers()[0];
    let answers: Vec<_> = (0..4)
        .map(|it| stream(&fleet, entry, &format!("guide {it}"), 300))
        .collect();
    fleet
        .wait_for("tokens of both engines", PATIENCE, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("model-1").suspend();
    std::thread::sleep(Duration::from_millis(3_500));
    fleet.process("model-1").resume();

    for (idx, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 300);
        assert_eq!(streamed_text(&answer), (expected, true), "stream {idx}");
    }
}

#[test]
fn repeats_through_both_entries_at_once_run_once() {
    let fleet = support::served_fleet("repeat-both", two_entries);
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 200,
        ..ServiceFaults::default()
    });
    let callers = fleet.callers();
    let answers: Vec<_> = (0..8)
        .map(|it| order(&fleet, callers[it % 2], "key-1", "5000"))
        .collect();
    let mut results: Vec<_> = answers.into_iter().map(result_of).collect();
    results.retain(|it| it != "300 order-in-progress");

    assert_eq!(runs_of(&fleet, "key-1"), 1);
    assert_eq!(results.iter().filter(|it| *it == "0 ok").count(), 1);
    assert_eq!(settled_repeat(&fleet, callers[1], "key-1"), "1 replayed");
    assert_eq!(runs_of(&fleet, "key-1"), 1);
}

#[test]
fn entry_killed_between_claim_and_dispatch_lets_a_repeat_run_the_order() {
    let mut fleet = support::served_fleet("killed-before-dispatch", two_entries);
    let callers = fleet.callers();
    // The claim is applied, and its reply comes after the entry's death.
    fleet.table.set_faults(TableFaults {
        delay_ms: 1_000,
        ..TableFaults::default()
    });
    let first = order(&fleet, callers[0], "key-1", "500");
    std::thread::sleep(Duration::from_millis(300));
    fleet.process("entry-1").kill();
    assert!(first.join().unwrap().is_none());
    std::thread::sleep(Duration::from_millis(1_000));
    fleet.table.set_faults(TableFaults::default());

    let result = settled_repeat(&fleet, callers[1], "key-1");
    assert_eq!(result, "0 ok");
    assert_eq!(runs_of(&fleet, "key-1"), 1);
}

#[test]
fn entry_killed_between_run_and_record_leaves_an_unknown_order() {
    let mut fleet = support::served_fleet("killed-before-record", two_entries);
    let callers = fleet.callers();
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    });
    let first = order(&fleet, callers[0], "key-1", "1000");
    fleet
        .wait_for("the run", PATIENCE, |it| {
            (runs_of(it, "key-1") == 1).then_some(())
        })
        .unwrap();
    fleet.process("entry-1").kill();
    assert!(first.join().unwrap().is_none());

    let result = settled_repeat(&fleet, callers[1], "key-1");
    assert_eq!(result, "301 order-unknown");
    assert_eq!(runs_of(&fleet, "key-1"), 1);
}

#[test]
fn restarted_agent_promises_nothing_about_the_order_before() {
    let mut fleet = support::served_fleet("agent-restarted", support::small_plan);
    let entry = fleet.callers()[0];
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 2_000,
        ..ServiceFaults::default()
    });
    let first = order(&fleet, entry, "key-1", "20000");
    fleet
        .wait_for("the run", PATIENCE, |it| {
            (runs_of(it, "key-1") == 1).then_some(())
        })
        .unwrap();
    fleet.process("orders-1").kill();
    assert_eq!(result_of(first), "301 order-unknown");
    fleet.start_process("orders-1").unwrap();
    fleet
        .wait_for("the agent", PATIENCE, |it| {
            it.entries_see_targets(3).then_some(())
        })
        .unwrap();

    assert_eq!(settled_repeat(&fleet, entry, "key-1"), "301 order-unknown");
    assert_eq!(runs_of(&fleet, "key-1"), 1);
}

#[test]
fn order_at_a_frozen_agent_is_unknown_and_runs_at_most_once() {
    let mut fleet = support::served_fleet("agent-frozen", support::small_plan);
    let entry = fleet.callers()[0];
    fleet.process("orders-1").suspend();
    let first = result_of(order(&fleet, entry, "key-1", "500"));
    fleet.process("orders-1").resume();

    assert_eq!(first, "303 deadline-unknown");
    let repeat = settled_repeat(&fleet, entry, "key-1");
    let runs = runs_of(&fleet, "key-1");
    let is_true = match repeat.as_str() {
        "0 ok" | "1 replayed" => runs == 1,
        _ => runs <= 1,
    };
    assert!(is_true, "{repeat}, {runs} runs");
}

#[test]
fn planned_stop_of_entry_and_agent_cuts_nothing() {
    let mut fleet = support::served_fleet("planned-stop", two_entries);
    let entry = fleet.callers()[0];
    let answers: Vec<_> = (0..6)
        .map(|it| stream(&fleet, entry, &format!("guide {it}"), 200))
        .collect();
    fleet
        .wait_for("tokens of both engines", PATIENCE, |it| {
            it.engines.values().all(|it| it.tokens() > 10).then_some(())
        })
        .unwrap();
    fleet.process("entry-1").terminate();
    fleet.process("model-1").terminate();

    for (idx, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().unwrap().unwrap();
        let expected = expected_text(&fleet, &format!("guide {idx}"), 200);
        assert_eq!(streamed_text(&answer), (expected, true), "stream {idx}");
    }
    for name in ["entry-1", "model-1"] {
        let status = fleet.process(name).wait(PATIENCE).unwrap();
        assert!(status.success(), "{name}: {status}");
    }
}

#[test]
fn overload_is_told_with_start_and_cause_and_refusals_did_not_run() {
    let fleet = support::served_fleet("overload", |dir| {
        let mut plan = support::small_plan(dir);
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
    let answers: Vec<_> = (0..40)
        .map(|it| {
            let prompt = format!("flood {it}");
            let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": 40 });
            let answer = call(&fleet, entry, "/v1/completions", &headers, body);
            (prompt, answer)
        })
        .collect();
    let mut refused = 0;
    for (prompt, answer) in answers {
        let answer = answer.join().unwrap().unwrap();
        let code = ResultCode::from_header(&answer.result).unwrap();
        if code.run_status() != RunStatus::NotRun {
            continue;
        }
        refused += 1;
        let body: Value = serde_json::from_str(&answer.body).unwrap();
        assert!(body["overloaded_ms"].is_u64(), "{body}");
        assert!(body["overload_cause"].is_string(), "{body}");
        assert!(answer.retry_after.is_some());
        let runs = fleet
            .engines
            .values()
            .map(|it| it.runs_by_prompt().get(&prompt).started);
        assert_eq!(runs.sum::<u32>(), 0, "{prompt}: {}", answer.result);
    }
    assert!(refused > 0);
    // The dump shows the control thread's last step, which may be older than the refusal just read.
    let own = fleet
        .wait_for("the overload in the dump", OVERLOAD_SHOWN, |it| {
            let state = it.state("entry-1").ok()?;
            let own = state["own"].clone();
            own["overloaded_ms"].is_u64().then_some(own)
        })
        .unwrap();
    assert!(own["overload_cause"].is_string(), "{own}");
}

/// Longest wait for a state that the entry keeps for five seconds after the last refusal.
const OVERLOAD_SHOWN: Duration = Duration::from_secs(4);
