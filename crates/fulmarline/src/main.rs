//! The one shipped program: command line, logging and the wiring of the roles.
//!
//! It must not know any decision.

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
    let line = Fulmarline::from_env_or_exit();
    if line.version {
        println!("fulmarline {}", env!("CARGO_PKG_VERSION"));
        return ExitStatus::Done.into();
    }
    let status = match line.subcommand {
        FulmarlineCmd::Overview(_) => {
            eprintln!("fulmarline: a command is required, see fulmarline --help");
            ExitStatus::BadInput
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoleName {
    Entry,
    Agent,
}

fn run(file: &Path, role: RoleName) -> ExitStatus {
    let settings = match settings::read(file) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{err}");
            return ExitStatus::BadInput;
        }
    };
    let result = match (settings, role) {
        (Settings::Entry(it), RoleName::Entry) => {
            let (log, _guard) = logging::start("entry", &it.host, &it.log);
            metrics::start("entry", &it.host, it.metrics.as_ref())
                .and_then(|metrics| entry::run(it, log, metrics, stop_signal::wait()))
        }
        (Settings::Agent(it), RoleName::Agent) => {
            let (log, _guard) = logging::start("agent", &it.host, &it.log);
            metrics::start("agent", &it.host, it.metrics.as_ref())
                .and_then(|metrics| agent::run(it, log, metrics, stop_signal::wait()))
        }
        (Settings::Entry(_), RoleName::Agent) => return wrong_role(file, "entry", "agent"),
        (Settings::Agent(_), RoleName::Entry) => return wrong_role(file, "agent", "entry"),
    };
    match result {
        Ok(()) => ExitStatus::Done,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::Failed
        }
    }
}

fn wrong_role(file: &Path, found: &str, asked: &str) -> ExitStatus {
    eprintln!(
        "{}: role: these are the settings of an {found}, but the command is {asked}",
        file.display()
    );
    ExitStatus::BadInput
}

fn check(file: &Path) -> ExitStatus {
    if file.extension().is_some_and(|it| it == "toml") {
        return node::check(file);
    }
    match settings::read(file) {
        Ok(settings) => {
            println!(
                "{}: valid settings of {}",
                file.display(),
                summary(&settings)
            );
            ExitStatus::Done
        }
        Err(err) => {
            eprintln!("{err}");
            ExitStatus::BadInput
        }
    }
}

fn summary(settings: &Settings) -> String {
    let (role, host) = match settings {
        Settings::Entry(it) => ("entry", &it.host),
        Settings::Agent(it) => ("agent", &it.host),
    };
    format!("{role} {} in {}, {}", host.name, host.zone, host.region)
}
