//! The operators' listener: commands and the dump of state.

use std::io::Read;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use anyhow::Context;
use model::{CommandId, ResultCode};
use platform::{SourceClient, TableClient};
use serde::Deserialize;
use serde_json::json;
use settings::EntrySettings;
use slog::{Logger, info, warn};
use wire::WireCounters;

use crate::control::command_runner::{self, CommandOutcome};
use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::SnapshotCell;

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
}

impl OperatorServer {
    /// Answers operators on threads of its own.
    pub(crate) fn start(self) -> anyhow::Result<()> {
        let address = self.settings.listen.operators;
        let source = SourceClient::new(self.settings.sources.origin, SOURCE_TIMEOUT);
        let server = rouille::Server::new(address, move |request| self.answer(request, &source))
            .map_err(|err| anyhow::anyhow!("{err}"))
            .with_context(|| format!("cannot listen on {address}"))?;
        std::thread::Builder::new()
            .name("operators".to_string())
            .spawn(move || server.run())?;
        Ok(())
    }

    fn answer(&self, request: &rouille::Request, source: &SourceClient) -> rouille::Response {
        let Some(operator) = self.operator(request) else {
            warn!(self.log, "operator refused"; "peer" => %request.remote_addr());
            return reply(&CommandOutcome::new(
                ResultCode::Unauthorized,
                "the token is missing or unknown",
            ));
        };
        match (request.method(), request.url().as_str()) {
            ("GET", "/debug/state") => rouille::Response::json(&self.dump()),
            ("POST", "/v1/command") => self.command(request, &operator, source),
            _ => reply(&CommandOutcome::new(ResultCode::NotFound, "no such path")),
        }
    }

    fn command(
        &self,
        request: &rouille::Request,
        operator: &str,
        source: &SourceClient,
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
        let snapshot = self.snapshots.load();
        let (outcome, config) = command_runner::run_command(
            &command.command,
            &command.id,
            operator,
            &snapshot,
            &self.table,
            source,
        );
        info!(self.log, "command"; "command_id" => %command.id, "operator" => operator,
            "text" => &command.command, "result" => outcome.name);
        if let Some(config) = config {
            let _ = self.events.send(ControlEvent::Config(Box::new(config)));
        }
        reply(&outcome)
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
            "targets": snapshot.targets.values().map(|it| json!({
                "row": it.row, "age_ms": it.seen.elapsed().as_millis() as u64, "direct": it.direct,
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
