//! The callers' listener.

use std::sync::Arc;
use std::time::Instant;

use anyhow::Context;
use httpio::{HttpServer, Incoming, Method, ReplyBody, Request, Response, ServerLimits};
use hyper::http::response as http_parts;
use model::{
    AttemptId, FleetConfig, ModelName, OrderPolicy, RequestId, ResultCode, ServiceName, TargetKind,
};
use platform::TableClient;
use serde::Deserialize;
use settings::EntrySettings;
use slog::{Logger, warn};

use crate::calls::attempt_outcome::AttemptOutcome;
use crate::calls::call_context::{self, CallContext};
use crate::calls::call_counters::{CallCounters, CallGuard};
use crate::calls::call_refusal::{self, CallRefusal};
use crate::calls::directory;
use crate::calls::dispatcher::{AttemptPlan, Dispatcher};
use crate::calls::order_book::{self, ClaimOutcome, OrderBook, OrderRow, OrderState};
use crate::calls::stream_relay;
use crate::control::{ControlSnapshot, SnapshotCell};

/// Answers callers.
#[derive(Clone, Debug)]
pub(crate) struct CallServer {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    dispatcher: Dispatcher,
    orders: OrderBook,
    counters: Arc<CallCounters>,
    log: Logger,
}

/// The fields of a model request that decide how it is routed.
#[derive(Debug, Deserialize)]
struct ModelRequest {
    model: ModelName,
    #[serde(default)]
    stream: bool,
}

type Reply = Result<Response<ReplyBody>, CallRefusal>;

