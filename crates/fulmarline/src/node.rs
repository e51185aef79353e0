//! Runs and checks processes that are configured by the settings file of the users' platform.

use std::path::{Path, PathBuf};

use platform::{NodeRole, NodeSettings, SETTINGS_VARIABLE};

use crate::exit_status::ExitStatus;
use crate::{logging, reload_signal};

/// Runs `role` with the settings file named by the platform until a planned stop has finished.
pub(crate) fn run(role: NodeRole) -> ExitStatus {
    let (path, settings) = match read_settings() {
        Ok(it) => it,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            return ExitStatus::InvalidInput;
        }
    };
    let name = match role {
        NodeRole::Entry => "entry",
        NodeRole::Agent => "agent",
    };
    let (log, _guard) = logging::start_on_platform(name, &settings.node, &settings.zone);
    let read = move || NodeSettings::read(&path);
    let stop_request = reload_signal::watch_until_stopped(read, settings.clone(), log.clone());
    let result = match role {
        NodeRole::Entry => ingress::run(settings, log, stop_request),
        NodeRole::Agent => stager::run(settings, log, stop_request),
    };
    match result {
        Ok(()) => ExitStatus::Success,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::Failure
        }
    }
}

/// Validates a settings file of the platform without starting anything.
pub(crate) fn check(file: &Path) -> ExitStatus {
    match NodeSettings::read(file) {
        Ok(it) => {
            let role = match it.role {
                NodeRole::Entry => "entry",
                NodeRole::Agent => "agent",
            };
            let (node, zone, region) = (&it.node, &it.zone, &it.region);
            println!(
                "{}: valid settings of {role} {node} in {zone}, {region}",
                file.display()
            );
            ExitStatus::Success
        }
        Err(err) => {
            eprintln!("{err:#}");
            ExitStatus::InvalidInput
        }
    }
}

/// Reads the settings file that the platform names in the environment.
fn read_settings() -> anyhow::Result<(PathBuf, NodeSettings)> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or_else(|| {
        anyhow::anyhow!("--settings is missing and {SETTINGS_VARIABLE} is not set")
    })?;
    let path = PathBuf::from(path);
    let settings = NodeSettings::read(&path)?;
    Ok((path, settings))
}
