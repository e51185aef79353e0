//! `cargo xtask bench requests`: goodput, fairness, latency and delivery guarantees under load and faults.

mod load_phase;
mod request_bench;
mod request_report;
mod stream_probe;

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use anyhow::Context;

use request_bench::RequestBench;
use request_report::RequestReport;

/// Runs the benchmark and writes `target/bench/requests.json` and `target/bench/requests.svg`.
///
/// With the argument `steps` or `streams`, runs only that part and only prints its results.
pub(crate) fn run(args: Vec<OsString>) -> anyhow::Result<()> {
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
    match args.first().and_then(|it| it.to_str()) {
        None => {}
        Some("steps") => {
            let mut bench = RequestBench::start(binary, out.join("requests"))?;
            bench.run_load_steps()?;
            request_report::print(&bench.finish());
            return Ok(());
        }
        Some("streams") => {
            stream_probe::run(binary, out.join("requests-streams"), &mut report)?;
            request_report::print(&report);
            return Ok(());
        }
        Some(part) => anyhow::bail!("unknown part {part:?}, expected `steps` or `streams`"),
    }
    let mut bench = RequestBench::start(binary.clone(), out.join("requests"))?;
    bench.run_load_steps()?;
    bench.run_slow_replica()?;
    bench.run_faults()?;
    bench.run_drain_and_stops()?;
    report = bench.finish();
    stream_probe::run(binary, out.join("requests-streams"), &mut report)?;
    request_report::print(&report);
    request_report::write(&out, &report)
}

/// Returns the most recently built `fulmarline` binary in `target`.
fn newest_binary(target: &Path) -> anyhow::Result<PathBuf> {
    ["release", "debug"]
        .map(|it| target.join(it).join("fulmarline"))
        .into_iter()
        .filter(|it| it.exists())
        .max_by_key(|it| it.metadata().and_then(|it| it.modified()).ok())
        .context("build the program first: cargo build --release -p fulmarline")
}
