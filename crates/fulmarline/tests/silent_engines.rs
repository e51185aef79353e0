//! Engines that fall silent and go on, and those that stay silent.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpClient, Request};
use serde_json::{Value, json};
use standin::{DeterministicResponse, EngineFaults, FleetPlan, ProcessFleet};

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

/// Guards against attempts that keep their engines busy after the caller of a silent stream has left.
#[test]
fn a_caller_who_leaves_a_silent_stream_cancels_both_attempts() {
    let fleet = support::start_serving_fleet("silent-left", support::single_zone_plan);
    for engine in fleet.engines.values() {
        engine.set_faults(paused());
    }
    let body =
        json!({ "model": "demo", "prompt": "guide", "max_tokens": TOKEN_COUNT, "stream": true });
    let request = Request::post("/v1/completions")
        .header("authorization", "Bearer token-north")
        .body(httpio::full(body.to_string()))
        .unwrap();
    let entry: SocketAddr = fleet.callers()[0];
    let client = HttpClient::new(None, WAIT_TIMEOUT);
    let response = fleet.runtime().block_on(client.send(entry, request));
    fleet
        .wait_for("a second attempt", WAIT_TIMEOUT, |it| {
            (runs(it, "guide") == (2, 0)).then_some(())
        })
        .unwrap();
    drop(response);
    fleet
        .wait_for("the end of both attempts", WAIT_TIMEOUT, |it| {
            (runs(it, "guide") == (2, 2)).then_some(())
        })
        .unwrap();
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
