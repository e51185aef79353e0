//! The shared state of an engine and its HTTP request handlers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode, header};
use model::{FencingNumber, VERSION_HEADER, VersionDigest};
use serde::Deserialize;
use serde_json::json;
use tokio::runtime::Handle;

use crate::engine::batch_queue::BatchQueue;
use crate::engine::engine_inner::{EngineInner, EnginePhase, KvSnapshot, StopReason};
use crate::engine::engine_load::{self, LoadOrder};
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_request::CompletionRequest;
use crate::engine::engine_responses;
use crate::engine::load_history::EngineLoadReport;
use crate::engine::token_stream::{AdmittedRequest, CompletionEnd};
use crate::http_util::{self, PartEnd};
use crate::standin_runtime::{self};

/// The state that all requests of an engine share.
#[derive(Debug)]
pub(crate) struct EngineShared {
    options: EngineOptions,
    queue: BatchQueue,
    inner: Mutex<EngineInner>,
    server: Mutex<Option<ServerHandle>>,
    handle: Handle,
}

#[derive(Debug, Deserialize)]
struct CancelOrder {
    request_id: String,
}

impl EngineShared {
    pub(crate) fn new(options: EngineOptions, handle: Handle) -> Self {
        Self {
            queue: BatchQueue::new(options.max_batch),
            inner: Mutex::new(EngineInner::new(&options)),
            options,
            server: Mutex::new(None),
            handle,
        }
    }

    pub(crate) fn options(&self) -> &EngineOptions {
        &self.options
    }

    pub(crate) fn queue(&self) -> &BatchQueue {
        &self.queue
    }

