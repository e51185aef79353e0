//! Logging as JSON lines to standard error, or to standard output on the users' platform.

use std::panic;

use settings::{HostSettings, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV, crit, o};
use slog_async::AsyncGuard;

/// Starts a logger that adds the role, the host and its availability zone to every line.
///
/// A separate thread writes the lines, so that a slow reader of the log never blocks request handling. Dropping the
/// guard writes the lines that are still queued.
pub(crate) fn start(
    role: &'static str,
    host: &HostSettings,
    settings: &LogSettings,
) -> (Logger, AsyncGuard) {
    let context =
        o!("role" => role, "host" => host.name.to_string(), "zone" => host.zone.to_string());
    start_with_output(std::io::stderr(), level(settings.level), context)
}

/// Starts a logger that writes to standard output, from which the platform collects logs.
pub(crate) fn start_on_platform(
    role: &'static str,
    node: &str,
    zone: &str,
) -> (Logger, AsyncGuard) {
    let context = o!("role" => role, "host" => node.to_owned(), "zone" => zone.to_owned());
    start_with_output(std::io::stdout(), Level::Info, context)
}

fn start_with_output(
    output: impl std::io::Write + Send + 'static,
    level: Level,
    context: OwnedKV<impl SendSyncRefUnwindSafeKV + 'static>,
) -> (Logger, AsyncGuard) {
    let lines = slog_json::Json::default(output);
    let (drain, guard) = slog_async::Async::new(lines.fuse())
        .chan_size(LOG_QUEUE_CAPACITY)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    let log = Logger::root(drain, context);
    log_panics(log.clone());
    (log, guard)
}

/// Installs a hook that logs panics of all threads as JSON lines. The default hook's plain text on standard error would
/// break the log format.
fn log_panics(log: Logger) {
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        let message = info.payload_as_str().unwrap_or("no message");
        crit!(log, "a thread panicked"; "place" => location, "message" => message);
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

/// Maximum number of lines that are queued for writing. The logger drops further lines and counts them.
const LOG_QUEUE_CAPACITY: usize = 4096;
