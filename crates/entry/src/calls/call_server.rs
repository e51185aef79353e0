//! HTTP server for callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use httpio::{
    BufferBudget, ClientAccount, HttpBody, HttpServer, Incoming, Method, Request, Response,
    ServerLimits, WriteDeadline,
};
use model::{OverloadCause, RequestId, ResultCode};
use routing::OverloadTransition;
use settings::EntrySettings;
use slog::{Logger, info, warn};
use upstream::TableClient;

use crate::calls::call_context::{self, CallContext};
use crate::calls::call_counters::CallCounters;
use crate::calls::call_error::{self, CallError};
use crate::calls::crash_guard::CrashGuard;
use crate::calls::directory;
use crate::calls::dispatcher::Dispatcher;
use crate::calls::slot_scheduler::SlotScheduler;
use crate::calls::{model_call, order_sweeper, service_call};
use crate::control::{ControlSnapshot, SnapshotCell};

/// Handles requests from callers.
#[derive(Clone, Debug)]
pub(crate) struct CallServer {
    settings: Arc<EntrySettings>,
    snapshots: Arc<SnapshotCell>,
    dispatcher: Dispatcher,
    table: TableClient,
    counters: Arc<CallCounters>,
    /// Memory that the bodies of requests share until the requests end.
    body_budget: BufferBudget,
    log: Logger,
}

type CallResult = Result<Response<HttpBody>, CallError>;

impl CallServer {
    pub(crate) fn new(
        settings: Arc<EntrySettings>,
        snapshots: Arc<SnapshotCell>,
        table: TableClient,
        counters: Arc<CallCounters>,
        guard: Arc<CrashGuard>,
        log: Logger,
    ) -> Self {
        let body_budget = BufferBudget::new(settings.limits.max_held_body_bytes);
        let scheduler = SlotScheduler::new(settings.clone(), snapshots.clone(), counters.clone());
        let dispatcher = Dispatcher::new(settings.clone(), Arc::new(scheduler), guard, log.clone());
        Self {
            settings,
            snapshots,
            dispatcher,
            table,
            counters,
            body_budget,
            log,
        }
    }

