//! Plans and commits operators' commands.

use std::collections::BTreeSet;
use std::time::Duration;

use control::{Change, CommandError, PlanContext, Statement};
use model::{
    CommandId, ConfigDelta, ConfigRevision, FleetConfig, HostName, ModelName, ResultCode,
    VersionLabel,
};
use serde::{Deserialize, Serialize};
use upstream::{
    CallError, HostListClient, SourceClient, TableClient, TableError, TableTransaction,
};

use crate::control::command_outcome::CommandOutcome;
use crate::control::config_poller::{HEAD_KEY, NEWEST_KEY, NewestRow, read_config, read_newest};
use crate::control::control_snapshot::ControlSnapshot;

/// The services that commands are executed against.
#[derive(Clone, Debug)]
pub(crate) struct CommandRunner {
    /// Stores the configuration.
    pub(crate) table: TableClient,
    /// Serves the manifests of versions.
    pub(crate) source: SourceClient,
    /// The platform's list of hosts; `None` if it has none.
    pub(crate) hosts: Option<HostListClient>,
}

/// A command as submitted by an operator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubmittedCommand<'a> {
    /// The statement.
    pub(crate) text: &'a str,
    /// The command's idempotency key: submitting the same id again has no further effect.
    pub(crate) id: &'a CommandId,
    /// The name of the operator.
    pub(crate) operator: &'a str,
}

/// The table row of a committed command, which makes a retry of the command idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CommandRow {
    revision: ConfigRevision,
    operator: String,
    text: String,
}

/// The committed revision, and the new configuration if this call committed it.
pub(crate) type CommittedRevision = (ConfigRevision, Option<FleetConfig>);

impl CommandRunner {
    /// Plans and commits `change`.
    ///
    /// The transaction expects the version of the head row that was read and the absence of the command's
    /// row. Thus only one of two concurrent commands is committed, and the command's row shows whether a
    /// transaction whose reply was lost took effect.
    pub(crate) fn commit(
        &self,
        change: &Change,
        command: SubmittedCommand<'_>,
        snapshot: &ControlSnapshot,
    ) -> Result<CommittedRevision, CommandOutcome> {
        let command_key = format!("config/command/{}", command.id);
        if let Some(row) = self.table.read(&command_key).map_err(table_unavailable)? {
            return previous_result(row.value, command);
        }
        let (mut config, version) = read_config(&self.table).map_err(table_unavailable)?;
        let changes = self
            .plan(change, &config, command.id, snapshot)
            .map_err(|err| CommandOutcome::invalid(&err))?;
        let delta = ConfigDelta {
            revision: config.revision.next(),
            command: command.id.clone(),
            operator: command.operator.to_string(),
            changes,
        };
        delta.apply(&mut config);
        let transaction = config_transaction(&config, version, &delta, command);
        match self.table.transact(&transaction) {
            Ok(_) => Ok((config.revision, Some(config))),
            Err(TableError::Conflict { .. }) => self.resolve_outcome(&command_key, command, true),
            Err(TableError::OutcomeUnknown(_)) => {
                self.resolve_outcome(&command_key, command, false)
            }
            Err(err @ TableError::Unavailable(_)) => Err(table_unavailable(err)),
        }
    }

    fn plan(
        &self,
        change: &Change,
        config: &FleetConfig,
        id: &CommandId,
        snapshot: &ControlSnapshot,
    ) -> Result<Vec<model::ConfigChange>, CommandError> {
        let manifest = match change {
            Change::Rollout { model, label, .. } => Some(
                self.source
                    .manifest(&model.value, &label.value)
                    .map_err(|err| manifest_error(&err, &model.value, &label.value)),
            ),
            _ => None,
        };
        let manifest = manifest
            .as_ref()
            .map(|it| it.as_ref().map_err(String::as_str));
        let context = PlanContext {
            command: id,
            hosts: &self.known_hosts(change, snapshot),
            manifest,
        };
        control::plan_change(change, config, &context)
    }

