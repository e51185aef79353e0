//! What the integration tests share.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod raw_http;

use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpBody, HttpClient, Request, Response};
use serde_json::{Value, json};
use standin::{FleetPlan, ProcessFleet};

/// One answer of an entry.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    /// The value of the result header.
    pub result: String,
    pub body: Value,
}

/// Longest wait for anything; far above what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Plans one entry, two engines and one order service.
pub fn small_plan(dir: &Path) -> FleetPlan {
    plan(dir, 1)
}

/// Plans `zones` entries with two engines each and one order service.
pub fn plan(dir: &Path, zones: usize) -> FleetPlan {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let mut plan = FleetPlan::uniform(binary, dir.to_owned(), zones, 2);
    plan.weight_bytes = 1 << 20;
    plan.chunk_bytes = 64 << 10;
    plan.add_service("orders-1", "orders", 0);
    plan
}

/// Starts a fleet, rolls `v1` out and waits until every target is open.
pub fn served_fleet(name: &str, plan: impl FnOnce(&Path) -> FleetPlan) -> ProcessFleet {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let plan = plan(&dir);
    let targets = plan.agents.len();
    let fleet = ProcessFleet::start(plan).unwrap();
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "rollout-1", PATIENCE)
        .unwrap();
    fleet
        .wait_for("v1 on every engine", PATIENCE, |it| {
            it.all_engines_serve("v1", &[]).then_some(())
        })
        .unwrap();
    fleet
        .wait_for("open targets", PATIENCE, |it| {
            it.entries_see_targets(targets).then_some(())
        })
        .unwrap();
    fleet
}

/// Asks for an answer that is not streamed.
pub fn complete(fleet: &ProcessFleet, entry: usize, prompt: &str, tokens: usize) -> CallAnswer {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": tokens });
    let request = Request::post("/v1/completions").body(httpio::full(body.to_string()));
    send(fleet, entry, request.unwrap())
}

/// Sends an order under `key`.
pub fn order(fleet: &ProcessFleet, entry: usize, path: &str, key: &str) -> CallAnswer {
    send(fleet, entry, order_request(path, key))
}

/// Sends an order again for as long as the answer is that it is in progress.
pub fn order_until_settled(
    fleet: &ProcessFleet,
    entry: usize,
    path: &str,
    key: &str,
) -> CallAnswer {
    let settled = fleet.wait_for("a settled order", PATIENCE, |fleet| {
        let answer = order(fleet, entry, path, key);
        (answer.result != "300 order-in-progress").then_some(answer)
    });
    settled.unwrap()
}

/// Sends an order from a thread of its own; its answer may be lost.
pub fn start_order(
    fleet: &ProcessFleet,
    entry: usize,
    path: &str,
    key: &str,
) -> JoinHandle<Option<u16>> {
    let address = fleet.callers()[entry];
    let handle = fleet.runtime().handle().clone();
    let mut request = authorized(order_request(path, key));
    // A claim without an outcome is settled once its deadline is over.
    let deadline = httpio::header::HeaderValue::from_static("5000");
    request
        .headers_mut()
        .insert(model::DEADLINE_HEADER, deadline);
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, PATIENCE);
            let reply = client.send(address, request).await.ok()?;
            Some(reply.response.status().as_u16())
        })
    })
}

fn order_request(path: &str, key: &str) -> Request<HttpBody> {
    Request::post(format!("/services/orders/{path}"))
        .header("idempotency-key", key)
        .body(httpio::full("{}"))
        .unwrap()
}

/// Opens a stream and collects its text, up to its end or the end of the connection.
pub fn open_stream(
    fleet: &ProcessFleet,
    entry: usize,
    prompt: &str,
    tokens: usize,
) -> JoinHandle<String> {
    let address = fleet.callers()[entry];
    let handle = fleet.runtime().handle().clone();
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": tokens, "stream": true });
    let request = Request::post("/v1/completions").body(httpio::full(body.to_string()));
    let request = authorized(request.unwrap());
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, PATIENCE);
            let reply = client.send(address, request).await.unwrap();
            let (response, _sender, _) = reply.into_parts();
            read_text(response).await
        })
    })
}

async fn read_text(response: Response<httpio::Incoming>) -> String {
    use http_body_util::BodyExt;
    let mut body = response.into_body();
    let mut text = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            text.extend_from_slice(&data);
        }
    }
    String::from_utf8(text).unwrap()
}

fn authorized(mut request: Request<HttpBody>) -> Request<HttpBody> {
    let token = httpio::header::HeaderValue::from_static("Bearer token-north");
    request.headers_mut().insert("authorization", token);
    request
}

pub fn send(fleet: &ProcessFleet, entry: usize, request: Request<HttpBody>) -> CallAnswer {
    let address = fleet.callers()[entry];
    fleet.runtime().block_on(async {
        let client = HttpClient::new(None, PATIENCE);
        let reply = client.send(address, authorized(request)).await.unwrap();
        let response = reply.read(&client, 1 << 20, PATIENCE).await.unwrap();
        let result = response.headers().get(model::RESULT_HEADER);
        CallAnswer {
            status: response.status().as_u16(),
            result: result.map_or_else(String::new, |it| it.to_str().unwrap().to_owned()),
            body: serde_json::from_slice(response.body()).unwrap_or(Value::Null),
        }
    })
}
