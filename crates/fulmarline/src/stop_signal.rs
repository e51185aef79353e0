//! Signals that request a planned stop.

use tokio::signal::unix::{self, SignalKind};

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when a signal handler cannot be installed.
pub(crate) async fn wait() -> anyhow::Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let mut interrupt = unix::signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
