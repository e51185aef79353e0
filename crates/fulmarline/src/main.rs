//! The `fulmarline` executable, the only one that is shipped: command line, logging and startup of the roles.
//!
//! It must not contain any routing, spread or control decisions.

mod command_line;
mod ctl;
mod exit_status;
mod explain;
mod logging;
mod metrics;
mod node;
mod reload_signal;
mod stop_signal;

use std::path::Path;
use std::process::ExitCode;

use platform::NodeRole;
use settings::Settings;

use crate::command_line::{Fulmarline, FulmarlineCmd};
use crate::exit_status::ExitStatus;

fn main() -> ExitCode {
    let args = Fulmarline::from_env_or_exit();
    if args.version {
        println!("fulmarline {}", env!("CARGO_PKG_VERSION"));
        return ExitStatus::Success.into();
    }
    let status = match args.subcommand {
        FulmarlineCmd::Overview(_) => {
            eprintln!("fulmarline: a command is required, see fulmarline --help");
            ExitStatus::InvalidInput
        }
        FulmarlineCmd::Entry(it) => match &it.settings {
            Some(file) => run(file, RoleName::Entry),
            None => node::run(NodeRole::Entry),
        },
        FulmarlineCmd::Agent(it) => match &it.settings {
            Some(file) => run(file, RoleName::Agent),
            None => node::run(NodeRole::Agent),
        },
        FulmarlineCmd::Ctl(it) => ctl::run(&it),
        FulmarlineCmd::Check(it) => check(&it.file),
        FulmarlineCmd::Explain(it) => explain::run(&it.request, &it.files),
    };
    status.into()
}

/// The role that the command line selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoleName {
    Entry,
    Agent,
}

/// Runs `role` with a settings file until a planned stop has finished.
fn run(file: &Path, role: RoleName) -> ExitStatus {
    let settings = match settings::read(file) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{err}");
            return ExitStatus::InvalidInput;
        }
    };
    let read = || Ok(settings::read(file)?);
    let initial = settings.clone();
    let result = match (settings, role) {
        (Settings::Entry(it), RoleName::Entry) => {
            let (log, _guard) = logging::start("entry", &it.host, &it.log);
            let stop_request = reload_signal::watch_until_stopped(read, initial, log.clone());
            metrics::start("entry", &it.host, it.metrics.as_ref())
                .and_then(|metrics| entry::run(it, log, metrics, stop_request))
        }
        (Settings::Agent(it), RoleName::Agent) => {
            let (log, _guard) = logging::start("agent", &it.host, &it.log);
            let stop_request = reload_signal::watch_until_stopped(read, initial, log.clone());
            metrics::start("agent", &it.host, it.metrics.as_ref())
                .and_then(|metrics| agent::run(it, log, metrics, stop_request))
        }
        (Settings::Entry(_), RoleName::Agent) => return role_mismatch(file, "entry", "agent"),
        (Settings::Agent(_), RoleName::Entry) => return role_mismatch(file, "agent", "entry"),
    };
    match result {
        Ok(()) => ExitStatus::Success,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::Failure
        }
    }
}

/// Reports that the settings file belongs to the other role.
fn role_mismatch(file: &Path, found: &str, requested: &str) -> ExitStatus {
    eprintln!(
        "{}: role: these are the settings of an {found}, but the command is {requested}",
        file.display()
    );
    ExitStatus::InvalidInput
}

/// Validates a settings file without starting anything.
fn check(file: &Path) -> ExitStatus {
    if file.extension().is_some_and(|it| it == "toml") {
        return node::check(file);
    }
    match settings::read(file) {
        Ok(settings) => {
            println!(
                "{}: valid settings of {}",
                file.display(),
                describe(&settings)
            );
            ExitStatus::Success
        }
        Err(err) => {
            eprintln!("{err}");
            ExitStatus::InvalidInput
        }
    }
}

fn describe(settings: &Settings) -> String {
    let (role, host) = match settings {
        Settings::Entry(it) => ("entry", &it.host),
        Settings::Agent(it) => ("agent", &it.host),
    };
    format!("{role} {} in {}, {}", host.name, host.zone, host.region)
}
