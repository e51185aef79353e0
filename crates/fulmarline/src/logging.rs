//! Logs as JSON lines on standard error.

use settings::{HostSettings, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};

/// Starts a logger whose every line names the role, the host and its zone.
pub(crate) fn start(role: &'static str, host: &HostSettings, settings: &LogSettings) -> Logger {
    let lines = slog_json::Json::default(std::io::stderr());
    let drain = slog_async::Async::new(lines.fuse())
        .chan_size(QUEUE_LINES)
        .build()
        .filter_level(level(settings.level))
        .fuse();
    Logger::root(
        drain,
        o!("role" => role, "host" => host.name.to_string(), "zone" => host.zone.to_string()),
    )
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}

/// Lines that wait to be written; more are dropped and counted by the logger.
const QUEUE_LINES: usize = 4096;
