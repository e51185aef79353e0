//! Handling of SIGHUP, which signals that the settings file has changed.

use slog::{Logger, info, warn};
use tokio::signal::unix::{self, SignalKind};

use crate::stop_signal;

/// Waits until a planned stop is requested, and handles SIGHUP meanwhile.
///
/// # Errors
///
/// Returns an error when the handlers of the signals that request a stop cannot be installed.
pub(crate) async fn watch_until_stopped<S: PartialEq>(
    read: impl Fn() -> anyhow::Result<S>,
    initial: S,
    log: Logger,
) -> anyhow::Result<()> {
    let reloads = async {
        watch(read, initial, log).await;
        // Without a handler for SIGHUP, the process still serves requests until it is stopped.
        std::future::pending().await
    };
    tokio::select! {
        stopped = stop_signal::wait() => stopped,
        () = reloads => Ok(()),
    }
}

/// Reads the settings on each SIGHUP and logs whether they differ from those in use. Without a handler, the signal would
/// terminate the process.
///
/// Changed settings, such as addresses and limits, are not applied to the running process: they are in force after its
/// next start.
async fn watch<S: PartialEq>(read: impl Fn() -> anyhow::Result<S>, initial: S, log: Logger) {
    let mut hangup = match unix::signal(SignalKind::hangup()) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "SIGHUP is not handled, changed settings will not be detected"; "error" => err.to_string());
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match read() {
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
