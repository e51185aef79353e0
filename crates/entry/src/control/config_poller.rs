//! Reads the newest configuration from the table.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use control::ConfigSource;
use model::{CommandId, ConfigRevision, FleetConfig};
use serde::{Deserialize, Serialize};
use settings::EntrySettings;
use slog::{Logger, warn};
use upstream::{TableClient, TableError};

use crate::control::control_event::ControlEvent;
use crate::control::control_snapshot::{ControlSnapshot, SnapshotCell};

/// Key of the row that holds the newest configuration.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Key of the small row that says which revision the head row holds, so that a poll costs few bytes.
pub(crate) const NEWEST_KEY: &str = "config/newest";

/// What the row under [`NEWEST_KEY`] holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct NewestRow {
    /// The newest revision.
    pub(crate) revision: ConfigRevision,
    /// The command that made it; `None` before the first.
    pub(crate) command: Option<CommandId>,
    /// The operator who gave the command.
    pub(crate) operator: String,
}

/// Starts the thread that polls the table.
///
/// Only a few entries of a zone poll often; the others learn from their peers and poll seldom, as a
/// net. The ranks follow from the view of live entries, so no lease is needed.
pub(crate) fn start_poller(
    settings: &Arc<EntrySettings>,
    table: TableClient,
    snapshots: Arc<SnapshotCell>,
    events: Sender<ControlEvent>,
    log: Logger,
) -> anyhow::Result<()> {
    let settings = settings.clone();
    std::thread::Builder::new()
        .name("config-poller".to_string())
        .spawn(move || {
            // Entries that were started together must not ask together.
            std::thread::sleep(jitter(START_SPREAD) / 2);
            let mut failures = 0;
            loop {
                let snapshot = snapshots.load();
                match poll(&snapshot, &table) {
                    Ok(event) => {
                        failures = 0;
                        if events.send(event).is_err() {
                            return;
                        }
                    }
                    Err(err) => {
                        failures += 1;
                        warn!(log, "configuration was not read"; "reason" => %err);
                    }
                }
                let often = is_poller(&settings, &snapshot) || snapshot.config.is_none();
                let interval = if often { POLL_INTERVAL } else { NET_INTERVAL };
                let backoff = POLL_INTERVAL * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
                std::thread::sleep(jitter(if failures > 0 { backoff } else { interval }));
            }
        })?;
    Ok(())
}

/// Reads the newest configuration and the version of its row.
pub(crate) fn read_head(table: &TableClient) -> Result<(FleetConfig, Option<u64>), TableError> {
    let Some(row) = table.read(HEAD_KEY)? else {
        return Ok((FleetConfig::default(), None));
    };
    let config =
        serde_json::from_value(row.value).map_err(|err| TableError::Unknown(err.to_string()))?;
    Ok((config, Some(row.version)))
}

/// Reads the small row about the newest revision.
pub(crate) fn read_newest(table: &TableClient) -> Result<NewestRow, TableError> {
    match table.read(NEWEST_KEY)? {
        None => Ok(NewestRow::default()),
        Some(row) => {
            serde_json::from_value(row.value).map_err(|err| TableError::Unknown(err.to_string()))
        }
    }
}

fn poll(snapshot: &ControlSnapshot, table: &TableClient) -> Result<ControlEvent, TableError> {
    let newest = read_newest(table)?.revision;
    if snapshot.held.is_some_and(|it| it >= newest) {
        return Ok(ControlEvent::Heard(newest, ConfigSource::Table));
    }
    let (config, _) = read_head(table)?;
    Ok(ControlEvent::Config(Box::new(config), ConfigSource::Table))
}

fn is_poller(settings: &EntrySettings, snapshot: &ControlSnapshot) -> bool {
    let host = &settings.host;
    let others = snapshot.entries.values().map(|it| &it.row);
    let zone = others.filter(|it| it.zone == host.zone && !it.leaving);
    let rank = control::rendezvous_rank(host.zone.as_str(), &host.name, zone.map(|it| &it.host));
    rank < POLLERS_PER_ZONE
}

/// Returns `interval` give or take a quarter of it.
fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.75..1.25))
}

/// Entries of a zone that poll often; the second covers for the first until its death is noticed.
const POLLERS_PER_ZONE: usize = 2;

/// Time between polls of an entry that polls often.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between polls of the other entries; within the time in which a revision must be in force.
const NET_INTERVAL: Duration = Duration::from_secs(10);

/// Time over which the first polls of entries that start together are spread.
const START_SPREAD: Duration = Duration::from_millis(400);

/// Doublings of the poll interval after failures: at most 8 s apart.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