impl CallServer {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        table: TableClient,
        counters: Arc<CallCounters>,
        log: Logger,
    ) -> Self {
        let dispatcher = Dispatcher::new(settings.clone(), snapshots.clone(), log.clone());
        Self {
            settings,
            snapshots,
            dispatcher,
            orders: OrderBook::new(table),
            counters,
            log,
        }
    }

    /// Starts the listener.
    pub(crate) fn start(self) -> anyhow::Result<httpio::ServerHandle> {
        let limits = &self.settings.limits;
        let limits = ServerLimits {
            max_connections: limits.max_connections,
            max_headers: limits.max_headers,
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            fault_answer: Some(call_refusal::fault_answer),
        };
        let address = self.settings.listen.callers;
        let server = HttpServer::bind(address, limits)
            .with_context(|| format!("cannot listen on {address}"))?;
        Ok(server.serve(move |request, _peer| {
            let server = self.clone();
            async move { server.answer(request).await }
        })?)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let id = RequestId(rand::random());
        match self.route(request, id).await {
            Ok(mut response) => {
                let code = response.headers().get(model::RESULT_HEADER).cloned();
                call_refusal::mark(&mut response, ResultCode::Ok, id);
                if let Some(code) = code {
                    response.headers_mut().insert(model::RESULT_HEADER, code);
                }
                response
            }
            Err(refusal) => {
                warn!(self.log, "request refused"; "request_id" => %id, "code" => refusal.code.number(),
                    "name" => refusal.code.name(), "message" => &refusal.message);
                refusal.into_response(id)
            }
        }
    }

    async fn route(&self, request: Request<Incoming>, id: RequestId) -> Reply {
        let snapshot = self.snapshots.load();
        let path = request.uri().path().to_string();
        if path == "/v1/entries" && request.method() == Method::GET {
            let body = directory::directory(&snapshot, self.settings.limits.directory_ttl);
            return Ok(Response::new(httpio::full(body.to_string())));
        }
        let Some(guard) = CallCounters::enter(&self.counters, self.settings.limits.max_streams)
        else {
            return Err(CallRefusal::new(
                ResultCode::Overloaded,
                "this entry has no room for more requests",
            ));
        };
        let call = self.check(request, id, &snapshot).await?;
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => {
                self.model_call(call, &snapshot, guard).await
            }
            _ if path.starts_with(SERVICE_PREFIX) => self.service_call(call, guard).await,
            _ => Err(CallRefusal::new(
                ResultCode::NotFound,
                format!("the path {path:?} does not exist"),
            )),
        }
    }

    async fn check(
        &self,
        request: Request<Incoming>,
        id: RequestId,
        snapshot: &ControlSnapshot,
    ) -> Result<CallContext, CallRefusal> {
        let (parts, body) = request.into_parts();
        let limits = &self.settings.limits;
        let organisation = call_context::authenticate(&parts.headers, &self.settings)?;
        let Some(config) = &snapshot.config else {
            return Err(CallRefusal::new(
                ResultCode::NotReady,
                "this entry has no configuration yet",
            ));
        };
        let policy = config.organisation(&organisation);
        if policy.denied {
            let message = format!("the organisation {organisation} is denied");
            return Err(CallRefusal::new(ResultCode::Denied, message));
        }
        let deadline =
            call_context::deadline(&parts.headers, limits.default_deadline, Instant::now())?;
        let priority = call_context::priority(&parts.headers, policy.priority)?;
        let body = httpio::read_limited(body, limits.max_body_bytes, limits.body_timeout);
        let body = body.await.map_err(|err| body_refusal(&err))?;
        Ok(CallContext {
            id,
            organisation,
            deadline,
            priority,
            method: parts.method,
            path: parts
                .uri
                .path_and_query()
                .map_or_else(|| "/".to_string(), ToString::to_string),
            content_type: parts.headers.get(httpio::header::CONTENT_TYPE).cloned(),
            body,
            idempotency_key: idempotency_key(&parts.headers)?,
        })
    }

    async fn model_call(
        &self,
        call: CallContext,
        snapshot: &ControlSnapshot,
        guard: CallGuard,
    ) -> Reply {
        if call.method != Method::POST {
            return Err(CallRefusal::new(ResultCode::MethodNotAllowed, "use POST"));
        }
        let request: ModelRequest = serde_json::from_slice(&call.body).map_err(|err| {
            CallRefusal::new(
                ResultCode::BadRequest,
                format!("the body is not a request: {err}"),
            )
        })?;
        let known = snapshot
            .config
            .as_ref()
            .is_some_and(|it| it.models.contains_key(&request.model));
        if !known {
            let message = format!("the model {} does not exist", request.model);
            return Err(CallRefusal::new(ResultCode::NotFound, message));
        }
        let plan = AttemptPlan {
            kind: TargetKind::Model(request.model),
            version: None,
            first: AttemptId(rand::random()),
            idempotent: true,
            headers: Vec::new(),
        };
        let response = match self.dispatcher.dispatch(&call, &plan).await {
            AttemptOutcome::Answer(it) => it,
            AttemptOutcome::NotRun(code) | AttemptOutcome::Unknown(code) => {
                return Err(CallRefusal::new(code, "no target answered"));
            }
        };
        let (parts, body) = response.into_parts();
        if !request.stream || !parts.status.is_success() {
            return whole_answer(parts, body, &call).await;
        }
        let (sender, reply) = httpio::stream(RELAY_DEPTH);
        tokio::spawn(stream_relay::relay(body, sender, guard));
        Ok(copy_head(&parts, reply))
    }

    async fn service_call(&self, mut call: CallContext, guard: CallGuard) -> Reply {
        let rest = &call.path[SERVICE_PREFIX.len()..];
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = ServiceName::new(name)
            .map_err(|err| CallRefusal::new(ResultCode::BadRequest, err.to_string()))?;
        call.path = format!("/{path}");
        let snapshot = self.snapshots.load();
        let config = snapshot
            .config
            .as_deref()
            .map_or_else(FleetConfig::default, FleetConfig::clone);
        let known = snapshot
            .targets
            .values()
            .any(|it| it.row.kind == TargetKind::Service(service.clone()));
        if !known {
            return Err(CallRefusal::new(
                ResultCode::NotFound,
                format!("the service {service} does not exist"),
            ));
        }
        let lookup = match config.service(&service).orders {
            OrderPolicy::Lookups => true,
            OrderPolicy::Orders => false,
            OrderPolicy::ByMethod => matches!(call.method, Method::GET | Method::HEAD),
        };
        // An order goes on when its caller goes away, because its outcome has to be recorded.
        let server = self.clone();
        let work = tokio::spawn(async move {
            let _guard = guard;
            match call.idempotency_key.clone() {
                Some(key) if !lookup => server.keyed_order(&call, service, &key).await,
                _ => server.single_call(&call, service, lookup).await,
            }
        });
        work.await
            .unwrap_or_else(|_| Err(CallRefusal::new(ResultCode::Internal, "the request failed")))
    }

    async fn single_call(&self, call: &CallContext, service: ServiceName, lookup: bool) -> Reply {
        let plan = AttemptPlan {
            kind: TargetKind::Service(service),
            version: None,
            first: AttemptId(rand::random()),
            idempotent: lookup,
            headers: key_header(call),
        };
        match self.dispatcher.dispatch(call, &plan).await {
            AttemptOutcome::Answer(response) => {
                let (parts, body) = response.into_parts();
                whole_answer(parts, body, call).await
            }
            AttemptOutcome::NotRun(code) | AttemptOutcome::Unknown(code) => {
                Err(CallRefusal::new(code, "no target answered"))
            }
        }
    }

    async fn keyed_order(&self, call: &CallContext, service: ServiceName, key: &str) -> Reply {
        let row_key = order_book::order_key(&call.organisation, &service, key);
        let mut row = OrderRow {
            attempt: AttemptId(rand::random()),
            request: call.id,
            digest: order_digest(call),
            state: OrderState::Claimed,
        };
        let version = match self.claim(&row_key, &row).await? {
            ClaimOutcome::Claimed(version) => version,
            ClaimOutcome::Known(known) => return replay(&known, &row.digest),
        };
        let plan = AttemptPlan {
            kind: TargetKind::Service(service),
            version: None,
            first: row.attempt,
            idempotent: false,
            headers: key_header(call),
        };
        let answer = match self.dispatcher.dispatch(call, &plan).await {
            AttemptOutcome::Answer(response) => {
                let (parts, body) = response.into_parts();
                read_order(parts, body, call).await
            }
            AttemptOutcome::NotRun(code) => {
                self.release(row_key, version).await;
                return Err(CallRefusal::new(code, "the order did not run"));
            }
            AttemptOutcome::Unknown(_) => OrderState::Unknown,
        };
        row.state = answer;
        self.record(row_key, version, row.clone()).await;
        match &row.state {
            OrderState::Done { .. } => done_response(&row.state, ResultCode::Ok),
            _ => Err(CallRefusal::new(
                ResultCode::OrderUnknown,
                "the order may have run",
            )),
        }
    }

    async fn claim(&self, key: &str, row: &OrderRow) -> Result<ClaimOutcome, CallRefusal> {
        let (orders, key, row) = (self.orders.clone(), key.to_string(), row.clone());
        blocking(move || orders.claim(&key, &row)).await?
    }

    async fn record(&self, key: String, version: u64, row: OrderRow) {
        let orders = self.orders.clone();
        let result = blocking(move || orders.record(&key, version, &row)).await;
        if !matches!(result, Ok(Ok(()))) {
            warn!(self.log, "outcome of an order was not recorded"; "result" => ?result.map_err(|it| it.code));
        }
    }

    async fn release(&self, key: String, version: u64) {
        let orders = self.orders.clone();
        let result = blocking(move || orders.release(&key, version)).await;
        if !matches!(result, Ok(Ok(()))) {
            warn!(self.log, "claim of an order was not released"; "result" => ?result.map_err(|it| it.code));
        }
    }
}

