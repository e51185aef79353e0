//! Responses of engines and services that break off, in particular those with neither a length nor chunks.

mod support;

use httpio::{Method, Request};
use serde_json::{Value, json};
use standin::{DeterministicResponse, EngineFaults, ProcessFleet, ServiceFaults};
use support::CallResponse;

/// Number of requests with the same fault; several, because the entry chooses the target.
const REQUEST_COUNT: usize = 6;

/// Number of generated tokens, more than a truncated response has.
const TOKEN_COUNT: usize = 12;

fn completion(prompt: &str) -> Request<httpio::HttpBody> {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": TOKEN_COUNT });
    Request::post("/v1/completions")
        .body(httpio::full(body.to_string()))
        .unwrap()
}

fn expected_text(fleet: &ProcessFleet, prompt: &str) -> String {
    let response = DeterministicResponse::new(fleet.manifests["v1"].version(), prompt);
    (0..TOKEN_COUNT).map(|it| response.token(it)).collect()
}

/// Makes one engine break off its next responses, which have neither a length nor chunks.
fn break_off_responses(fleet: &ProcessFleet, count: u32) {
    fleet.engines["model-1"].set_faults(EngineFaults {
        cut_next: count,
        unframed: true,
        ..EngineFaults::default()
    });
}

fn call_service(fleet: &ProcessFleet, method: &Method, key: &str) -> CallResponse {
    let request = Request::builder()
        .method(method)
        .uri("/services/orders/reserve")
        .header("idempotency-key", key)
        .body(httpio::full("{}"))
        .unwrap();
    support::send(fleet, 0, request)
}

/// Guards against streams that count as complete because their engine's connection ended in order.
#[test]
fn a_stream_that_breaks_off_without_a_marked_end_is_resumed() {
    let fleet = support::start_serving_fleet("broken-stream", support::single_zone_plan);
    break_off_responses(&fleet, 3);
    for index in 0..REQUEST_COUNT {
        let prompt = format!("stream {index}");
        let body = support::open_stream(&fleet, 0, &prompt, TOKEN_COUNT)
            .join()
            .unwrap();
        let text: String = body
            .split("\n\n")
            .filter_map(|it| serde_json::from_str::<Value>(it.strip_prefix("data: ")?).ok())
            .filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned))
            .collect();
        assert_eq!(text, expected_text(&fleet, &prompt));
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    }
}

/// Guards against half a completion that reaches the caller with the status 200, because its engine crashed and
/// nothing but the end of the connection marked its end.
#[test]
fn a_completion_that_breaks_off_without_a_marked_end_is_repeated() {
    let fleet = support::start_serving_fleet("broken-completion", support::single_zone_plan);
    break_off_responses(&fleet, 3);
    for index in 0..REQUEST_COUNT {
        let prompt = format!("completion {index}");
        let response = support::send(&fleet, 0, completion(&prompt));
        assert_eq!(response.status, 200, "{response:?}");
        let text = response.body["choices"][0]["text"].as_str();
        assert_eq!(text, Some(&*expected_text(&fleet, &prompt)), "{response:?}");
    }
}

/// Guards against a truncated outcome that is recorded for an order and returned to its repeats.
#[test]
fn an_outcome_that_breaks_off_is_not_recorded() {
    let fleet = support::start_serving_fleet("broken-outcome", support::single_zone_plan);
    for unframed in [false, true] {
        fleet.services["orders-1"].set_faults(ServiceFaults {
            truncate_next: 1,
            unframed,
            ..ServiceFaults::default()
        });
        let broken = format!("broken-{unframed}");
        for _ in 0..2 {
            let response = call_service(&fleet, &Method::POST, &broken);
            assert_eq!(response.result, "301 order-unknown", "{response:?}");
        }
        assert_eq!(fleet.services["orders-1"].run_count(&broken).started, 1);

        let complete = format!("complete-{unframed}");
        let first = call_service(&fleet, &Method::POST, &complete);
        let repeat = call_service(&fleet, &Method::POST, &complete);
        assert_eq!((&*first.result, &*repeat.result), ("0 ok", "1 replayed"));
        assert_eq!(first.body["key"], json!(complete));
        assert_eq!(first.body, repeat.body);
    }
}

/// Guards against half a response to a lookup that reaches the caller with the status 200.
#[test]
fn a_lookup_that_breaks_off_is_not_complete() {
    let fleet = support::start_serving_fleet("broken-lookup", support::single_zone_plan);
    for unframed in [false, true] {
        fleet.services["orders-1"].set_faults(ServiceFaults {
            truncate_next: 1,
            unframed,
            ..ServiceFaults::default()
        });
        let broken = call_service(&fleet, &Method::GET, "lookup");
        assert_eq!(broken.status, 502, "{broken:?}");
        let complete = call_service(&fleet, &Method::GET, "lookup");
        assert_eq!(
            (complete.status, &complete.body["key"]),
            (200, &json!("lookup"))
        );
    }
}
