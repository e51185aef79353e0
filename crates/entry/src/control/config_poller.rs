//! Reads the newest configuration from the table.

use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use model::FleetConfig;
use platform::TableClient;
use settings::EntrySettings;
use slog::{Logger, warn};

use crate::control::control_event::ControlEvent;

/// Key of the row that holds the newest configuration.
pub(crate) const HEAD_KEY: &str = "config/head";

/// Starts the thread that polls the table.
pub(crate) fn start_poller(
    _settings: &Arc<EntrySettings>,
    table: TableClient,
    events: Sender<ControlEvent>,
    log: Logger,
) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name("config-poller".to_string())
        .spawn(move || {
            loop {
                match read_head(&table) {
                    Ok((config, _)) => {
                        if events.send(ControlEvent::Config(Box::new(config))).is_err() {
                            return;
                        }
                    }
                    Err(err) => warn!(log, "configuration was not read"; "reason" => %err),
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        })?;
    Ok(())
}

/// Reads the newest configuration and the version of its row.
pub(crate) fn read_head(
    table: &TableClient,
) -> Result<(FleetConfig, Option<u64>), platform::TableError> {
    let Some(row) = table.read(HEAD_KEY)? else {
        return Ok((FleetConfig::default(), None));
    };
    let config = serde_json::from_value(row.value)
        .map_err(|err| platform::TableError::Unknown(err.to_string()))?;
    Ok((config, Some(row.version)))
}

/// Time between reads.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