    pub(crate) fn inner(&self) -> MutexGuard<'_, EngineInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the engine lock")
    }

    pub(crate) fn server(&self) -> MutexGuard<'_, Option<ServerHandle>> {
        self.server
            .lock()
            .expect("no thread panics while it holds the listener lock")
    }

    pub(crate) fn listen(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let engine = self.clone();
        let server = standin_runtime::serve(&self.handle, address, move |request, _| {
            let shared = engine.clone();
            async move { shared.handle_request(request).await }
        })?;
        let address = server.address();
        *self.server() = Some(server);
        Ok(address)
    }

    pub(crate) fn report(&self) -> EngineLoadReport {
        let (in_flight, waiting) = self.queue.occupancy();
        let inner = self.inner();
        let per_stream = self.options.token_interval.as_secs_f64() * inner.faults.slow_factor;
        EngineLoadReport {
            in_flight,
            waiting,
            tokens_per_s: in_flight as f64 / per_stream.max(1e-6),
            kv_used_share: inner.cache.used_share(),
            age_ms: 0,
        }
    }

    async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        if request.uri().path() != http_util::FAULTS_PATH {
            while self.inner().faults.hang {
                tokio::time::sleep(HANG_POLL_INTERVAL).await;
            }
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.handle_completion(request, false).await,
            (&Method::POST, "/v1/chat/completions") => self.handle_completion(request, true).await,
            (&Method::POST, "/engine/cancel") => match http_util::read_json(request).await {
                Ok(CancelOrder { request_id }) => {
                    let cancelled = self.inner().cancel(&request_id);
                    http_util::json(StatusCode::OK, &json!({ "cancelled": cancelled }))
                }
                Err(error_response) => *error_response,
            },
            (&Method::POST, "/engine/load") => match http_util::read_json(request).await {
                Ok(order) => self.start_load(order),
                Err(error_response) => *error_response,
            },
            (&Method::GET, "/engine/state") => self.state_response(),
            (&Method::GET, "/engine/load_report") => {
                let report = self.inner().load_history.published(Instant::now());
                http_util::json(StatusCode::OK, &report)
            }
            (&Method::GET, "/engine/cache_events") => {
                let after = http_util::query_value(&request, "after");
                let after = after.and_then(|it| it.parse().ok()).unwrap_or(0);
                let events = self.inner().cache_log.published(after, Instant::now());
                http_util::json(StatusCode::OK, &json!({ "events": events }))
            }
            (&Method::POST, "/engine/kv") => self.import_kv(request).await,
            (&Method::POST, http_util::FAULTS_PATH) => match http_util::read_json(request).await {
                Ok(faults) => {
                    self.inner().faults = faults;
                    http_util::json(StatusCode::OK, &json!({}))
                }
                Err(error_response) => *error_response,
            },
            (&Method::GET, http_util::COUNTERS_PATH) => self.counters_response(),
            (&Method::GET, path) => match path.strip_prefix("/engine/kv/") {
                Some(request_id) => self.export_kv(request_id),
                None => http_util::text(StatusCode::NOT_FOUND, "unknown path"),
            },
            _ => http_util::text(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    async fn handle_completion(
        self: Arc<Self>,
        request: Request<Incoming>,
        chat: bool,
    ) -> Response<HttpBody> {
        let request = match CompletionRequest::read(request, chat).await {
            Ok(it) => it,
            Err(error_response) => return *error_response,
        };
        let mut admitted = match self.admit(request) {
            Ok(it) => it,
            Err(error_response) => return *error_response,
        };
        let slot = match admitted.wait_for_slot(&self.queue).await {
            Ok(it) => it,
            Err(StopReason::Crashed) => return http_util::aborted(),
            Err(_) => return http_util::text(StatusCode::SERVICE_UNAVAILABLE, "request aborted"),
        };
        if self.must_crash(&admitted.request.prompt) {
            self.crash();
            return http_util::aborted();
        }
        let version = admitted.version;
        if admitted.request.stream {
            let (sender, body) = httpio::stream(STREAM_BUFFER_EVENTS);
            tokio::spawn(admitted.stream(slot, sender));
            let mut response = completion_response(body, "text/event-stream", version);
            if self.inner().faults.unframed {
                // `hyper` sends a body of unknown length without chunks only in HTTP/1.0 responses.
                *response.version_mut() = hyper::Version::HTTP_10;
            }
            return response;
        }
        let mut full_text = String::new();
        let end = admitted
            .generate(|_, text, _| {
                full_text.push_str(&text);
                std::future::ready(true)
            })
            .await;
        drop(slot);
        let unframed = self.inner().faults.unframed;
        let is_truncated = end == CompletionEnd::Truncated && unframed;
        if end != CompletionEnd::Complete && !is_truncated {
            return http_util::aborted();
        }
        let mut body = engine_responses::completion_body(&admitted.request, version, &full_text);
        if is_truncated {
            body.truncate(body.len() / 2);
        } else {
            admitted.finish();
        }
        let response = completion_response(httpio::full(body.clone()), "application/json", version);
        if unframed {
            return http_util::with_part_of_body(response, body, PartEnd::UnframedClose);
        }
        response
    }

    fn must_crash(&self, prompt: &str) -> bool {
        let inner = self.inner();
        let text = inner.faults.crash_on.as_deref();
        text.is_some_and(|it| prompt.contains(it))
    }

    /// Closes all connections and drops the loaded weights, the prefix cache and the fencing number.
    pub(crate) fn crash(&self) {
        if let Some(server) = self.server().take() {
            server.stop();
        }
        let mut inner = self.inner();
        inner.load_generation += 1;
        inner.stop_all(StopReason::Crashed);
        inner.phase = EnginePhase::Empty;
        inner.serving = None;
        inner.fencing = FencingNumber::default();
        inner.cache.clear();
    }

    fn admit(
        self: &Arc<Self>,
        request: CompletionRequest,
    ) -> Result<AdmittedRequest, Box<Response<HttpBody>>> {
        let refuse = |reason| Box::new(http_util::text(StatusCode::SERVICE_UNAVAILABLE, reason));
        let (_, waiting) = self.queue.occupancy();
        let mut inner = self.inner();
        let Some(version) = inner.serving else {
            return Err(refuse("no weights are loaded"));
        };
        if waiting >= self.options.max_waiting {
            return Err(refuse("the request queue is full"));
        }
        if inner.faults.refuse_next > 0 {
            inner.faults.refuse_next -= 1;
            return Err(refuse("refused by an injected fault"));
        }
        let (running_id, stop_signal) = inner.register(&request.request_id, Instant::now());
        drop(inner);
        Ok(AdmittedRequest::new(
            self.clone(),
            request,
            version,
            running_id,
            stop_signal,
        ))
    }

    fn start_load(self: Arc<Self>, order: LoadOrder) -> Response<HttpBody> {
        match engine_load::accept_load(&self, &order) {
            Ok(generation) => {
                tokio::spawn(engine_load::run_load(self, order, generation));
                http_util::json(StatusCode::ACCEPTED, &json!({}))
            }
            Err((status, reason)) => http_util::text(status, reason),
        }
    }

    fn state_response(&self) -> Response<HttpBody> {
        let inner = self.inner();
        let state = json!({
            "state": inner.phase,
            "version": inner.serving,
            "fencing": inner.fencing,
            "beside": inner.beside,
            "error": inner.error,
        });
        http_util::json(StatusCode::OK, &state)
    }

    fn counters_response(&self) -> Response<HttpBody> {
        let inner = self.inner();
        let counters = json!({
            "arrived": inner.arrival_times.len(),
            "started": inner.runs_by_request.started(),
            "tokens": inner.tokens,
            "cut_by_load": inner.aborted_by_load,
            "refused_orders": inner.refused_orders,
        });
        http_util::json(StatusCode::OK, &counters)
    }

    fn export_kv(&self, request_id: &str) -> Response<HttpBody> {
        match self.inner().kv_snapshots.get(request_id) {
            Some(snapshot) if self.options.supports_kv_transfer => {
                http_util::json(StatusCode::OK, snapshot)
            }
            _ => http_util::text(
                StatusCode::NOT_FOUND,
                "no KV cache can be exported for this request",
            ),
        }
    }

    async fn import_kv(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let snapshot: KvSnapshot = match http_util::read_json(request).await {
            Ok(it) => it,
            Err(error_response) => return *error_response,
        };
        let mut inner = self.inner();
        if inner.serving != Some(snapshot.version) || !self.options.supports_kv_transfer {
            return http_util::text(
                StatusCode::CONFLICT,
                "KV transfer is disabled or another version is served",
            );
        }
        inner.imported_kv.insert(snapshot.request_id.clone());
        inner.store_kv(snapshot);
        http_util::json(StatusCode::OK, &json!({}))
    }
}

fn completion_response(
    body: HttpBody,
    content_type: &'static str,
    version: VersionDigest,
) -> Response<HttpBody> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let content_type = header::HeaderValue::from_static(content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
    let version = header::HeaderValue::try_from(version.to_string())
        .expect("a digest contains only valid header characters");
    headers.insert(VERSION_HEADER, version);
    response
}

/// Records the load periodically until the engine is dropped.
pub(crate) async fn record_load(shared: std::sync::Weak<EngineShared>) {
    loop {
        let interval = {
            let Some(shared) = shared.upgrade() else {
                return;
            };
            let report = shared.report();
            let mut inner = shared.inner();
            inner.load_history.record(report, Instant::now());
            inner.load_history.recording_interval()
        };
        tokio::time::sleep(interval).await;
    }
}

/// Number of events buffered for a slow client before token generation blocks.
const STREAM_BUFFER_EVENTS: usize = 16;

/// Interval at which a request to a hanging engine checks whether the fault has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);
