//! What all requests of an engine share, and the answers to them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode, header};
use model::{VERSION_HEADER, VersionDigest};
use serde::Deserialize;
use serde_json::json;
use tokio::runtime::Handle;

use crate::answers;
use crate::engine::batch_queue::BatchQueue;
use crate::engine::engine_inner::{EngineInner, KvSnapshot, StopReason};
use crate::engine::engine_load::{self, LoadOrder};
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_request::TokenRequest;
use crate::engine::engine_responses;
use crate::engine::load_history::EngineLoadReport;
use crate::engine::token_stream::{AdmittedRequest, AnswerEnd};
use crate::standin_runtime::{self};

/// What all requests of an engine share.
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
            .expect("no holder of the engine's lock panics")
    }

    pub(crate) fn server(&self) -> MutexGuard<'_, Option<ServerHandle>> {
        self.server
            .lock()
            .expect("no holder of the listener's lock panics")
    }

    pub(crate) fn listen(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let served = self.clone();
        let server = standin_runtime::serve(&self.handle, address, move |request, _| {
            let shared = served.clone();
            async move { shared.answer(request).await }
        })?;
        let address = server.address();
        *self.server() = Some(server);
        Ok(address)
    }

    pub(crate) fn report(&self) -> EngineLoadReport {
        let (in_flight, waiting) = self.queue.lengths();
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

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        if request.uri().path() != answers::FAULTS_PATH {
            while self.inner().faults.hang {
                tokio::time::sleep(HANG_POLL).await;
            }
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.tokens(request, false).await,
            (&Method::POST, "/v1/chat/completions") => self.tokens(request, true).await,
            (&Method::POST, "/engine/cancel") => match answers::read_json(request).await {
                Ok(CancelOrder { request_id }) => {
                    let cancelled = self.inner().cancel(&request_id);
                    answers::json(StatusCode::OK, &json!({ "cancelled": cancelled }))
                }
                Err(refusal) => *refusal,
            },
            (&Method::POST, "/engine/load") => match answers::read_json(request).await {
                Ok(order) => self.load(order),
                Err(refusal) => *refusal,
            },
            (&Method::GET, "/engine/state") => self.state(),
            (&Method::GET, "/engine/load_report") => {
                let report = self.inner().history.shown(Instant::now());
                answers::json(StatusCode::OK, &report)
            }
            (&Method::GET, "/engine/cache_events") => {
                let after = answers::query_value(&request, "after");
                let after = after.and_then(|it| it.parse().ok()).unwrap_or(0);
                let events = self.inner().log.published(after, Instant::now());
                answers::json(StatusCode::OK, &json!({ "events": events }))
            }
            (&Method::POST, "/engine/kv") => self.import_kv(request).await,
            (&Method::POST, answers::FAULTS_PATH) => match answers::read_json(request).await {
                Ok(faults) => {
                    self.inner().faults = faults;
                    answers::json(StatusCode::OK, &json!({}))
                }
                Err(refusal) => *refusal,
            },
            (&Method::GET, answers::COUNTERS_PATH) => self.counters(),
            (&Method::GET, path) => match path.strip_prefix("/engine/kv/") {
                Some(request_id) => self.export_kv(request_id),
                None => answers::text(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => answers::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn tokens(self: Arc<Self>, request: Request<Incoming>, chat: bool) -> Response<HttpBody> {
        let request = match TokenRequest::read(request, chat).await {
            Ok(it) => it,
            Err(refusal) => return *refusal,
        };
        let mut admitted = match self.admit(request) {
            Ok(it) => it,
            Err(refusal) => return *refusal,
        };
        let place = match admitted.wait_for_place(&self.queue).await {
            Ok(it) => it,
            Err(StopReason::Crashed) => return answers::lost(),
            Err(_) => return answers::text(StatusCode::SERVICE_UNAVAILABLE, "it was given up"),
        };
        let version = admitted.version;
        if admitted.request.stream {
            let (sender, body) = httpio::stream(STREAM_DEPTH);
            tokio::spawn(admitted.stream(place, sender));
            return tokens_answer(body, "text/event-stream", version);
        }
        let mut answer = String::new();
        let end = admitted
            .compute(|_, text, _| {
                answer.push_str(&text);
                std::future::ready(true)
            })
            .await;
        drop(place);
        if end != AnswerEnd::Whole {
            return answers::lost();
        }
        let body = engine_responses::whole_answer(&admitted.request, version, &answer);
        admitted.finish();
        tokens_answer(httpio::full(body), "application/json", version)
    }

    fn admit(
        self: &Arc<Self>,
        request: TokenRequest,
    ) -> Result<AdmittedRequest, Box<Response<HttpBody>>> {
        let refuse = |why| Box::new(answers::text(StatusCode::SERVICE_UNAVAILABLE, why));
        let (_, waiting) = self.queue.lengths();
        let mut inner = self.inner();
        let Some(version) = inner.serving else {
            return Err(refuse("no weights are served"));
        };
        if waiting >= self.options.max_waiting {
            return Err(refuse("the queue is full"));
        }
        if inner.faults.refuse_next > 0 {
            inner.faults.refuse_next -= 1;
            return Err(refuse("the engine refuses on purpose"));
        }
        let (number, stop) = inner.register(&request.request_id, Instant::now());
        drop(inner);
        Ok(AdmittedRequest::new(
            self.clone(),
            request,
            version,
            number,
            stop,
        ))
    }

    fn load(self: Arc<Self>, order: LoadOrder) -> Response<HttpBody> {
        match engine_load::accept_load(&self, &order) {
            Ok(load) => {
                tokio::spawn(engine_load::run_load(self, order, load));
                answers::json(StatusCode::ACCEPTED, &json!({}))
            }
            Err((status, why)) => answers::text(status, why),
        }
    }

    fn state(&self) -> Response<HttpBody> {
        let inner = self.inner();
        let state = json!({
            "state": inner.phase,
            "version": inner.serving,
            "fencing": inner.fencing,
            "beside": inner.beside,
            "error": inner.error,
        });
        answers::json(StatusCode::OK, &state)
    }

    fn counters(&self) -> Response<HttpBody> {
        let inner = self.inner();
        let counters = json!({
            "arrived": inner.arrivals.len(),
            "started": inner.by_request.started(),
            "tokens": inner.tokens,
            "cut_by_load": inner.cut_by_load,
            "refused_orders": inner.refused_orders,
        });
        answers::json(StatusCode::OK, &counters)
    }

    fn export_kv(&self, request_id: &str) -> Response<HttpBody> {
        match self.inner().kv.get(request_id) {
            Some(snapshot) if self.options.supports_kv_transfer => {
                answers::json(StatusCode::OK, snapshot)
            }
            _ => answers::text(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    async fn import_kv(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let snapshot: KvSnapshot = match answers::read_json(request).await {
            Ok(it) => it,
            Err(refusal) => return *refusal,
        };
        let mut inner = self.inner();
        if inner.serving != Some(snapshot.version) || !self.options.supports_kv_transfer {
            return answers::text(StatusCode::CONFLICT, "another version is served");
        }
        inner.imported.insert(snapshot.request_id.clone());
        inner.keep_kv(snapshot);
        answers::json(StatusCode::OK, &json!({}))
    }
}

fn tokens_answer(
    body: HttpBody,
    content_type: &'static str,
    version: VersionDigest,
) -> Response<HttpBody> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let content_type = header::HeaderValue::from_static(content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
    let version = header::HeaderValue::try_from(version.to_string())
        .expect("a digest consists of header characters");
    headers.insert(VERSION_HEADER, version);
    response
}

/// Records the load as long as the engine exists.
pub(crate) async fn record_load(shared: std::sync::Weak<EngineShared>) {
    loop {
        let interval = {
            let Some(shared) = shared.upgrade() else {
                return;
            };
            let report = shared.report();
            let mut inner = shared.inner();
            inner.history.record(report, Instant::now());
            inner.history.interval()
        };
        tokio::time::sleep(interval).await;
    }
}

/// Events that wait for a slow reader before the computation waits.
const STREAM_DEPTH: usize = 16;

/// Time after which a hanging engine looks whether it may go on.
const HANG_POLL: Duration = Duration::from_millis(20);
