//! The HTTP server for operators: commands and the state dump.

use std::io::Read;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use anyhow::Context;
use control::{ConfigSource, Statement};
use model::{CommandId, ConfigRevision, ResultCode};
use serde::Deserialize;
use serde_json::json;
use settings::EntrySettings;
use slog::{Logger, info, warn};
use upstream::{HostListClient, SourceClient, TableClient};
use wire::WireCounters;

use crate::calls::CrashGuard;
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
    /// Starts the server on its own threads.
    pub(crate) fn start(self) -> anyhow::Result<()> {
        let address = self.settings.listen.operators;
        let runner = CommandRunner {
            table: self.table.clone(),
            source: SourceClient::new(self.settings.sources.origin, SOURCE_TIMEOUT),
            hosts: self
                .settings
                .platform
                .hosts
                .map(|it| HostListClient::new(it, HOST_LIST_TIMEOUT)),
        };
        let server = rouille::Server::new(address, move |request| {
            self.handle_request(request, &runner)
        })
        .map_err(|err| anyhow::anyhow!("{err}"))
        .with_context(|| format!("cannot listen on {address}"))?;
        std::thread::Builder::new()
            .name("operators".to_string())
            .spawn(move || server.run())?;
        Ok(())
    }

    fn handle_request(
        &self,
        request: &rouille::Request,
        runner: &CommandRunner,
    ) -> rouille::Response {
        let Some(operator) = self.authenticate(request) else {
            warn!(self.log, "operator refused"; "peer" => %request.remote_addr());
            return response(&CommandOutcome::new(
                ResultCode::Unauthorized,
                "the token is missing or unknown",
            ));
        };
        match (request.method(), request.url().as_str()) {
            ("GET", "/debug/state") => rouille::Response::json(&self.state_dump()),
            ("POST", "/v1/command") => self.handle_command(request, &operator, runner),
            _ => response(&CommandOutcome::new(ResultCode::NotFound, "no such path")),
        }
    }

    fn handle_command(
        &self,
        request: &rouille::Request,
        operator: &str,
        runner: &CommandRunner,
    ) -> rouille::Response {
        let mut text = String::new();
        let Some(body) = request.data() else {
            return response(&CommandOutcome::new(
                ResultCode::BadRequest,
                "the request body is missing",
            ));
        };
        if let Err(err) = body.take(MAX_BODY_BYTES).read_to_string(&mut text) {
            return response(&CommandOutcome::new(
                ResultCode::BadRequest,
                err.to_string(),
            ));
        }
        let command: CommandRequest = match serde_json::from_str(&text) {
            Ok(it) => it,
            Err(err) => {
                return response(&CommandOutcome::new(
                    ResultCode::BadRequest,
                    err.to_string(),
                ));
            }
        };
        let outcome = self
            .execute(&command, operator, runner)
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

    fn authenticate(&self, request: &rouille::Request) -> Option<String> {
        let token = request.header("Authorization")?.strip_prefix("Bearer ")?;
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
            "table": { "reads": self.table.call_counts().0, "writes": self.table.call_counts().1 },
            "control": {
                "received_bytes": self.counters.received_bytes(),
                "sent_bytes": self.counters.sent_bytes(),
                "messages": self.counters.messages(),
            },
        })
    }
}

fn response(outcome: &CommandOutcome) -> rouille::Response {
    let code = ResultCode::from_number(outcome.code).unwrap_or(ResultCode::Internal);
    rouille::Response::json(outcome)
        .with_status_code(code.http_status())
        .with_unique_header("Fulmarline-Result", code.to_string())
}

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 * 1024;

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
