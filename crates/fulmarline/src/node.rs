//! Runs a role with the settings file of the users' platform.

use std::path::{Path, PathBuf};

use platform::{NodeRole, NodeSettings, SETTINGS_VARIABLE};

use crate::exit_status::ExitStatus;
use crate::{logging, reload_signal, stop_signal};

/// Runs `role` on this node until the platform asks for a planned stop.
pub(crate) fn run(role: NodeRole) -> ExitStatus {
    let (path, settings) = match read() {
        Ok(it) => it,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            return ExitStatus::BadInput;
        }
    };
    let name = match role {
        NodeRole::Entry => "entry",
        NodeRole::Agent => "agent",
    };
    let (log, _guard) = logging::start_on_platform(name, &settings.node, &settings.zone);
    let reload = reload_signal::watch(path, settings.clone(), log.clone());
    let stop = async move {
        tokio::select! {
            stopped = stop_signal::wait() => stopped,
            () = never_ending(reload) => Ok(()),
        }
    };
    let result = match role {
        NodeRole::Entry => ingress::run(settings, log, stop),
        NodeRole::Agent => stager::run(settings, log, stop),
    };
    match result {
        Ok(()) => ExitStatus::Done,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::Failed
        }
    }
}

/// Checks a settings file of the platform and starts nothing.
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
            ExitStatus::Done
        }
        Err(err) => {
            eprintln!("{err:#}");
            ExitStatus::BadInput
        }
    }
}

/// Runs `watch`, whose end is no reason to stop.
async fn never_ending(watch: impl Future<Output = ()>) {
    watch.await;
    std::future::pending().await
}

fn read() -> anyhow::Result<(PathBuf, NodeSettings)> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or_else(|| {
        anyhow::anyhow!("--settings is missing and {SETTINGS_VARIABLE} is not set")
    })?;
    let path = PathBuf::from(path);
    let settings = NodeSettings::read(&path)?;
    Ok((path, settings))
}
