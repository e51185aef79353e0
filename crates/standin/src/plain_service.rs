//! A simulated service that is not a model engine.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::runtime::Handle;

use crate::http_util::{self, PartEnd};
use crate::run_counters::{RunCount, RunCounters};
use crate::standin_runtime::{self, StandinRuntime};

/// An HTTP service that counts the executions of each call.
///
/// It does not deduplicate: a call that arrives twice with the same idempotency key runs twice.
#[derive(Clone, Debug)]
pub struct PlainService {
    shared: Arc<Mutex<ServiceInner>>,
    address: SocketAddr,
    handle: Handle,
}

/// Faults injected into a service. The default is no faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Duration of a run, in milliseconds.
    pub delay_ms: u64,
    /// Number of following runs whose responses are dropped.
    pub lose_next: u32,
    /// Whether `lose_next` applies only to calls with an idempotency key.
    pub lose_keyed_only: bool,
    /// Number of following runs whose responses break off in the middle of their body.
    pub truncate_next: u32,
    /// Whether responses have neither a length nor chunks.
    pub unframed: bool,
    /// Whether every call is rejected with status 503 before it runs.
    pub refuse: bool,
    /// Text that crashes the service when it runs a call whose path contains it.
    pub crash_on: Option<String>,
    /// Requests a second that the service claims to take, as the value of the header in its responses.
    pub named_limit: Option<String>,
}

#[derive(Debug)]
struct ServiceInner {
    name: String,
    faults: ServiceFaults,
    /// The listener; `None` after a crash.
    server: Option<ServerHandle>,
    by_key: RunCounters,
    by_request: RunCounters,
    by_path: RunCounters,
}

/// The response body of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Name of the service.
    pub service: String,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// Number of runs started with this key, or with this path if there is no key, including this one.
    pub run: u32,
    /// URI of the call: path and query.
    pub path: String,
    /// Size of the received body in bytes.
    pub body_bytes: usize,
}

/// The response of a run, and the faults that apply to it.
#[derive(Clone, Debug)]
struct RunResult {
    response: ServiceResponse,
    is_truncated: bool,
    unframed: bool,
    named_limit: Option<String>,
}

/// The keys under which a call is counted.
#[derive(Clone, Debug)]
struct CounterKeys {
    key: Option<String>,
    request: Option<String>,
    path: String,
}

impl PlainService {
    /// Starts a service with the given name.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        name: &str,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Mutex::new(ServiceInner {
            name: name.to_owned(),
            faults: ServiceFaults::default(),
            server: None,
            by_key: RunCounters::default(),
            by_request: RunCounters::default(),
            by_path: RunCounters::default(),
        }));
        let mut service = Self {
            shared,
            address,
            handle: runtime.handle().clone(),
        };
        service.address = service.listen()?;
        Ok(service)
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the service has crashed and was not restarted.
    pub fn has_crashed(&self) -> bool {
        lock(&self.shared).server.is_none()
    }

    /// Restarts a crashed service on the same address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn restart(&self) -> std::io::Result<()> {
        self.listen().map(drop)
    }

    fn listen(&self) -> std::io::Result<SocketAddr> {
        let shared = self.shared.clone();
        let server = standin_runtime::serve(&self.handle, self.address, move |request, _| {
            let shared = shared.clone();
            async move { handle_request(shared, request).await }
        })?;
        let address = server.address();
        lock(&self.shared).server = Some(server);
        Ok(address)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Returns run counters by idempotency key.
    pub fn runs_by_key(&self) -> RunCounters {
        lock(&self.shared).by_key.clone()
    }

    /// Returns run counters by request ID.
    pub fn runs_by_request(&self) -> RunCounters {
        lock(&self.shared).by_request.clone()
    }

    /// Returns run counters by path and query, which distinguish lookups without an idempotency key.
    pub fn runs_by_path(&self) -> RunCounters {
        lock(&self.shared).by_path.clone()
    }

    /// Returns the run counts of the idempotency key `key`.
    pub fn run_count(&self, key: &str) -> RunCount {
        lock(&self.shared).by_key.get(key)
    }
}

