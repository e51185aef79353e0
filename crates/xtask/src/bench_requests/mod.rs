//! `cargo xtask bench requests`: goodput, fairness, latency and promises under load and faults.

mod load_phase;
mod request_bench;
mod request_report;
mod stream_probe;

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use anyhow::Context;

use request_bench::RequestBench;
use request_report::RequestReport;

/// Runs the bench and writes `target/bench/requests.json` and `target/bench/requests.svg`.
///
/// With the word `steps` or `streams` only that part runs, and nothing is written.
pub(crate) fn run(words: Vec<OsString>) -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
    let binary = newest_binary(&target)?;
    println!(
        "binary: {}",
        binary
            .parent()
            .and_then(Path::file_name)
            .unwrap_or_default()
            .display()
    );
    let out = target.join("bench");
    std::fs::create_dir_all(&out)?;
    let mut report = RequestReport::default();
    match words.first().and_then(|it| it.to_str()) {
        None => {}
        Some("steps") => {
            let mut bench = RequestBench::start(binary, out.join("requests"))?;
            bench.run_steps()?;
            request_report::print(&bench.finish());
            return Ok(());
        }
        Some("streams") => {
            stream_probe::run(binary, out.join("requests-streams"), &mut report)?;
            request_report::print(&report);
            return Ok(());
        }
        Some(word) => anyhow::bail!("{word:?} is neither `steps` nor `streams`"),
    }
    let mut bench = RequestBench::start(binary.clone(), out.join("requests"))?;
    bench.run_steps()?;
    bench.run_slow_replica()?;
    bench.run_faults()?;
    bench.run_leaving()?;
    report = bench.finish();
    stream_probe::run(binary, out.join("requests-streams"), &mut report)?;
    request_report::print(&report);
    request_report::write(&out, &report)
}

fn newest_binary(target: &Path) -> anyhow::Result<PathBuf> {
    ["release", "debug"]
        .map(|it| target.join(it).join("fulmarline"))
        .into_iter()
        .filter(|it| it.exists())
        .max_by_key(|it| it.metadata().and_then(|it| it.modified()).ok())
        .context("build the program first: cargo build --release -p fulmarline")
}
