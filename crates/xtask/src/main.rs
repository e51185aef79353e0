//! Tasks of the repository: benches and the pages that are filled from them.

mod bench_control;
mod bench_control_report;
mod bench_control_sample;
mod capacity;

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let words: Vec<_> = std::env::args().skip(1).collect();
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["bench", "control"] => bench_control::run(&root, None),
        ["bench", "control", sizes] => bench_control::run(&root, Some(sizes.parse()?)),
        ["capacity"] => capacity::run(&root),
        _ => anyhow::bail!("usage: cargo xtask bench control [SIZES] | capacity"),
    }
}
