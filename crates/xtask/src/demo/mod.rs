//! `cargo xtask demo`: the whole system in half a minute.
//!
//! Three entries in three zones and eleven agents run as real processes on loopback. A model is rolled out, streams,
//! orders and lookups arrive throughout a second rollout, a host is drained, an agent is killed and an entry is stopped.
//! Every figure comes from what the stand-ins and the callers saw, none from what fulmarline says of itself.

mod demo_report;
mod demo_run;
mod progress_line;

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use xshell::{Shell, cmd};

mod flags {
    xflags::xflags! {
        /// Runs the whole system among stand-ins and checks what it promises.
        cmd demo {
            /// Builds and runs the release profile.
            optional --release
        }
    }
}

/// Runs the demo and fails when a promise broke.
pub(crate) fn run(args: Vec<OsString>) -> anyhow::Result<()> {
    let flags = flags::Demo::from_vec(args).context("bad flags")?;
    let binary = build(flags.release)?;
    let target = target_dir()?;
    let report = demo_run::run(binary, target.join("demo"))?;
    print!("{}", report.table());
    let file = target.join("demo.json");
    let text = serde_json::to_string_pretty(&report)?;
    std::fs::write(&file, format!("{text}\n"))
        .with_context(|| format!("cannot write {}", file.display()))?;
    let broken = report.broken_promises();
    if broken.is_empty() {
        return Ok(());
    }
    bail!("broken promises: {}", broken.join(", "))
}

/// Builds `fulmarline` and returns the program.
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

/// Returns the folder that this program was built into.
fn target_dir() -> anyhow::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let dir = program.parent().and_then(Path::parent);
    Ok(dir
        .context("the program lies in no target folder")?
        .to_owned())
}