    /// Starts the listener and the background tasks of the request path.
    pub(crate) fn start(self) -> anyhow::Result<httpio::ServerHandle> {
        let limits = &self.settings.limits;
        // A connection whose client reads nothing for as long as a request may take only holds room.
        let account = ClientAccount::new(limits.max_connections, limits.default_deadline);
        let limits = ServerLimits {
            max_connections: limits.max_connections,
            max_headers: limits.max_headers,
            max_header_bytes: limits.max_header_bytes,
            header_timeout: limits.header_timeout,
            head_error_handler: Some(call_error::head_error_response),
        };
        let address = self.settings.listen.callers;
        let server = HttpServer::bind(address, limits)
            .with_context(|| format!("cannot listen on {address}"))?
            .with_account(account);
        tokio::spawn(self.dispatcher.scheduler.clone().dispatch_loop());
        tokio::spawn(order_sweeper::sweep_loop(
            self.table.clone(),
            self.snapshots.clone(),
            self.log.clone(),
        ));
        Ok(server.serve(move |request, _peer| {
            let server = self.clone();
            async move { server.handle(request).await }
        })?)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let id = RequestId(rand::random());
        let now = Instant::now();
        let default = self.settings.limits.default_deadline;
        let deadline = call_context::deadline(request.headers(), default, now);
        let last_write = *deadline.as_ref().unwrap_or(&now);
        let result = self.route(request, id, deadline).await;
        self.log_overload();
        let mut response = match result {
            Ok(mut response) => {
                let code = response.headers().get(model::RESULT_HEADER).cloned();
                call_error::set_result_headers(&mut response, ResultCode::Ok, id);
                if let Some(code) = code {
                    response.headers_mut().insert(model::RESULT_HEADER, code);
                }
                response
            }
            Err(error) => {
                let overload = self.counters.overload();
                warn!(self.log, "request refused"; "request_id" => %id,
                    "code" => error.code.number(), "name" => error.code.name(),
                    "message" => &error.message, "overloaded_ms" => overload.map(|it| it.0));
                error.into_response(id, overload)
            }
        };
        // An order's response may follow its deadline, because its attempt is revoked first.
        let last_write = last_write.max(Instant::now()) + WRITE_RESERVE;
        response.extensions_mut().insert(WriteDeadline(last_write));
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        id: RequestId,
        deadline: Result<Instant, CallError>,
    ) -> CallResult {
        let snapshot = self.snapshots.load();
        let path = request.uri().path().to_string();
        if path == "/v1/entries" && request.method() == Method::GET {
            let body = directory::directory(&snapshot, self.settings.limits.directory_ttl);
            return Ok(Response::new(httpio::full(body.to_string())));
        }
        let max_streams = self.settings.limits.max_streams;
        let Some(guard) = CallCounters::try_start(&self.counters, max_streams) else {
            self.counters.on_overload(OverloadCause::QueueFull);
            let message = "the entry has reached its limit of concurrent requests";
            return Err(CallError::new(ResultCode::Overloaded, message));
        };
        let call = self.check_request(request, id, deadline, &snapshot).await?;
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => {
                model_call::handle(&self.dispatcher, call, &snapshot, guard, &self.log).await
            }
            _ if path.starts_with(service_call::SERVICE_PREFIX) => {
                service_call::handle(&self.dispatcher, &self.table, call, &snapshot, guard).await
            }
            _ => Err(CallError::new(
                ResultCode::NotFound,
                format!("the path {path:?} does not exist"),
            )),
        }
    }

    async fn check_request(
        &self,
        request: Request<Incoming>,
        id: RequestId,
        deadline: Result<Instant, CallError>,
        snapshot: &ControlSnapshot,
    ) -> Result<CallContext, CallError> {
        let (parts, body) = request.into_parts();
        let limits = &self.settings.limits;
        let organisation = call_context::authenticate(&parts.headers, &self.settings)?;
        let Some(config) = &snapshot.config else {
            return Err(CallError::new(
                ResultCode::NotReady,
                "the entry has not received a configuration yet",
            ));
        };
        let policy = config.organisation(&organisation);
        if policy.denied {
            let message = format!("the organisation {organisation} is denied");
            return Err(CallError::new(ResultCode::Denied, message));
        }
        let deadline = deadline?;
        let priority = call_context::priority(&parts.headers, policy.priority)?;
        let idempotency_key = call_context::idempotency_key(&parts.headers)?;
        let mut body_share = self.body_budget.share_without_wait();
        let (max_bytes, timeout) = (limits.max_body_bytes, limits.body_timeout);
        let body = httpio::read_into_share(body, max_bytes, timeout, &mut body_share);
        let body = body.await.map_err(|err| {
            if err.kind() == std::io::ErrorKind::QuotaExceeded {
                self.counters.on_body_refused();
            }
            body_error(&err)
        })?;
        let path = parts.uri.path_and_query();
        Ok(CallContext {
            id,
            organisation,
            weight: policy.weight,
            deadline,
            priority,
            method: parts.method,
            path: path.map_or_else(|| "/".to_string(), ToString::to_string),
            content_type: parts.headers.get(httpio::header::CONTENT_TYPE).cloned(),
            body,
            _body_share: Arc::new(body_share),
            idempotency_key,
        })
    }

    fn log_overload(&self) {
        for transition in self.counters.take_transitions() {
            match transition {
                OverloadTransition::Started(cause) => {
                    warn!(self.log, "overloaded"; "cause" => cause.name());
                }
                OverloadTransition::Ended(time) => {
                    info!(self.log, "overload ended"; "lasted_ms" => time.as_millis() as u64);
                }
            }
        }
    }
}

fn body_error(err: &std::io::Error) -> CallError {
    let code = match err.kind() {
        std::io::ErrorKind::TimedOut => ResultCode::TooSlow,
        std::io::ErrorKind::InvalidData => ResultCode::TooLarge,
        std::io::ErrorKind::QuotaExceeded => ResultCode::Overloaded,
        _ => ResultCode::BadRequest,
    };
    CallError::new(code, err.to_string())
}

/// Time after the deadline of a request in which an error that says so still reaches a caller that reads.
const WRITE_RESERVE: Duration = Duration::from_secs(1);
