//! Engines and services that fall silent and go on, and those that stay silent.

mod support;

use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpClient, Request};
use serde_json::{Value, json};
use standin::{DeterministicResponse, EngineFaults, FleetPlan, ProcessFleet, ServiceFaults};

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Silence that exceeds the time after which the entry starts another attempt at a stream.
const LONG_SILENCE: Duration = Duration::from_millis(4_500);

/// Number of generated tokens, which an engine sends within 2 s.
const TOKEN_COUNT: usize = 100;

/// Plans a fleet with one entry, one engine and one order service.
fn one_engine_plan(dir: &Path) -> FleetPlan {
    let mut plan = support::single_zone_plan(dir);
    plan.agents.retain(|it| it.name != "model-2");
    plan
}

fn paused() -> EngineFaults {
    EngineFaults {
        pause_tokens: true,
        ..EngineFaults::default()
    }
}

fn refusing() -> EngineFaults {
    EngineFaults {
        refuse_next: u32::MAX,
        ..EngineFaults::default()
    }
}

/// Starts a stream and waits until an engine has sent some of its tokens. Returns the stream and the engine's name.
fn start_stream(fleet: &ProcessFleet, prompt: &str) -> (JoinHandle<String>, String) {
    let stream = support::open_stream(fleet, 0, prompt, TOKEN_COUNT);
    let name = fleet.wait_for("tokens", WAIT_TIMEOUT, |it| {
        let engine = it.engines.iter().find(|(_, it)| it.tokens() > 10);
        engine.map(|(name, _)| name.clone())
    });
    (stream, name.unwrap())
}

fn other_engine(fleet: &ProcessFleet, name: &str) -> String {
    let other = fleet.engines.keys().find(|it| *it != name);
    other.unwrap().clone()
}

fn assert_complete_stream(fleet: &ProcessFleet, prompt: &str, body: &str) {
    let text: String = body
        .split("\n\n")
        .filter_map(|it| serde_json::from_str::<Value>(it.strip_prefix("data: ")?).ok())
        .filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    assert_eq!(text, expected_text(fleet, prompt, TOKEN_COUNT));
}

fn expected_text(fleet: &ProcessFleet, prompt: &str, token_count: usize) -> String {
    let response = DeterministicResponse::new(fleet.manifests["v1"].version(), prompt);
    (0..token_count).map(|it| response.token(it)).collect()
}

/// Returns how many runs of a prompt all engines have started and cancelled.
fn runs(fleet: &ProcessFleet, prompt: &str) -> (u32, u32) {
    let counts = fleet
        .engines
        .values()
        .map(|it| it.runs_by_prompt().get(prompt));
    counts.fold((0, 0), |(started, cancelled), it| {
        (started + it.started, cancelled + it.cancelled)
    })
}