async fn handle_request(
    shared: Arc<Mutex<ServiceInner>>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, http_util::FAULTS_PATH) => {
            return match http_util::read_json(request).await {
                Ok(faults) => {
                    lock(&shared).faults = faults;
                    http_util::json(StatusCode::OK, &json!({}))
                }
                Err(error_response) => *error_response,
            };
        }
        (&Method::GET, http_util::COUNTERS_PATH) => {
            let inner = lock(&shared);
            let counters = json!({
                "started": inner.by_path.started(),
                "keys_run_twice": inner.by_key.keys_started_twice(),
            });
            return http_util::json(StatusCode::OK, &counters);
        }
        _ => {}
    }
    if lock(&shared).faults.refuse {
        return http_util::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "the service rejects requests",
        );
    }
    let keys = CounterKeys {
        key: http_util::header_text(&request, model::IDEMPOTENCY_HEADER).map(str::to_owned),
        request: http_util::header_text(&request, model::REQUEST_ID_HEADER).map(str::to_owned),
        path: request.uri().to_string(),
    };
    let body_bytes = match http_util::read_body(request).await {
        Ok(body) => body.len(),
        Err(err) => return http_util::text(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    // A separate task, because a run must complete even if the caller disconnects, as in a real service.
    match tokio::spawn(run_call(shared, keys, body_bytes)).await {
        Ok(Some(response)) => encode_result(&response),
        Ok(None) | Err(_) => http_util::aborted(),
    }
}

/// Runs a call. Returns `None` if the response must be dropped.
async fn run_call(
    shared: Arc<Mutex<ServiceInner>>,
    keys: CounterKeys,
    body_bytes: usize,
) -> Option<RunResult> {
    let (delay, run) = {
        let mut inner = lock(&shared);
        let run = inner.start(&keys, Instant::now());
        (Duration::from_millis(inner.faults.delay_ms), run)
    };
    tokio::time::sleep(delay).await;
    let mut inner = lock(&shared);
    inner.finish(&keys);
    let crash_on = inner.faults.crash_on.as_deref();
    if crash_on.is_some_and(|it| keys.path.contains(it)) {
        if let Some(server) = inner.server.take() {
            server.stop();
        }
        return None;
    }
    if inner.faults.lose_next > 0 && (keys.key.is_some() || !inner.faults.lose_keyed_only) {
        inner.faults.lose_next -= 1;
        return None;
    }
    let is_truncated = inner.faults.truncate_next > 0;
    inner.faults.truncate_next = inner.faults.truncate_next.saturating_sub(1);
    let response = ServiceResponse {
        service: inner.name.clone(),
        key: keys.key,
        run,
        path: keys.path,
        body_bytes,
    };
    Some(RunResult {
        response,
        is_truncated,
        unframed: inner.faults.unframed,
        named_limit: inner.faults.named_limit.clone(),
    })
}

fn encode_result(result: &RunResult) -> Response<HttpBody> {
    let mut response = http_util::json(StatusCode::OK, &result.response);
    let limit = result
        .named_limit
        .as_deref()
        .map(httpio::HeaderValue::from_str);
    if let Some(Ok(limit)) = limit {
        response.headers_mut().insert(model::LIMIT_HEADER, limit);
    }
    if !result.is_truncated && !result.unframed {
        return response;
    }
    let body = serde_json::to_vec(&result.response).expect("a response is always serializable");
    let (sent, end) = match (result.is_truncated, result.unframed) {
        (false, _) => (body.len(), PartEnd::UnframedClose),
        (true, true) => (body.len() / 2, PartEnd::UnframedReset),
        (true, false) => (body.len() / 2, PartEnd::ChunkMissing),
    };
    http_util::with_part_of_body(response, Bytes::from(body).slice(..sent), end)
}

impl ServiceInner {
    fn start(&mut self, keys: &CounterKeys, now: Instant) -> u32 {
        let by_path = self.by_path.start(&keys.path, now);
        if let Some(request) = &keys.request {
            self.by_request.start(request, now);
        }
        match &keys.key {
            Some(key) => self.by_key.start(key, now),
            None => by_path,
        }
    }

    fn finish(&mut self, keys: &CounterKeys) {
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
        .expect("no thread panics while it holds the service lock")
}
