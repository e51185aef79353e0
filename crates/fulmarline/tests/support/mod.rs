//! Helpers that the integration tests share.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

pub mod raw_http;
pub mod response_proxy;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

use httpio::{HttpBody, HttpClient, Method, Request, Response};
use serde_json::{Value, json};
use standin::{FleetPlan, ProcessFleet};

/// Response of an entry.
#[derive(Debug)]
pub struct CallResponse {
    pub status: u16,
    /// The value of the result header.
    pub result: String,
    pub body: Value,
}

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Plans a fleet with one entry, two engines and one order service.
pub fn single_zone_plan(dir: &Path) -> FleetPlan {
    plan(dir, 1)
}

/// Plans a fleet with `zone_count` zones, each with one entry and two engines, and one order service.
pub fn plan(dir: &Path, zone_count: usize) -> FleetPlan {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let mut plan = FleetPlan::uniform(binary, dir.to_owned(), zone_count, 2);
    plan.weight_bytes = 1 << 20;
    plan.chunk_bytes = 64 << 10;
    plan.add_service("orders-1", "orders", 0);
    plan
}

/// Starts a fleet, rolls out `v1` and waits until every target accepts requests.
pub fn start_serving_fleet(name: &str, plan: impl FnOnce(&Path) -> FleetPlan) -> ProcessFleet {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let plan = plan(&dir);
    let fleet = ProcessFleet::start(plan).unwrap();
    serve_first_version(&fleet);
    fleet
}

/// Starts a fleet whose agents reach their engines and services through the proxies that `start_proxy` starts, and waits until
/// every target accepts requests.
pub fn start_proxied_fleet(
    plan: FleetPlan,
    start_proxy: impl Fn(SocketAddr) -> SocketAddr,
) -> ProcessFleet {
    let dir = plan.dir.clone();
    let mut fleet = ProcessFleet::prepare(plan).unwrap();
    let engines = fleet.engines.iter().map(|it| (it.0, it.1.address()));
    let services = fleet.services.iter().map(|it| (it.0, it.1.address()));
    for (host, address) in engines.chain(services) {
        let file = dir.join(format!("{host}.jsonc"));
        let settings = std::fs::read_to_string(&file).unwrap();
        let proxy = start_proxy(address).to_string();
        let proxied = settings.replace(&address.to_string(), &proxy);
        assert_ne!(settings, proxied, "{settings}");
        std::fs::write(&file, proxied).unwrap();
    }
    for process in fleet.process_names() {
        fleet.start_process(&process).unwrap();
    }
    serve_first_version(&fleet);
    fleet
}

/// Returns a request to the order service, with the idempotency key `key` if there is one.
pub fn service_request(method: Method, path: &str, key: Option<&str>) -> Request<HttpBody> {
    let uri = format!("/services/orders/{path}");
    let mut builder = Request::builder().method(method).uri(uri);
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(httpio::full("{}")).unwrap()
}

/// Returns the text of the tokens in the events of a completion.
pub fn streamed_text(body: &str) -> String {
    let events = body.split("\n\n");
    let events =
        events.filter_map(|it| serde_json::from_str::<Value>(it.strip_prefix("data: ")?).ok());
    let texts = events.filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned));
    texts.collect()
}

/// Rolls out `v1` and waits until every target accepts requests.
pub fn serve_first_version(fleet: &ProcessFleet) {
    let target_count = fleet.plan().agents.len();
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "rollout-1", WAIT_TIMEOUT)
        .unwrap();
    fleet
        .wait_for("v1 on every engine", WAIT_TIMEOUT, |it| {
            it.all_engines_serve("v1", &[]).then_some(())
        })
        .unwrap();
    fleet
        .wait_for("open targets", WAIT_TIMEOUT, |it| {
            it.entries_see_targets(target_count).then_some(())
        })
        .unwrap();
}

/// Sends a completion request whose response is not streamed.
pub fn send_completion(
    fleet: &ProcessFleet,
    entry: usize,
    prompt: &str,
    max_tokens: usize,
) -> CallResponse {
    let body = json!({ "model": "demo", "prompt": prompt, "max_tokens": max_tokens });
    let request = Request::post("/v1/completions").body(httpio::full(body.to_string()));
    send(fleet, entry, request.unwrap())
}