/// Guards against streams that are cut because their only engine was silent for a few seconds.
#[test]
fn a_stream_outlasts_the_silence_of_its_only_engine() {
    let fleet = support::start_serving_fleet("silent-only-engine", one_engine_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    fleet.engines[&name].set_faults(paused());
    std::thread::sleep(LONG_SILENCE);
    fleet.engines[&name].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    assert_eq!(runs(&fleet, "guide"), (1, 0));
}

/// Guards against streams that are cut because their engine was silent and the other one refused to continue them.
#[test]
fn a_stream_outlasts_the_silence_of_its_engine_if_no_other_engine_continues_it() {
    let fleet = support::start_serving_fleet("silent-first-engine", support::single_zone_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    fleet.engines[&other_engine(&fleet, &name)].set_faults(refusing());
    fleet.engines[&name].set_faults(paused());
    std::thread::sleep(LONG_SILENCE);
    fleet.engines[&name].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    assert_eq!(runs(&fleet, "guide"), (1, 0));
}

/// Guards against streams that are cut because the first engine went on before the second one had sent a token, and
/// against tokens of both.
#[test]
fn a_stream_goes_on_at_the_first_engine_while_the_second_one_is_silent() {
    let fleet = support::start_serving_fleet("silent-engines", support::single_zone_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    for engine in fleet.engines.values() {
        engine.set_faults(paused());
    }
    fleet
        .wait_for("a second attempt", WAIT_TIMEOUT, |it| {
            (runs(it, "guide").0 == 2).then_some(())
        })
        .unwrap();
    fleet.engines[&name].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    fleet
        .wait_for("the end of the second attempt", WAIT_TIMEOUT, |it| {
            (runs(it, "guide") == (2, 1)).then_some(())
        })
        .unwrap();
}

/// Guards against streams that wait for a silent engine although another one can continue them.
#[test]
fn a_stream_is_continued_by_another_engine_if_its_own_stays_silent() {
    let fleet = support::start_serving_fleet("silent-for-good", support::single_zone_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    fleet.engines[&name].set_faults(paused());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    fleet
        .wait_for("the end of the first attempt", WAIT_TIMEOUT, |it| {
            (runs(it, "guide") == (2, 1)).then_some(())
        })
        .unwrap();
}

/// Guards against attempts that keep their engines busy after the caller of a silent request has left.
#[test]
fn a_caller_who_leaves_a_silent_request_cancels_both_attempts() {
    let fleet = support::start_serving_fleet("silent-left", support::single_zone_plan);
    for engine in fleet.engines.values() {
        engine.set_faults(paused());
    }
    for is_streamed in [true, false] {
        let prompt = format!("guide {is_streamed}");
        let body = json!({
            "model": "demo",
            "prompt": prompt,
            "max_tokens": TOKEN_COUNT,
            "stream": is_streamed,
        });
        let request = Request::post("/v1/completions")
            .header("authorization", "Bearer token-north")
            .body(httpio::full(body.to_string()))
            .unwrap();
        let entry = fleet.callers()[0];
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        let handle = fleet.runtime().handle();
        let call = handle.spawn(async move { client.send(entry, request).await });
        fleet
            .wait_for("a second attempt", WAIT_TIMEOUT, |it| {
                (runs(it, &prompt) == (2, 0)).then_some(())
            })
            .unwrap();
        call.abort();
        drop(call);
        fleet
            .wait_for("the end of both attempts", WAIT_TIMEOUT, |it| {
                (runs(it, &prompt) == (2, 2)).then_some(())
            })
            .unwrap();
    }
}

/// Guards against silent streams that are cut because a rollout waits for their engine.
#[test]
fn a_silent_stream_outlasts_a_rollout() {
    let fleet = support::start_serving_fleet("silent-rollout", one_engine_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    fleet.engines[&name].set_faults(paused());
    fleet
        .command_until_accepted("entry-1", "rollout demo v2", "rollout-2", WAIT_TIMEOUT)
        .unwrap();
    std::thread::sleep(LONG_SILENCE);
    fleet.engines[&name].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    fleet
        .wait_for("v2 on every engine", WAIT_TIMEOUT, |it| {
            it.all_engines_serve("v2", &[]).then_some(())
        })
        .unwrap();
    assert_eq!(runs(&fleet, "guide"), (1, 0));
}

/// Guards against requests that are cut because SIGHUP ends the entry or an agent.
#[test]
fn a_silent_stream_outlasts_reloads_of_the_settings() {
    let mut fleet = support::start_serving_fleet("silent-reload", one_engine_plan);
    let (stream, name) = start_stream(&fleet, "guide");
    fleet.engines[&name].set_faults(paused());
    for process in fleet.process_names() {
        fleet.process(&process).reload();
    }
    std::thread::sleep(LONG_SILENCE);
    fleet.engines[&name].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
    for process in fleet.process_names() {
        assert!(fleet.process(&process).is_running(), "{process}");
    }
}

/// Guards against completions without streaming that fail because their engine needs longer than the time after which
/// another attempt starts.
#[test]
fn a_long_completion_is_not_given_up_by_its_only_engine() {
    let fleet = support::start_serving_fleet("long-completion", one_engine_plan);
    let response = support::send_completion(&fleet, 0, "guide", 400);
    assert_eq!(response.status, 200, "{response:?}");
    let text = response.body["choices"][0]["text"].as_str();
    assert_eq!(text, Some(&*expected_text(&fleet, "guide", 400)));
    assert_eq!(runs(&fleet, "guide"), (1, 0));
}

/// Guards against streams that fail because their engine was silent for a few seconds before its response began.
#[test]
fn a_stream_whose_response_begins_late_is_complete() {
    let fleet = support::start_serving_fleet("late-response", one_engine_plan);
    fleet.engines["model-1"].set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let stream = support::open_stream(&fleet, 0, "guide", TOKEN_COUNT);
    std::thread::sleep(Duration::from_millis(6_500));
    fleet.engines["model-1"].set_faults(EngineFaults::default());
    assert_complete_stream(&fleet, "guide", &stream.join().unwrap());
}

/// Guards against requests that wait for an engine which never begins its response although another one can.
#[test]
fn a_request_is_answered_by_another_engine_if_its_own_never_begins() {
    let fleet = support::start_serving_fleet("no-response", support::single_zone_plan);
    fleet.engines["model-1"].set_faults(EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let streams: Vec<_> = (0..4)
        .map(|it| {
            let prompt = format!("guide {it}");
            let stream = support::open_stream(&fleet, 0, &prompt, TOKEN_COUNT);
            (prompt, stream)
        })
        .collect();
    for (prompt, stream) in streams {
        assert_complete_stream(&fleet, &prompt, &stream.join().unwrap());
    }
}

/// Guards against lookups that fail because their only service needs longer than the time after which another attempt
/// starts.
#[test]
fn a_slow_lookup_is_not_given_up_at_its_only_service() {
    let fleet = support::start_serving_fleet("slow-lookup", one_engine_plan);
    fleet.services["orders-1"].set_faults(ServiceFaults {
        delay_ms: 11_500,
        ..ServiceFaults::default()
    });
    let request = Request::get("/services/orders/stock").body(httpio::empty());
    let response = support::send(&fleet, 0, request.unwrap());
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against completions that fail because their first engine begins its response after a second attempt has
/// started, and against second attempts that go on afterwards.
#[test]
fn a_completion_is_answered_by_the_first_engine_while_the_second_one_is_silent() {
    let fleet = support::start_serving_fleet("silent-completions", support::single_zone_plan);
    for engine in fleet.engines.values() {
        engine.set_faults(paused());
    }
    std::thread::scope(|scope| {
        let response = scope.spawn(|| support::send_completion(&fleet, 0, "guide", TOKEN_COUNT));
        let first = fleet.wait_for("the first attempt", WAIT_TIMEOUT, |it| {
            let mut engines = it.engines.iter();
            let engine = engines.find(|(_, it)| it.runs_by_prompt().get("guide").started > 0);
            engine.map(|(name, _)| name.clone())
        });
        fleet
            .wait_for("a second attempt", WAIT_TIMEOUT, |it| {
                (runs(it, "guide") == (2, 0)).then_some(())
            })
            .unwrap();
        fleet.engines[&first.unwrap()].set_faults(EngineFaults::default());
        let response = response.join().unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        let text = response.body["choices"][0]["text"].as_str();
        assert_eq!(text, Some(&*expected_text(&fleet, "guide", TOKEN_COUNT)));
    });
    fleet
        .wait_for("the end of the second attempt", WAIT_TIMEOUT, |it| {
            (runs(it, "guide") == (2, 1)).then_some(())
        })
        .unwrap();
}
