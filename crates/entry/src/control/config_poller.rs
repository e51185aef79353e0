//! Polls the table for the newest configuration.

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

/// Key of a small row with the revision number of the head row. Polls read this row first, so that they
/// transfer few bytes.
pub(crate) const NEWEST_KEY: &str = "config/newest";

/// The row under [`NEWEST_KEY`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct NewestRow {
    /// The newest revision.
    pub(crate) revision: ConfigRevision,
    /// The command that created it; `None` before the first command.
    pub(crate) command: Option<CommandId>,
    /// The operator who submitted the command.
    pub(crate) operator: String,
}

/// Starts the thread that polls the table.
///
/// Only a few entries of each zone poll frequently. The others receive new revisions from their peers
/// and poll rarely, as a fallback. Each entry computes its rank from its own view of the live entries, so
/// that no lease is needed.
pub(crate) fn start_config_poller(
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
            // Prevents entries that start together from polling at the same time.
            std::thread::sleep(jitter(START_DELAY) / 2);
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
                        warn!(log, "cannot read the configuration"; "reason" => %err);
                    }
                }
                let is_frequent = is_zone_poller(&settings, &snapshot) || snapshot.config.is_none();
                let interval = if is_frequent {
                    POLL_INTERVAL
                } else {
                    FALLBACK_INTERVAL
                };
                let backoff = POLL_INTERVAL * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
                std::thread::sleep(jitter(if failures > 0 { backoff } else { interval }));
            }
        })?;
    Ok(())
}

/// Reads the newest configuration and the version of its table row.
pub(crate) fn read_config(table: &TableClient) -> Result<(FleetConfig, Option<u64>), TableError> {
    let Some(row) = table.read(HEAD_KEY)? else {
        return Ok((FleetConfig::default(), None));
    };
    let config = serde_json::from_value(row.value)
        .map_err(|err| TableError::OutcomeUnknown(err.to_string()))?;
    Ok((config, Some(row.version)))
}

/// Reads the row under [`NEWEST_KEY`].
pub(crate) fn read_newest(table: &TableClient) -> Result<NewestRow, TableError> {
    match table.read(NEWEST_KEY)? {
        None => Ok(NewestRow::default()),
        Some(row) => serde_json::from_value(row.value)
            .map_err(|err| TableError::OutcomeUnknown(err.to_string())),
    }
}

fn poll(snapshot: &ControlSnapshot, table: &TableClient) -> Result<ControlEvent, TableError> {
    let newest = read_newest(table)?.revision;
    if snapshot.held_revision.is_some_and(|it| it >= newest) {
        return Ok(ControlEvent::RevisionObserved(newest, ConfigSource::Table));
    }
    let (config, _) = read_config(table)?;
    Ok(ControlEvent::Config(Box::new(config), ConfigSource::Table))
}

fn is_zone_poller(settings: &EntrySettings, snapshot: &ControlSnapshot) -> bool {
    let host = &settings.host;
    let others = snapshot.entries.values().map(|it| &it.row);
    let zone = others.filter(|it| it.zone == host.zone && !it.leaving);
    let rank = control::rendezvous_rank(host.zone.as_str(), &host.name, zone.map(|it| &it.host));
    rank < POLLERS_PER_ZONE
}

/// Returns `interval` changed at random by up to a quarter.
fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.75..1.25))
}

/// Number of entries in each zone that poll frequently. If one of them fails, the other one continues to
/// poll until the failure is detected.
const POLLERS_PER_ZONE: usize = 2;

/// Poll interval of the entries that poll frequently.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Poll interval of the other entries. It does not exceed the time within which a revision must be in
/// force.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(10);

/// Twice the mean delay before the first poll. With the jitter of a quarter, the first polls of entries
/// that start together are spread over 100 ms.
const START_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of times that the poll interval doubles after failures, which limits it to 8 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
