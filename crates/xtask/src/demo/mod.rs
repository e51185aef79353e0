//! `cargo xtask demo`: runs the whole system for about half a minute.
//!
//! Three entries in three zones and eleven agents run as real processes on the loopback interface. A model is rolled
//! out, streams, orders and lookups arrive throughout a second rollout, a host is drained, an agent is killed and an
//! entry is stopped. All results are measured by the stand-ins and the callers; none is a metric of fulmarline itself.

mod demo_report;
mod demo_run;
mod progress_line;

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use xshell::{Shell, cmd};

mod flags {
    xflags::xflags! {
        /// Runs the whole system against stand-ins and checks its guarantees.
        cmd demo {
            /// Builds and runs the release profile.
            optional --release
        }
    }
}

/// Runs the demo, prints and stores its results, and fails if a guarantee was violated.
pub(crate) fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Demo::from_vec(args).context("invalid flags")?;
    let binary = build(flags.release)?;
    let target = target_dir()?;
    let report = demo_run::run(binary, target.join("demo"))?;
    print!("{}", report.table());
    let file = target.join("demo.json");
    let text = serde_json::to_string_pretty(&report)?;
    std::fs::write(&file, format!("{text}\n"))
        .with_context(|| format!("cannot write {}", file.display()))?;
    let violated = report.violated_guarantees();
    if violated.is_empty() {
        return Ok(());
    }
    bail!("violated guarantees: {}", violated.join(", "))
}

/// Builds `fulmarline` and returns the path of the binary.
fn build(release: bool) -> anyhow::Result<PathBuf> {
    let shell = Shell::new()?;
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let profile = if release { "release" } else { "dev" };
    cmd!(
        shell,
        "{cargo} build --quiet --package fulmarline --profile {profile}"
    )
    .run()?;
    let folder = if release { "release" } else { "debug" };
    Ok(target_dir()?.join(folder).join("fulmarline"))
}

/// Returns the target directory. This program is in one of its profile folders.
fn target_dir() -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let dir = program.parent().and_then(Path::parent);
    Ok(dir
        .context("this program is not in a target directory")?
        .to_owned())
}
