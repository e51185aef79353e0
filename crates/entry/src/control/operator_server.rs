//! The operators' listener: commands and the dump of state.

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

use crate::control::command_outcome::CommandOutcome;
use crate::control::command_runner::{CommandRunner, GivenCommand, read_statement};
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::SnapshotCell;
use crate::control::in_force::count_in_force;
use crate::control::query_rows::collect_rows;

/// What the operators' listener needs.
#[derive(Clone)]
pub(crate) struct OperatorServer {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) table: TableClient,
    pub(crate) events: Sender<ControlEvent>,
    pub(crate) counters: WireCounters,
    pub(crate) log: Logger,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommandRequest {
    command: String,
    id: CommandId,
    /// How long to wait until the command is in force on every host, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

impl OperatorServer {
    /// Answers operators on threads of its own.
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
        let server = rouille::Server::new(address, move |request| self.answer(request, &runner))
            .map_err(|err| anyhow::anyhow!("{err}"))
            .with_context(|| format!("cannot listen on {address}"))?;
        std::thread::Builder::new()
            .name("operators".to_string())
            .spawn(move || server.run())?;
        Ok(())
    }

    fn answer(&self, request: &rouille::Request, runner: &CommandRunner) -> rouille::Response {
        let Some(operator) = self.operator(request) else {
            warn!(self.log, "operator refused"; "peer" => %request.remote_addr());
            return reply(&CommandOutcome::new(
                ResultCode::Unauthorized,
                "the token is missing or unknown",
            ));
        };
        match (request.method(), request.url().as_str()) {
            ("GET", "/debug/state") => rouille::Response::json(&self.dump()),
            ("POST", "/v1/command") => self.command(request, &operator, runner),
            _ => reply(&CommandOutcome::new(ResultCode::NotFound, "no such path")),
        }
    }

    fn command(
        &self,
        request: &rouille::Request,
        operator: &str,
        runner: &CommandRunner,
    ) -> rouille::Response {
        let mut text = String::new();
        let Some(body) = request.data() else {
            return reply(&CommandOutcome::new(
                ResultCode::BadRequest,
                "the body is missing",
            ));
        };
        if let Err(err) = body.take(MAX_COMMAND_BYTES).read_to_string(&mut text) {
            return reply(&CommandOutcome::new(
                ResultCode::BadRequest,
                err.to_string(),
            ));
        }
        let command: CommandRequest = match serde_json::from_str(&text) {
            Ok(it) => it,
            Err(err) => {
                return reply(&CommandOutcome::new(
                    ResultCode::BadRequest,
                    err.to_string(),
                ));
            }
        };
        let outcome = self.run(&command, operator, runner).unwrap_or_else(|it| it);
        info!(self.log, "command"; "command_id" => %command.id, "operator" => operator,
            "text" => &command.command, "result" => outcome.name);
        reply(&outcome)
    }

    fn run(
        &self,
        command: &CommandRequest,
        operator: &str,
        runner: &CommandRunner,
    ) -> Result<CommandOutcome, CommandOutcome> {
        let snapshot = self.snapshots.load();
        let change = match read_statement(&command.command)? {
            Statement::Change(it) => it,
            Statement::Query(query) => {
                let hosts = runner.hosts.as_ref();
                let rows = collect_rows(query.table, &snapshot, &self.table, hosts);
                return Ok(CommandOutcome::answered(control::answer_query(
                    &query, rows,
                )));
            }
        };
        let given = GivenCommand {
            text: &command.command,
            id: &command.id,
            operator,
        };
        let (revision, config) = runner.commit(&change, given, &snapshot)?;
        if let Some(config) = config {
            let event = ControlEvent::Config(Box::new(config), ConfigSource::Table);
            let _ = self.events.send(event);
        }
        let wait = Duration::from_millis(command.wait_ms).min(MAX_WAIT);
        Ok(self.wait_in_force(revision, wait))
    }

    /// Answers as soon as the revision is in force on every live host, or after `wait`.
    fn wait_in_force(&self, revision: ConfigRevision, wait: Duration) -> CommandOutcome {
        let start = Instant::now();
        loop {
            let snapshot = self.snapshots.load();
            let in_force = count_in_force(&snapshot, revision);
            // Whoever asks this entry next must find the command's effect, so it waits for itself.
            let own = snapshot.held.is_some_and(|it| it >= revision) || start.elapsed() >= OWN_WAIT;
            if in_force.count == in_force.of || own && start.elapsed() >= wait {
                return CommandOutcome {
                    in_force: Some(Box::new(in_force)),
                    ..CommandOutcome::accepted(revision)
                };
            }
            std::thread::sleep(WAIT_STEP);
        }
    }

    fn operator(&self, request: &rouille::Request) -> Option<String> {
        let token = request.header("Authorization")?.strip_prefix("Bearer ")?;
        let known = self
            .settings
            .operators
            .iter()
            .find(|it| it.token.matches(token))?;
        Some(known.name.clone())
    }

    fn dump(&self) -> serde_json::Value {
        let snapshot = self.snapshots.load();
        json!({
            "role": "entry",
            "own": snapshot.own,
            "config": snapshot.config.as_deref(),
            "config_held": snapshot.held,
            "config_age_ms": snapshot.confirmed.map(|it| it.elapsed().as_millis() as u64),
            "targets": snapshot.targets.values().map(|it| json!({
                "row": it.row, "age_ms": it.last_seen.elapsed().as_millis() as u64, "direct": it.is_direct(),
            })).collect::<Vec<_>>(),
            "entries": snapshot.entries.values().map(|it| json!({
                "row": it.row, "age_ms": it.seen.elapsed().as_millis() as u64,
            })).collect::<Vec<_>>(),
            "permits": snapshot.permits,
            "table": { "reads": self.table.counts().0, "writes": self.table.counts().1 },
            "control": {
                "received_bytes": self.counters.received_bytes(),
                "sent_bytes": self.counters.sent_bytes(),
                "messages": self.counters.messages(),
            },
        })
    }
}

fn reply(outcome: &CommandOutcome) -> rouille::Response {
    let code = ResultCode::from_number(outcome.code).unwrap_or(ResultCode::Internal);
    rouille::Response::json(outcome)
        .with_status_code(code.http_status())
        .with_unique_header("Fulmarline-Result", code.to_string())
}

/// Largest command.
const MAX_COMMAND_BYTES: u64 = 64 * 1024;

/// Time to read a manifest.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time to read the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a command to be in force.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Longest wait for this entry itself to hold what it has accepted.
const OWN_WAIT: Duration = Duration::from_secs(1);

/// Time between looks while waiting.
const WAIT_STEP: Duration = Duration::from_millis(10);