/// Sends an order with the idempotency key `key`.
pub fn send_order(fleet: &ProcessFleet, entry: usize, path: &str, key: &str) -> CallResponse {
    send(fleet, entry, order_request(path, key))
}

/// Sends an order repeatedly until the response no longer reports that it is in progress.
pub fn repeat_until_settled(
    fleet: &ProcessFleet,
    entry: usize,
    path: &str,
    key: &str,
) -> CallResponse {
    let settled_response = fleet.wait_for("a settled order", WAIT_TIMEOUT, |fleet| {
        let response = send_order(fleet, entry, path, key);
        (response.result != "300 order-in-progress").then_some(response)
    });
    settled_response.unwrap()
}

/// Sends an order from a separate thread. Returns the status, or nothing if the response is lost.
pub fn start_order(
    fleet: &ProcessFleet,
    entry: usize,
    path: &str,
    key: &str,
) -> JoinHandle<Option<u16>> {
    let address = fleet.callers()[entry];
    let handle = fleet.runtime().handle().clone();
    let mut request = with_authorization(order_request(path, key));
    // An order that was claimed but has no recorded outcome is settled only after its deadline has passed.
    let deadline = httpio::header::HeaderValue::from_static("5000");
    request
        .headers_mut()
        .insert(model::DEADLINE_HEADER, deadline);
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, WAIT_TIMEOUT);
            let pooled_response = client.send(address, request).await.ok()?;
            Some(pooled_response.response.status().as_u16())
        })
    })
}

fn order_request(path: &str, key: &str) -> Request<HttpBody> {
    Request::post(format!("/services/orders/{path}"))
        .header("idempotency-key", key)
        .body(httpio::full("{}"))
        .unwrap()
}

/// Opens a stream and collects its text until the stream ends or the connection closes.
pub fn open_stream(
    fleet: &ProcessFleet,
    entry: usize,
    prompt: &str,
    max_tokens: usize,
) -> JoinHandle<String> {
    let address = fleet.callers()[entry];
    let handle = fleet.runtime().handle().clone();
    let body =
        json!({ "model": "demo", "prompt": prompt, "max_tokens": max_tokens, "stream": true });
    let request = Request::post("/v1/completions").body(httpio::full(body.to_string()));
    let request = with_authorization(request.unwrap());
    std::thread::spawn(move || {
        handle.block_on(async {
            let client = HttpClient::new(None, WAIT_TIMEOUT);
            let pooled_response = client.send(address, request).await.unwrap();
            let (response, _sender, _) = pooled_response.into_parts();
            read_body_text(response).await
        })
    })
}

async fn read_body_text(response: Response<httpio::Incoming>) -> String {
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

/// Adds a valid token.
fn with_authorization(mut request: Request<HttpBody>) -> Request<HttpBody> {
    let token = httpio::header::HeaderValue::from_static("Bearer token-north");
    request.headers_mut().insert("authorization", token);
    request
}

/// Sends a request to an entry and reads the response.
pub fn send(fleet: &ProcessFleet, entry: usize, request: Request<HttpBody>) -> CallResponse {
    let response = send_for_text(fleet, entry, request);
    let result = response.headers().get(model::RESULT_HEADER);
    CallResponse {
        status: response.status().as_u16(),
        result: result.map_or_else(String::new, |it| it.to_str().unwrap().to_owned()),
        body: serde_json::from_str(response.body()).unwrap_or(Value::Null),
    }
}

/// Sends a request to an entry and reads the response, whose body need not be JSON.
pub fn send_for_text(
    fleet: &ProcessFleet,
    entry: usize,
    request: Request<HttpBody>,
) -> Response<String> {
    let address = fleet.callers()[entry];
    fleet.runtime().block_on(async {
        let client = HttpClient::new(None, WAIT_TIMEOUT);
        let pooled_response = client
            .send(address, with_authorization(request))
            .await
            .unwrap();
        let response = pooled_response
            .read(&client, 1 << 20, WAIT_TIMEOUT)
            .await
            .unwrap();
        response.map(|it| String::from_utf8_lossy(&it).into_owned())
    })
}
