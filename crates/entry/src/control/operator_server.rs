//! The HTTP server for operators: commands and the state dump.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use anyhow::Context;
use control::{ConfigSource, Statement};
use httpio::{
    HeaderValue, HttpBody, HttpServer, Incoming, Method, Request, Response, ServerHandle,
    ServerLimits, StatusCode, header,
};
use model::{CommandId, ConfigRevision, ResultCode};
use serde::Deserialize;
use serde_json::json;
use settings::EntrySettings;
use slog::{Logger, info, warn};
use upstream::{HostListClient, SourceClient, TableClient};
use wire::WireCounters;

use crate::calls::{CallCounters, CrashGuard};
use crate::control::command_outcome::CommandOutcome;
use crate::control::command_runner::{CommandRunner, SubmittedCommand, parse_statement};
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::SnapshotCell;
use crate::control::in_force::count_in_force;
use crate::control::query_rows::collect_rows;

/// Serves operators' HTTP requests.
#[derive(Clone)]
pub(crate) struct OperatorServer {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) table: TableClient,
    pub(crate) guard: Arc<CrashGuard>,
    pub(crate) calls: Arc<CallCounters>,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) counters: WireCounters,
    pub(crate) log: Logger,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommandRequest {
    command: String,
    id: CommandId,
    /// Maximum time to wait until the command is in force on every host, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

impl OperatorServer {
    /// Starts the server on the current runtime.
    pub(crate) fn start(self) -> anyhow::Result<ServerHandle> {
        let address = self.settings.listen.operators;
        let hosts = self.settings.platform.hosts;
        let runner = Arc::new(CommandRunner {
            table: self.table.clone(),
            source: SourceClient::new(self.settings.sources.origin, SOURCE_TIMEOUT),
            hosts: hosts.map(|it| HostListClient::new(it, HOST_LIST_TIMEOUT)),
        });
        let limits = ServerLimits {
            max_connections: self.settings.limits.max_operator_connections,
            ..ServerLimits::default()
        };
        let listener = HttpServer::bind(address, limits)
            .with_context(|| format!("cannot listen on {address}"))?;
        let max_connections = self.settings.limits.max_operator_connections;
        let log = self.log.clone();
        let handle = listener.serve(move |request, peer| {
            let (server, runner) = (self.clone(), runner.clone());
            async move { server.handle(request, peer, runner).await }
        })?;
        tokio::spawn(log_full_server(handle.clone(), max_connections, log));
        Ok(handle)
    }

    async fn handle(
        self,
        request: Request<Incoming>,
        peer: SocketAddr,
        runner: Arc<CommandRunner>,
    ) -> Response<HttpBody> {
        let Some(operator) = self.authenticate(&request) else {
            warn!(self.log, "operator refused"; "peer" => %peer);
            let message = "the token is missing or unknown";
            let mut response = response(&CommandOutcome::new(ResultCode::Unauthorized, message));
            // A client without a token gets no further response on its connection, so pipelined requests cost nothing.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            return response;
        };
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/debug/state") => {
                run_blocking(move || json_response(self.state_dump().to_string())).await
            }
            (&Method::POST, "/v1/command") => {
                let body = request.into_body();
                let body = httpio::read_limited(body, MAX_BODY_BYTES, BODY_TIMEOUT).await;
                let command = body.map_err(|err| body_error(&err)).and_then(|it| {
                    let command = serde_json::from_slice::<CommandRequest>(&it);
                    command.map_err(|err| (ResultCode::BadRequest, err.to_string()))
                });
                match command {
                    Ok(command) => {
                        run_blocking(move || self.run_command(&command, &operator, &runner)).await
                    }
                    Err((code, message)) => response(&CommandOutcome::new(code, message)),
                }
            }
            _ => response(&CommandOutcome::new(ResultCode::NotFound, "no such path")),
        }
    }

    fn run_command(
        &self,
        command: &CommandRequest,
        operator: &str,
        runner: &CommandRunner,
    ) -> Response<HttpBody> {
        let outcome = self
            .execute(command, operator, runner)
            .unwrap_or_else(|it| it);
        info!(self.log, "command"; "command_id" => %command.id, "operator" => operator,
            "text" => &command.command, "result" => outcome.name);
        response(&outcome)
    }

    fn execute(
        &self,
        command: &CommandRequest,
        operator: &str,
        runner: &CommandRunner,
    ) -> Result<CommandOutcome, CommandOutcome> {
        let snapshot = self.snapshots.load();
        let change = match parse_statement(&command.command)? {
            Statement::Change(it) => it,
            Statement::Query(query) => {
                let hosts = runner.hosts.as_ref();
                let rows = collect_rows(query.table, &snapshot, &self.table, hosts, &self.guard);
                return Ok(CommandOutcome::query_result(control::evaluate_query(
                    &query, rows,
                )));
            }
        };
        let submitted = SubmittedCommand {
            text: &command.command,
            id: &command.id,
            operator,
        };
        let (revision, config) = runner.commit(&change, submitted, &snapshot)?;
        if let Some(config) = config {
            let event = ControlEvent::Config(Box::new(config), ConfigSource::Table);
            let _ = self.events.send(event);
        }
        let wait = Duration::from_millis(command.wait_ms).min(MAX_WAIT);
        Ok(self.wait_in_force(revision, wait))
    }

    /// Waits until the revision is in force on every live host, for at most `wait`.
    ///
    /// Even if `wait` is shorter, waits until this entry itself holds the revision, for at most
    /// [`MAX_LOCAL_WAIT`].
    fn wait_in_force(&self, revision: ConfigRevision, wait: Duration) -> CommandOutcome {
        let start = Instant::now();
        loop {
            let snapshot = self.snapshots.load();
            let in_force = count_in_force(&snapshot, revision);
            // The next query to this entry must reflect the command, even if `wait` is zero.
            let held_locally = snapshot.held_revision.is_some_and(|it| it >= revision)
                || start.elapsed() >= MAX_LOCAL_WAIT;
            if in_force.count == in_force.of || held_locally && start.elapsed() >= wait {
                return CommandOutcome {
                    in_force: Some(Box::new(in_force)),
                    ..CommandOutcome::accepted(revision)
                };
            }
            std::thread::sleep(WAIT_POLL_INTERVAL);
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Option<String> {
        let value = request.headers().get(header::AUTHORIZATION)?;
        let token = value.to_str().ok()?.strip_prefix("Bearer ")?;
        let operator = self
            .settings
            .operators
            .iter()
            .find(|it| it.token.matches(token))?;
        Some(operator.name.clone())
    }

    fn state_dump(&self) -> serde_json::Value {
        let snapshot = self.snapshots.load();
        json!({
            "role": "entry",
            "own": snapshot.own,
            "config": snapshot.config.as_deref(),
            "config_held": snapshot.held_revision,
            "config_age_ms": snapshot.confirmed_at.map(|it| it.elapsed().as_millis() as u64),
            "targets": snapshot.targets.values().map(|it| json!({
                "row": it.row, "age_ms": it.last_seen.elapsed().as_millis() as u64, "direct": it.is_direct(),
            })).collect::<Vec<_>>(),
            "entries": snapshot.entries.values().map(|it| json!({
                "row": it.row, "age_ms": it.last_seen.elapsed().as_millis() as u64,
            })).collect::<Vec<_>>(),
            "permits": snapshot.permits,
            "available_retries": self.calls.available_retries(),
            "table": { "reads": self.table.call_counts().0, "writes": self.table.call_counts().1 },
            "control": {
                "received_bytes": self.counters.received_bytes(),
                "sent_bytes": self.counters.sent_bytes(),
                "messages": self.counters.messages(),
            },
        })
    }
}

/// Logs once each time when the server begins to turn connections away.
async fn log_full_server(handle: ServerHandle, max_connections: usize, log: Logger) {
    let mut was_full = false;
    let mut interval = tokio::time::interval(FULL_POLL_INTERVAL);
    loop {
        interval.tick().await;
        let is_full = handle.open_connections() >= max_connections;
        if is_full && !was_full {
            warn!(log, "operators' connections are at their limit"; "connections" => max_connections);
        }
        was_full = is_full;
    }
}

/// Runs work that waits for the platform or copies the whole state, off the threads that serve requests. It is completed
/// even if the operator disconnects.
async fn run_blocking(
    work: impl FnOnce() -> Response<HttpBody> + Send + 'static,
) -> Response<HttpBody> {
    let result = tokio::task::spawn_blocking(work).await;
    result.unwrap_or_else(|_| {
        let message = "the request's thread failed";
        response(&CommandOutcome::new(ResultCode::Internal, message))
    })
}

fn body_error(err: &std::io::Error) -> (ResultCode, String) {
    let code = match err.kind() {
        std::io::ErrorKind::TimedOut => ResultCode::TooSlow,
        _ => ResultCode::BadRequest,
    };
    (code, err.to_string())
}

fn response(outcome: &CommandOutcome) -> Response<HttpBody> {
    let code = ResultCode::from_number(outcome.code).unwrap_or(ResultCode::Internal);
    let mut response = json_response(serde_json::to_string(outcome).unwrap_or_default());
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = code.to_string().parse() {
        response.headers_mut().insert(model::RESULT_HEADER, value);
    }
    response
}

fn json_response(body: String) -> Response<HttpBody> {
    let mut response = Response::new(httpio::full(body));
    let json = HeaderValue::from_static("application/json; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading a manifest.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to wait until a command is in force.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Maximum time to wait until this entry itself holds a revision that it has accepted.
const MAX_LOCAL_WAIT: Duration = Duration::from_secs(1);

/// Interval at which the snapshot is polled while waiting.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the number of connections is compared with its limit.
const FULL_POLL_INTERVAL: Duration = Duration::from_millis(500);
