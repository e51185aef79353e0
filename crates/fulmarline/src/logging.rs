//! Logs as JSON lines on standard error, or on standard output for the users' platform.

use std::panic;

use settings::{HostSettings, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, crit, o};
use slog_async::AsyncGuard;

/// Starts a logger whose every line names the role, the host and its availability zone.
///
/// Lines are written by a thread of its own, so that a slow reader never holds traffic up. The guard writes what is
/// left when it is dropped.
pub(crate) fn start(
    role: &'static str,
    host: &HostSettings,
    settings: &LogSettings,
) -> (Logger, AsyncGuard) {
    let place =
        o!("role" => role, "host" => host.name.to_string(), "zone" => host.zone.to_string());
    start_on(std::io::stderr(), level(settings.level), place)
}

/// Starts a logger on standard output, where the platform collects logs.
pub(crate) fn start_on_platform(
    role: &'static str,
    node: &str,
    zone: &str,
) -> (Logger, AsyncGuard) {
    let place = o!("role" => role, "host" => node.to_owned(), "zone" => zone.to_owned());
    start_on(std::io::stdout(), Level::Info, place)
}

fn start_on(
    output: impl std::io::Write + Send + 'static,
    level: Level,
    place: OwnedKV<impl SendSyncRefUnwindSafeKV + 'static>,
) -> (Logger, AsyncGuard) {
    let lines = slog_json::Json::default(output);
    let (drain, guard) = slog_async::Async::new(lines.fuse())
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    let log = Logger::root(drain, place);
    log_panics(log.clone());
    (log, guard)
}

/// Logs a panic of any thread as a line like all others, since a text on standard error would break the format.
fn log_panics(log: Logger) {
    panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let message = info.payload_as_str().unwrap_or("no message");
        crit!(log, "a thread panicked"; "place" => place, "message" => message);
    }));
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
