//! The stand-ins conform to `docs/PLATFORM.md`.

use std::net::SocketAddr;
use std::time::Duration;

use httpio::{HttpClient, Request};
use model::{ModelName, VersionLabel};
use serde_json::{Value, json};
use standin::{
    DeterministicResponse, EngineOptions, ModelEngine, StandinRuntime, TableFaults, TableService,
    WeightCatalog, WeightFaults, WeightSource, synthetic_weights,
};

#[test]
fn table_applies_transactions_atomically_and_can_drop_responses() {
    let runtime = StandinRuntime::new(1).unwrap();
    let table = TableService::start(&runtime, any_port()).unwrap();
    let transact = |body: Value| call(&runtime, table.address(), "/table/transact", Some(body));

    let insert = json!({"expect":[{"key":"a","version":null}],"put":[{"key":"a","value":1}]});
    assert_eq!(transact(insert.clone()), Some((200, json!({"version":1}))));
    assert_eq!(transact(insert), Some((409, json!({"key":"a"}))));

    table.set_faults(TableFaults {
        lose_next: 1,
        ..TableFaults::default()
    });
    assert_eq!(transact(json!({"put":[{"key":"b c","value":2}]})), None);
    let row = call(&runtime, table.address(), "/table/row?key=b%20c", None);
    assert_eq!(row, Some((200, json!({"key":"b c","value":2,"version":2}))));

    table.set_faults(TableFaults {
        outage: true,
        ..TableFaults::default()
    });
    assert_eq!(transact(json!({})).map(|it| it.0), Some(503));
    assert_eq!(table.counters().lost, 1);
}

#[test]
fn engine_serves_only_the_version_of_the_loaded_weights() {
    let runtime = StandinRuntime::new(2).unwrap();
    let mut catalog = WeightCatalog::default();
    let model = ModelName::new("m").unwrap();
    let label = VersionLabel::new("v1").unwrap();
    let manifest = catalog.add(model, label, 1000, synthetic_weights(1, 10_500).clone());
    let origin = WeightSource::start(&runtime, any_port(), catalog).unwrap();
    let options = EngineOptions {
        token_interval: Duration::from_millis(1),
        ..EngineOptions::default()
    };
    let engine = ModelEngine::start(&runtime, any_port(), options).unwrap();
    let complete = || {
        let body = json!({"prompt":"hello","max_tokens":3});
        call(&runtime, engine.address(), "/v1/completions", Some(body))
    };
    let load = |fencing: u64| {
        let url = format!("http://{}/weights/m/v1/data", origin.address());
        let order = json!({"manifest":manifest,"weights_url":url,"fencing":fencing,"beside":false});
        call(&runtime, engine.address(), "/engine/load", Some(order)).map(|it| it.0)
    };
    assert_eq!(complete().map(|it| it.0), Some(503));

    origin.set_faults(WeightFaults {
        corrupt_share: 1.0,
        ..WeightFaults::default()
    });
    assert_eq!(load(7), Some(202));
    let corrupt = poll_until_some(|| engine.serving());
    assert_ne!(corrupt, manifest.version());

    origin.set_faults(WeightFaults::default());
    assert_eq!(load(6), Some(409));
    assert_eq!(load(7), Some(202));
    assert_eq!(poll_until_some(|| engine.serving()), manifest.version());
    assert_eq!(origin.served_copies("m", "v1"), 2.0);

    let expected = DeterministicResponse::new(manifest.version(), "hello");
    let text: String = (0..3).map(|it| expected.token(it)).collect();
    let (status, body) = complete().unwrap();
    assert_eq!((status, &body["choices"][0]["text"]), (200, &json!(text)));
    assert_eq!(engine.runs_by_prompt().get("hello").finished, 1);
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends a request and returns the status and JSON body, or `None` if the connection closed without a response.
fn call(
    runtime: &StandinRuntime,
    address: SocketAddr,
    path: &str,
    body: Option<Value>,
) -> Option<(u16, Value)> {
    runtime.block_on(async {
        let client = HttpClient::new(None, Duration::from_secs(5));
        let request = match body {
            Some(body) => Request::post(path).body(httpio::full(body.to_string())),
            None => Request::get(path).body(httpio::empty()),
        };
        let pooled_response = client.send(address, request.unwrap()).await.ok()?;
        let response = pooled_response
            .read(&client, 1 << 20, Duration::from_secs(5))
            .await
            .ok()?;
        let body = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        Some((response.status().as_u16(), body))
    })
}

fn poll_until_some<T>(mut probe: impl FnMut() -> Option<T>) -> T {
    for _ in 0..1000 {
        if let Some(it) = probe() {
            return it;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out");
}
