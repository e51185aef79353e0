//! Carries out the commands of operators.

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
use crate::control::config_poller::{HEAD_KEY, NEWEST_KEY, NewestRow, read_head, read_newest};
use crate::control::control_snapshot::ControlSnapshot;

/// What commands are carried out with.
#[derive(Clone, Debug)]
pub(crate) struct CommandRunner {
    /// Where the configuration is kept.
    pub(crate) table: TableClient,
    /// Where manifests come from.
    pub(crate) source: SourceClient,
    /// The platform's list of hosts, where there is one.
    pub(crate) hosts: Option<HostListClient>,
}

/// One command as an operator gave it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GivenCommand<'a> {
    /// Its text.
    pub(crate) text: &'a str,
    /// Its id; a repeat with the same id has no second effect.
    pub(crate) id: &'a CommandId,
    /// Who gave it.
    pub(crate) operator: &'a str,
}

/// The row that makes a command safe to repeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CommandRow {
    revision: ConfigRevision,
    operator: String,
    text: String,
}

/// What a commit leads to: the revision, and the configuration where this call made it.
pub(crate) type Committed = (ConfigRevision, Option<FleetConfig>);

impl CommandRunner {
    /// Plans and commits `change`.
    ///
    /// One transaction expects the head row's version and the absence of the command's row, so of
    /// two racing commands one wins, and a command whose reply was lost is found by its row.
    pub(crate) fn commit(
        &self,
        change: &Change,
        given: GivenCommand<'_>,
        snapshot: &ControlSnapshot,
    ) -> Result<Committed, CommandOutcome> {
        let command_key = format!("config/command/{}", given.id);
        if let Some(row) = self.table.read(&command_key).map_err(unavailable)? {
            return known_command(row.value, given);
        }
        let (mut config, version) = read_head(&self.table).map_err(unavailable)?;
        let changes = self
            .plan(change, &config, given.id, snapshot)
            .map_err(|err| CommandOutcome::invalid(&err))?;
        let delta = ConfigDelta {
            revision: config.revision.next(),
            command: given.id.clone(),
            operator: given.operator.to_string(),
            changes,
        };
        delta.apply(&mut config);
        let transaction = config_transaction(&config, version, &delta, given);
        match self.table.transact(&transaction) {
            Ok(_) => Ok((config.revision, Some(config))),
            Err(TableError::Conflict { .. }) => self.settle(&command_key, given, true),
            Err(TableError::Unknown(_)) => self.settle(&command_key, given, false),
            Err(err @ TableError::Unavailable(_)) => Err(unavailable(err)),
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
                    .map_err(|err| manifest_problem(&err, &model.value, &label.value)),
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

    /// Returns the hosts that a drain may name. The platform's list lags, so it only adds to what
    /// the heartbeats say.
    fn known_hosts(&self, change: &Change, snapshot: &ControlSnapshot) -> BTreeSet<HostName> {
        let mut hosts: BTreeSet<_> = snapshot.targets.keys().cloned().collect();
        let names_host = matches!(change, Change::Drain(_) | Change::Undrain(_));
        if let Some(list) = self.hosts.as_ref().filter(|_| names_host) {
            let listed = list.hosts().unwrap_or_default();
            hosts.extend(listed.into_iter().map(|it| it.host));
        }
        hosts
    }

    /// Finds out by the command's own row whether it was applied.
    fn settle(
        &self,
        command_key: &str,
        given: GivenCommand<'_>,
        refused: bool,
    ) -> Result<Committed, CommandOutcome> {
        let mut reason = "the table's reply was lost".to_string();
        for _ in 0..SETTLE_READS {
            match self.table.read(command_key) {
                Ok(Some(row)) => return known_command(row.value, given),
                Ok(None) if refused => return Err(self.conflict()),
                // The transaction may still be on its way, so its absence proves nothing yet.
                Ok(None) => reason = "the table's reply was lost".to_string(),
                Err(err) => reason = err.to_string(),
            }
            std::thread::sleep(SETTLE_PAUSE);
        }
        let message = format!("{reason}; ask again with the command id {}", given.id);
        Err(CommandOutcome::new(ResultCode::CommandUnknown, message))
    }

    fn conflict(&self) -> CommandOutcome {
        let winner = match read_newest(&self.table) {
            Ok(NewestRow {
                revision,
                command: Some(command),
                operator,
            }) => format!("revision {revision} by {operator} (command {command}) won"),
            _ => "another command won".to_string(),
        };
        let message = format!("conflict, {winner}; nothing of this command was applied");
        CommandOutcome::new(ResultCode::Conflict, message)
    }
}

/// Reads the statement in `text`.
pub(crate) fn read_statement(text: &str) -> Result<Statement, CommandOutcome> {
    control::parse(text).map_err(|err| CommandOutcome::invalid(&err))
}

fn config_transaction(
    config: &FleetConfig,
    version: Option<u64>,
    delta: &ConfigDelta,
    given: GivenCommand<'_>,
) -> TableTransaction {
    let command_key = format!("config/command/{}", given.id);
    let row = CommandRow {
        revision: config.revision,
        operator: given.operator.to_string(),
        text: given.text.to_string(),
    };
    let newest = NewestRow {
        revision: config.revision,
        command: Some(given.id.clone()),
        operator: given.operator.to_string(),
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

fn known_command(
    value: serde_json::Value,
    given: GivenCommand<'_>,
) -> Result<Committed, CommandOutcome> {
    let row: CommandRow = serde_json::from_value(value)
        .map_err(|err| CommandOutcome::new(ResultCode::Internal, err.to_string()))?;
    if row.text != given.text {
        let message = format!(
            "this id was used for {:?} at revision {}",
            row.text, row.revision
        );
        return Err(CommandOutcome::new(ResultCode::KeyReused, message));
    }
    Ok((row.revision, None))
}

fn unavailable(err: TableError) -> CommandOutcome {
    CommandOutcome::new(ResultCode::TableUnavailable, err.to_string())
}

fn to_value<T: Serialize>(it: &T) -> serde_json::Value {
    serde_json::to_value(it).expect("rows are plain data with text keys")
}

/// Reads of the command's row before its fate is given as unknown.
const SETTLE_READS: usize = 5;

/// Pause between those reads.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Says in a sentence why a rollout has no manifest.
fn manifest_problem(err: &CallError, model: &ModelName, label: &VersionLabel) -> String {
    match err {
        CallError::NotFound => format!("the origin has no version {label} of the model {model}"),
        _ => format!("the manifest of {label} of the model {model} was not read: {err}"),
    }
}