async fn blocking<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, CallRefusal> {
    tokio::task::spawn_blocking(work)
        .await
        .map_err(|err| CallRefusal::new(ResultCode::Internal, err.to_string()))
}

fn idempotency_key(headers: &httpio::HeaderMap) -> Result<Option<String>, CallRefusal> {
    let key = call_context::single(headers, model::IDEMPOTENCY_HEADER)?;
    if key.is_some_and(|it| it.is_empty() || it.len() > MAX_KEY_BYTES) {
        let message = format!("the header idempotency-key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(CallRefusal::new(ResultCode::BadRequest, message));
    }
    Ok(key.map(str::to_string))
}

fn key_header(call: &CallContext) -> Vec<(&'static str, String)> {
    call.idempotency_key
        .iter()
        .map(|it| (model::IDEMPOTENCY_HEADER, it.clone()))
        .collect()
}

fn order_digest(call: &CallContext) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.method.as_str().as_bytes()).update(b"\n");
    hasher
        .update(call.path.as_bytes())
        .update(b"\n")
        .update(&call.body);
    hasher.finalize().to_string()
}

fn replay(known: &OrderRow, digest: &str) -> Reply {
    if known.digest != digest {
        let message = "the idempotency key was used for another order";
        return Err(CallRefusal::new(ResultCode::KeyReused, message));
    }
    match &known.state {
        OrderState::Done { .. } => done_response(&known.state, ResultCode::Replayed),
        OrderState::Claimed => Err(CallRefusal::new(
            ResultCode::OrderInProgress,
            "the same order is in progress",
        )),
        OrderState::Unknown => Err(CallRefusal::new(
            ResultCode::OrderUnknown,
            "the order may have run",
        )),
    }
}

