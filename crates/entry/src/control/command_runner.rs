//! Carries out the commands of operators.

use std::collections::BTreeSet;

use control::{Change, PlanContext, Statement};
use model::{CommandId, ConfigDelta, ConfigRevision, ResultCode, WeightManifest};
use platform::{SourceClient, TableClient, TableError, TableTransaction};
use serde::{Deserialize, Serialize};

use crate::control::config_poller::{HEAD_KEY, read_head};
use crate::control::control_snapshot::ControlSnapshot;

/// What became of a command.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CommandOutcome {
    pub(crate) code: u16,
    pub(crate) name: &'static str,
    pub(crate) message: String,
    /// The revision that the command made, where it was accepted.
    pub(crate) revision: Option<ConfigRevision>,
}

/// The row that makes a command safe to repeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CommandRow {
    revision: ConfigRevision,
    operator: String,
    text: String,
}

impl CommandOutcome {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            name: code.name(),
            message: message.into(),
            revision: None,
        }
    }

    fn accepted(revision: ConfigRevision) -> Self {
        let message = format!("accepted at revision {revision}");
        Self {
            revision: Some(revision),
            ..Self::new(ResultCode::Ok, message)
        }
    }
}

/// Parses and runs `text`; a repeat with the same id has no second effect.
pub(crate) fn run_command(
    text: &str,
    id: &CommandId,
    operator: &str,
    snapshot: &ControlSnapshot,
    table: &TableClient,
    source: &SourceClient,
) -> (CommandOutcome, Option<model::FleetConfig>) {
    let change = match control::parse(text) {
        Ok(Statement::Change(it)) => it,
        Ok(Statement::Query(_)) => {
            return (
                CommandOutcome::new(ResultCode::NotFound, "queries are not answered yet"),
                None,
            );
        }
        Err(err) => {
            return (
                CommandOutcome::new(ResultCode::BadCommand, err.to_string()),
                None,
            );
        }
    };
    commit(&change, text, id, operator, snapshot, table, source).map_or_else(
        |outcome| (outcome, None),
        |config| (CommandOutcome::accepted(config.0), config.1),
    )
}

type Committed = (ConfigRevision, Option<model::FleetConfig>);

fn commit(
    change: &Change,
    text: &str,
    id: &CommandId,
    operator: &str,
    snapshot: &ControlSnapshot,
    table: &TableClient,
    source: &SourceClient,
) -> Result<Committed, CommandOutcome> {
    let command_key = format!("config/command/{id}");
    if let Some(row) = table.read(&command_key).map_err(|err| unavailable(&err))? {
        return known_command(row.value, text);
    }
    let (mut config, version) = read_head(table).map_err(|err| unavailable(&err))?;
    let manifest = match change {
        Change::Rollout { model, label, .. } => Some(
            source
                .manifest(&model.value, &label.value)
                .map_err(|err| CommandOutcome::new(ResultCode::NotFound, err.to_string()))?,
        ),
        _ => None,
    };
    let hosts: BTreeSet<_> = snapshot.targets.keys().cloned().collect();
    let context = PlanContext {
        command: id,
        hosts: &hosts,
        manifest: manifest.as_ref().map(Ok::<&WeightManifest, &str>),
    };
    let changes = control::plan_change(change, &config, &context)
        .map_err(|err| CommandOutcome::new(ResultCode::BadCommand, err.to_string()))?;
    let revision = config.revision.next();
    let delta = ConfigDelta {
        revision,
        command: id.clone(),
        operator: operator.to_string(),
        changes,
    };
    delta.apply(&mut config);
    let row = CommandRow {
        revision,
        operator: operator.to_string(),
        text: text.to_string(),
    };
    let transaction = TableTransaction::default()
        .expect(HEAD_KEY, version)
        .expect(&command_key, None)
        .put(HEAD_KEY, to_value(&config))
        .put(&command_key, to_value(&row));
    match table.transact(&transaction) {
        Ok(_) => Ok((revision, Some(config))),
        Err(TableError::Conflict { .. }) => {
            let message = "another command was accepted first; nothing of this one was applied";
            Err(CommandOutcome::new(ResultCode::Conflict, message))
        }
        Err(TableError::Unavailable(reason)) => Err(unavailable(&TableError::Unavailable(reason))),
        Err(TableError::Unknown(reason)) => match table.read(&command_key) {
            Ok(Some(row)) => known_command(row.value, text),
            Ok(None) => Err(CommandOutcome::new(ResultCode::CommandUnknown, reason)),
            Err(err) => Err(CommandOutcome::new(
                ResultCode::CommandUnknown,
                err.to_string(),
            )),
        },
    }
}

fn known_command(value: serde_json::Value, text: &str) -> Result<Committed, CommandOutcome> {
    let row: CommandRow = serde_json::from_value(value)
        .map_err(|err| CommandOutcome::new(ResultCode::Internal, err.to_string()))?;
    if row.text != text {
        let message = format!(
            "this id was used for {:?} at revision {}",
            row.text, row.revision
        );
        return Err(CommandOutcome::new(ResultCode::KeyReused, message));
    }
    Ok((row.revision, None))
}

fn unavailable(err: &TableError) -> CommandOutcome {
    CommandOutcome::new(ResultCode::TableUnavailable, err.to_string())
}

fn to_value<T: Serialize>(it: &T) -> serde_json::Value {
    serde_json::to_value(it).expect("rows are plain data with text keys")
}
