//! Handling of SIGHUP, which signals that the settings file has changed.

use std::path::PathBuf;

use platform::NodeSettings;
use slog::{Logger, info, warn};
use tokio::signal::unix::{self, SignalKind};

/// Reads the settings file on each SIGHUP and logs whether it differs from the settings in use. Without a handler, the
/// signal would terminate the process.
///
/// Changed settings, such as addresses and limits, are not applied to the running process: the platform replaces a
/// process whose own addresses change.
pub(crate) async fn watch(path: PathBuf, initial: NodeSettings, log: Logger) {
    let mut hangup = match unix::signal(SignalKind::hangup()) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "SIGHUP is not handled, changed settings will not be detected"; "error" => err.to_string());
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match NodeSettings::read(&path) {
            Ok(current) if current == initial => {
                info!(log, "settings file re-read"; "changed" => false)
            }
            Ok(_) => {
                warn!(log, "settings file re-read"; "changed" => true, "in_force_after" => "restart")
            }
            Err(err) => {
                warn!(log, "cannot re-read the settings file"; "error" => format!("{err:#}"))
            }
        }
    }
}
