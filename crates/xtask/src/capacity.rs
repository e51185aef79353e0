//! `cargo xtask capacity`: updates the tables of `docs/CAPACITY.md` from the results of the control benchmark.

use std::ffi::OsString;
use std::fmt::Write;

use anyhow::Context;

use crate::bench_control;
use crate::bench_control_report::{ControlResults, RESULT_FILE, SizeResult};

/// Entries in the fleet that the system is designed for, the "stated size" of `docs/CAPACITY.md`.
const DESIGN_ENTRIES: f64 = 360.0;

/// Agents in that fleet, one per replica.
const DESIGN_AGENTS: f64 = 1_700.0;

/// Share of a core that the control plane may use on a node.
const CPU_LIMIT: f64 = 0.033;

/// Resident memory that the control plane may use on a node, in MB.
const RSS_LIMIT_MB: f64 = 64.0;

/// Network traffic that the control plane may cause on a node, in bytes per second, both directions together.
const BYTES_LIMIT: f64 = 17_000.0;

/// Table reads per second that the whole fleet may issue at the stated size.
const READS_LIMIT: f64 = 1_000.0;

/// Table writes per second that the whole fleet may issue at the stated size.
const WRITES_LIMIT: f64 = 200.0;

/// Markers in the page that enclose the generated part.
const BEGIN_MARKER: &str = "<!-- measured: begin -->";
const END_MARKER: &str = "<!-- measured: end -->";

/// Replaces the generated part of the page.
pub(crate) fn run(_: Vec<OsString>) -> anyhow::Result<()> {
    let root = bench_control::repository_root();
    let text = std::fs::read_to_string(root.join(RESULT_FILE))
        .context("run `cargo xtask bench control` first")?;
    let results: ControlResults = serde_json::from_str(&text)?;
    let page = root.join("docs/CAPACITY.md");
    let text = std::fs::read_to_string(&page)?;
    let start = text
        .find(BEGIN_MARKER)
        .context("docs/CAPACITY.md has no begin marker")?
        + BEGIN_MARKER.len();
    let end = text
        .find(END_MARKER)
        .context("docs/CAPACITY.md has no end marker")?;
    let tables = make_tables(&results.sizes)?;
    let text = format!("{}\n\n{tables}\n{}", &text[..start], &text[end..]);
    std::fs::write(page, text)?;
    Ok(())
}

fn make_tables(sizes: &[SizeResult]) -> anyhow::Result<String> {
    let mut out = String::new();
    writeln!(out, "### Runs\n")?;
    writeln!(
        out,
        "| entries | agents | joined after | in force p50 / p99 / max | max after a lost zone | reverts | table reads/s | writes/s |"
    )?;
    writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for it in sizes {
        writeln!(
            out,
            "| {} | {} | {} ms | {} / {} / {} ms | {} ms | {} | {:.1} | {:.2} |",
            it.entries,
            it.agents,
            it.joined_ms,
            it.in_force_p50_ms,
            it.in_force_p99_ms,
            it.in_force_max_ms,
            it.lost_zone_in_force_max_ms,
            it.reverts,
            it.table_reads_per_s,
            it.table_writes_per_s
        )?;
    }
    writeln!(out, "\n### Cost of one process\n")?;
    writeln!(
        out,
        "| role | entries + agents | core % mean / max | memory MB max | bytes/s mean / max | messages/s mean |"
    )?;
    writeln!(out, "| --- | --- | --- | --- | --- | --- |")?;
    for it in sizes {
        for (role, cost) in [("entry", &it.entry), ("agent", &it.agent)] {
            writeln!(
                out,
                "| {role} | {} + {} | {:.2} / {:.2} | {:.1} | {:.0} / {:.0} | {:.1} |",
                it.entries,
                it.agents,
                cost.cpu_share_mean * 100.0,
                cost.cpu_share_max * 100.0,
                cost.rss_mb_max,
                cost.bytes_per_s_mean,
                cost.bytes_per_s_max,
                cost.messages_per_s_mean
            )?;
        }
    }
    writeln!(out, "\n### At the stated size, by the slopes\n")?;
    writeln!(
        out,
        "Each line is `base + slope × N` by least squares over the runs above, where N is the number of processes \
         (entries and agents), but no less than the highest figure measured; at the stated size N is {DESIGN_ENTRIES} + {DESIGN_AGENTS} = {}.\n",
        DESIGN_ENTRIES + DESIGN_AGENTS
    )?;
    writeln!(
        out,
        "| figure | base | slope per process | at the stated size | limit | fits |"
    )?;
    writeln!(out, "| --- | --- | --- | --- | --- | --- |")?;
    type Metric = (&'static str, fn(&SizeResult) -> f64, f64);
    let metrics: [Metric; 8] = [
        (
            "entry: core %",
            |it| it.entry.cpu_share_mean * 100.0,
            CPU_LIMIT * 100.0,
        ),
        ("entry: memory MB", |it| it.entry.rss_mb_max, RSS_LIMIT_MB),
        (
            "entry: bytes/s",
            |it| it.entry.bytes_per_s_mean,
            BYTES_LIMIT,
        ),
        (
            "agent: core %",
            |it| it.agent.cpu_share_mean * 100.0,
            CPU_LIMIT * 100.0,
        ),
        ("agent: memory MB", |it| it.agent.rss_mb_max, RSS_LIMIT_MB),
        (
            "agent: bytes/s",
            |it| it.agent.bytes_per_s_mean,
            BYTES_LIMIT,
        ),
        (
            "table reads/s, whole fleet",
            |it| it.table_reads_per_s,
            READS_LIMIT,
        ),
        (
            "table writes/s, whole fleet",
            |it| it.table_writes_per_s,
            WRITES_LIMIT,
        ),
    ];
    for (name, value, limit) in metrics {
        let points: Vec<_> = sizes
            .iter()
            .map(|it| ((it.entries + it.agents) as f64, value(it)))
            .collect();
        let (intercept, slope) = fit_line(&points);
        let highest = points.iter().map(|it| it.1).fold(0.0, f64::max);
        // A line with a negative slope cannot be extrapolated to a larger fleet; use the highest measurement instead.
        let extrapolated = highest.max(intercept + slope * (DESIGN_ENTRIES + DESIGN_AGENTS));
        let fits = if extrapolated <= limit {
            "yes"
        } else {
            "**no**"
        };
        writeln!(
            out,
            "| {name} | {intercept:.3} | {slope:.5} | {extrapolated:.2} | {limit:.1} | {fits} |"
        )?;
    }
    Ok(out)
}

/// Fits a line to `points` by least squares and returns its intercept and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|it| (it.0 - mean_x) * (it.1 - mean_y))
        .sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
