//! The signal that the settings file has changed.

use std::path::PathBuf;

use platform::NodeSettings;
use slog::{Logger, info, warn};
use tokio::signal::unix::{self, SignalKind};

/// Reads the settings again at each SIGHUP and logs what they say; without it the signal would end the process.
///
/// Addresses and bounds are those of the start: a process whose own addresses change is replaced by the platform.
pub(crate) async fn watch(path: PathBuf, started_with: NodeSettings, log: Logger) {
    let mut hangup = match unix::signal(SignalKind::hangup()) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "changes of settings will not be noticed"; "error" => err.to_string());
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match NodeSettings::read(&path) {
            Ok(read) if read == started_with => {
                info!(log, "settings read again"; "changed" => false)
            }
            Ok(_) => {
                warn!(log, "settings read again"; "changed" => true, "in_force_after" => "restart")
            }
            Err(err) => warn!(log, "settings not read again"; "error" => format!("{err:#}")),
        }
    }
}
