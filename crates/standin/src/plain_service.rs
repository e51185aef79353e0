//! A plain service that stands beside the engines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answers;
use crate::run_counters::{RunCount, RunCounters};
use crate::standin_runtime::{self, StandinRuntime};

/// A service that counts how often it ran each call, whoever asks and however often.
///
/// It does not recognise repeats: a doubled order is a doubled order.
#[derive(Clone, Debug)]
pub struct PlainService {
    shared: Arc<Mutex<ServiceInner>>,
    server: ServerHandle,
}

/// What goes wrong at a service; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time that a run takes, in milliseconds.
    pub delay_ms: u64,
    /// Runs whose answers are lost, from the next one on.
    pub lose_next: u32,
    /// Whether only answers to calls with an idempotency key are lost.
    pub lose_keyed_only: bool,
    /// Whether every call is refused with 503 before it runs.
    pub refuse: bool,
}

#[derive(Debug)]
struct ServiceInner {
    name: String,
    faults: ServiceFaults,
    by_key: RunCounters,
    by_request: RunCounters,
    by_path: RunCounters,
}

/// What a run answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Name of the service.
    pub service: String,
    /// The idempotency key that the call carried.
    pub key: Option<String>,
    /// How often the service had run this key (or this path, without a key), with this run.
    pub run: u32,
    /// Path and query of the call.
    pub path: String,
    /// Number of body bytes that arrived.
    pub body_bytes: usize,
}

/// What a call is counted under.
#[derive(Clone, Debug)]
struct CallKeys {
    key: Option<String>,
    request: Option<String>,
    path: String,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        name: &str,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Mutex::new(ServiceInner {
            name: name.to_owned(),
            faults: ServiceFaults::default(),
            by_key: RunCounters::default(),
            by_request: RunCounters::default(),
            by_path: RunCounters::default(),
        }));
        let served = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = served.clone();
            async move { answer(shared, request).await }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Returns the runs by idempotency key.
    pub fn runs_by_key(&self) -> RunCounters {
        lock(&self.shared).by_key.clone()
    }

    /// Returns the runs by request id.
    pub fn runs_by_request(&self) -> RunCounters {
        lock(&self.shared).by_request.clone()
    }

    /// Returns the runs by path and query, which tells lookups apart that carry no key.
    pub fn runs_by_path(&self) -> RunCounters {
        lock(&self.shared).by_path.clone()
    }

    /// Returns how often `key` ran.
    pub fn run_count(&self, key: &str) -> RunCount {
        lock(&self.shared).by_key.get(key)
    }
}

async fn answer(
    shared: Arc<Mutex<ServiceInner>>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, answers::FAULTS_PATH) => {
            return match answers::read_json(request).await {
                Ok(faults) => {
                    lock(&shared).faults = faults;
                    answers::json(StatusCode::OK, &json!({}))
                }
                Err(refusal) => *refusal,
            };
        }
        (&Method::GET, answers::COUNTERS_PATH) => {
            let inner = lock(&shared);
            let counters = json!({
                "started": inner.by_path.started(),
                "keys_run_twice": inner.by_key.keys_started_twice(),
            });
            return answers::json(StatusCode::OK, &counters);
        }
        _ => {}
    }
    if lock(&shared).faults.refuse {
        return answers::text(StatusCode::SERVICE_UNAVAILABLE, "the service refuses");
    }
    let keys = CallKeys {
        key: answers::header_text(&request, model::IDEMPOTENCY_HEADER).map(str::to_owned),
        request: answers::header_text(&request, model::REQUEST_ID_HEADER).map(str::to_owned),
        path: request.uri().to_string(),
    };
    let body_bytes = match answers::read_body(request).await {
        Ok(body) => body.len(),
        Err(err) => return answers::text(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    // The work goes on when the caller goes away, as it would behind a real service.
    match tokio::spawn(run(shared, keys, body_bytes)).await {
        Ok(Some(answer)) => answers::json(StatusCode::OK, &answer),
        Ok(None) | Err(_) => answers::lost(),
    }
}

/// Runs one call; nothing is returned when the answer is lost.
async fn run(
    shared: Arc<Mutex<ServiceInner>>,
    keys: CallKeys,
    body_bytes: usize,
) -> Option<ServiceResponse> {
    let (delay, run) = {
        let mut inner = lock(&shared);
        let run = inner.start(&keys, Instant::now());
        (Duration::from_millis(inner.faults.delay_ms), run)
    };
    tokio::time::sleep(delay).await;
    let mut inner = lock(&shared);
    inner.finish(&keys);
    if inner.faults.lose_next > 0 && (keys.key.is_some() || !inner.faults.lose_keyed_only) {
        inner.faults.lose_next -= 1;
        return None;
    }
    Some(ServiceResponse {
        service: inner.name.clone(),
        key: keys.key,
        run,
        path: keys.path,
        body_bytes,
    })
}

impl ServiceInner {
    fn start(&mut self, keys: &CallKeys, now: Instant) -> u32 {
        let by_path = self.by_path.start(&keys.path, now);
        if let Some(request) = &keys.request {
            self.by_request.start(request, now);
        }
        match &keys.key {
            Some(key) => self.by_key.start(key, now),
            None => by_path,
        }
    }

    fn finish(&mut self, keys: &CallKeys) {
        self.by_path.finish(&keys.path);
        if let Some(request) = &keys.request {
            self.by_request.finish(request);
        }
        if let Some(key) = &keys.key {
            self.by_key.finish(key);
        }
    }
}

fn lock(shared: &Mutex<ServiceInner>) -> MutexGuard<'_, ServiceInner> {
    shared
        .lock()
        .expect("no holder of the service's lock panics")
}