    /// Returns the hosts that a drain may name: those that send heartbeats and those on the platform's list.
    /// The list alone does not suffice because its updates are delayed.
    fn known_hosts(&self, change: &Change, snapshot: &ControlSnapshot) -> BTreeSet<HostName> {
        let mut hosts: BTreeSet<_> = snapshot.targets.keys().cloned().collect();
        let names_host = matches!(change, Change::Drain(_) | Change::Undrain(_));
        if let Some(list) = self.hosts.as_ref().filter(|_| names_host) {
            let listed = list.hosts().unwrap_or_default();
            hosts.extend(listed.into_iter().map(|it| it.host));
        }
        hosts
    }

    /// Determines from the command's row whether the command was committed.
    fn resolve_outcome(
        &self,
        command_key: &str,
        command: SubmittedCommand<'_>,
        is_conflict: bool,
    ) -> Result<CommittedRevision, CommandOutcome> {
        let mut reason = "the table's reply was lost".to_string();
        for _ in 0..RESOLVE_READS {
            match self.table.read(command_key) {
                Ok(Some(row)) => return previous_result(row.value, command),
                Ok(None) if is_conflict => return Err(self.conflict_outcome()),
                // The transaction may still be in flight, so a missing row does not show that it failed.
                Ok(None) => reason = "the table's reply was lost".to_string(),
                Err(err) => reason = err.to_string(),
            }
            std::thread::sleep(RESOLVE_READ_INTERVAL);
        }
        let message = format!("{reason}; retry with the command id {}", command.id);
        Err(CommandOutcome::new(ResultCode::CommandUnknown, message))
    }

    fn conflict_outcome(&self) -> CommandOutcome {
        let winner = match read_newest(&self.table) {
            Ok(NewestRow {
                revision,
                command: Some(command),
                operator,
            }) => {
                format!("revision {revision} by {operator} (command {command}) was committed first")
            }
            _ => "another command was committed first".to_string(),
        };
        let message = format!("conflict: {winner}; this command was not applied");
        CommandOutcome::new(ResultCode::Conflict, message)
    }
}

/// Parses `text` as a statement.
pub(crate) fn parse_statement(text: &str) -> Result<Statement, CommandOutcome> {
    control::parse(text).map_err(|err| CommandOutcome::invalid(&err))
}

fn config_transaction(
    config: &FleetConfig,
    version: Option<u64>,
    delta: &ConfigDelta,
    command: SubmittedCommand<'_>,
) -> TableTransaction {
    let command_key = format!("config/command/{}", command.id);
    let row = CommandRow {
        revision: config.revision,
        operator: command.operator.to_string(),
        text: command.text.to_string(),
    };
    let newest = NewestRow {
        revision: config.revision,
        command: Some(command.id.clone()),
        operator: command.operator.to_string(),
    };
    TableTransaction::default()
        .expect(HEAD_KEY, version)
        .expect(&command_key, None)
        .put(HEAD_KEY, to_value(config))
        .put(NEWEST_KEY, to_value(&newest))
        .put(
            format!("config/delta/{:016}", config.revision.0),
            to_value(delta),
        )
        .put(&command_key, to_value(&row))
}

fn previous_result(
    value: serde_json::Value,
    command: SubmittedCommand<'_>,
) -> Result<CommittedRevision, CommandOutcome> {
    let row: CommandRow = serde_json::from_value(value)
        .map_err(|err| CommandOutcome::new(ResultCode::Internal, err.to_string()))?;
    if row.text != command.text {
        let message = format!(
            "the command id was already used for {:?} at revision {}",
            row.text, row.revision
        );
        return Err(CommandOutcome::new(ResultCode::KeyReused, message));
    }
    Ok((row.revision, None))
}

fn table_unavailable(err: TableError) -> CommandOutcome {
    CommandOutcome::new(ResultCode::TableUnavailable, err.to_string())
}

fn to_value<T: Serialize>(it: &T) -> serde_json::Value {
    serde_json::to_value(it).expect("rows can be serialized to JSON")
}

/// Maximum number of reads of the command's row before its outcome is reported as unknown.
const RESOLVE_READS: usize = 5;

/// Interval between these reads.
const RESOLVE_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the message for a manifest that cannot be read.
fn manifest_error(err: &CallError, model: &ModelName, label: &VersionLabel) -> String {
    match err {
        CallError::NotFound => format!("the origin has no version {label} of the model {model}"),
        _ => format!("cannot read the manifest of version {label} of the model {model}: {err}"),
    }
}