fn done_response(state: &OrderState, code: ResultCode) -> Reply {
    let OrderState::Done {
        status,
        body,
        content_type,
    } = state
    else {
        return Err(CallRefusal::new(
            ResultCode::Internal,
            "the order has no outcome",
        ));
    };
    let mut response = Response::new(httpio::full(body.clone()));
    *response.status_mut() =
        httpio::StatusCode::from_u16(*status).unwrap_or(httpio::StatusCode::BAD_GATEWAY);
    if let Some(Ok(value)) = content_type.as_deref().map(str::parse) {
        response
            .headers_mut()
            .insert(httpio::header::CONTENT_TYPE, value);
    }
    if let Ok(value) = code.to_string().parse() {
        response.headers_mut().insert(model::RESULT_HEADER, value);
    }
    Ok(response)
}

async fn read_order(parts: http_parts::Parts, body: Incoming, call: &CallContext) -> OrderState {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let Ok(bytes) = httpio::read_limited(body, MAX_ORDER_ANSWER_BYTES, left).await else {
        return OrderState::Unknown;
    };
    let content_type = parts.headers.get(httpio::header::CONTENT_TYPE);
    OrderState::Done {
        status: parts.status.as_u16(),
        body: String::from_utf8_lossy(&bytes).into_owned(),
        content_type: content_type
            .and_then(|it| it.to_str().ok())
            .map(str::to_string),
    }
}

async fn whole_answer(parts: http_parts::Parts, body: Incoming, call: &CallContext) -> Reply {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let bytes = httpio::read_limited(body, MAX_ANSWER_BYTES, left)
        .await
        .map_err(|err| CallRefusal::new(ResultCode::TargetLost, err.to_string()))?;
    Ok(copy_head(&parts, httpio::full(bytes)))
}

fn copy_head(parts: &http_parts::Parts, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    for name in [httpio::header::CONTENT_TYPE, httpio::header::CACHE_CONTROL] {
        if let Some(value) = parts.headers.get(&name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    if let Some(value) = parts.headers.get(model::VERSION_HEADER) {
        response
            .headers_mut()
            .insert(model::VERSION_HEADER, value.clone());
    }
    response
}

fn body_refusal(err: &std::io::Error) -> CallRefusal {
    let code = match err.kind() {
        std::io::ErrorKind::TimedOut => ResultCode::TooSlow,
        std::io::ErrorKind::InvalidData => ResultCode::TooLarge,
        _ => ResultCode::BadRequest,
    };
    CallRefusal::new(code, err.to_string())
}

/// Start of the paths of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Pieces of an answer that wait for a slow caller before the target is held back.
const RELAY_DEPTH: usize = 32;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Largest answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Largest answer of an order, because it is kept in the table.
const MAX_ORDER_ANSWER_BYTES: usize = 64 << 10;
