//! The one shipped program: command line, logging and the wiring of the roles.
//!
//! It must not know any decision.

mod command_line;
mod logging;

use std::path::Path;
use std::process::ExitCode;

use command_line::{Fulmarline, FulmarlineCmd};
use settings::Settings;

fn main() -> ExitCode {
    let line = Fulmarline::from_env_or_exit();
    match line.subcommand {
        FulmarlineCmd::Entry(it) => run_role(&it.settings, RoleName::Entry),
        FulmarlineCmd::Agent(it) => run_role(&it.settings, RoleName::Agent),
        FulmarlineCmd::Check(it) => check(&it.file),
        FulmarlineCmd::Version(_) => {
            println!("fulmarline {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoleName {
    Entry,
    Agent,
}

fn run_role(file: &Path, role: RoleName) -> ExitCode {
    let settings = match settings::read(file) {
        Ok(it) => it,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let result = match (settings, role) {
        (Settings::Entry(it), RoleName::Entry) => {
            let log = logging::start("entry", &it.host, &it.log);
            entry::run(it, log)
        }
        (Settings::Agent(it), RoleName::Agent) => {
            let log = logging::start("agent", &it.host, &it.log);
            agent::run(it, log)
        }
        _ => {
            eprintln!("{}: the settings are for the other role", file.display());
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &Path) -> ExitCode {
    match settings::read(file) {
        Ok(_) => {
            println!("{}: valid", file.display());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

/// Exit code of settings or arguments that are not valid.
const BAD_SETTINGS: u8 = 2;
