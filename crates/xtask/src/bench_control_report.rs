//! Results of the control benchmark as text, JSON and plot.

use std::path::Path;

use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::bench_control_sample::CostSample;

/// Path of the results, relative to the root of the repository.
pub(crate) const RESULT_FILE: &str = "target/bench/control.json";

/// Results of all measured fleet sizes, as stored in [`RESULT_FILE`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ControlResults {
    /// One result per size, in ascending order of size.
    pub(crate) sizes: Vec<SizeResult>,
}

/// Measurements at one fleet size.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct SizeResult {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    /// Maximum over the processes of both roles, like the next two fields.
    pub(crate) cpu_share_max: f64,
    pub(crate) rss_mb_max: f64,
    pub(crate) bytes_per_s_max: f64,
    /// Median latency from the acceptance of a command until it is in force on a host.
    pub(crate) in_force_p50_ms: u64,
    pub(crate) in_force_p99_ms: u64,
    pub(crate) in_force_max_ms: u64,
    /// Maximum of the same latency on the remaining hosts after the loss of a zone.
    pub(crate) lost_zone_in_force_max_ms: u64,
    pub(crate) table_reads_per_s: f64,
    pub(crate) table_writes_per_s: f64,
    /// Times that a host reported an older revision than it had reported before.
    pub(crate) reverts: u64,
    /// Time from the start of the first process until every entry has discovered all entries and agents.
    pub(crate) joined_ms: u64,
    pub(crate) entry: RoleCost,
    pub(crate) agent: RoleCost,
}

/// Resource usage of the processes of one role.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RoleCost {
    pub(crate) cpu_share_mean: f64,
    pub(crate) cpu_share_max: f64,
    pub(crate) rss_mb_max: f64,
    pub(crate) bytes_per_s_mean: f64,
    pub(crate) bytes_per_s_max: f64,
    pub(crate) messages_per_s_mean: f64,
    pub(crate) messages_per_s_max: f64,
}

impl RoleCost {
    /// Aggregates one sample of rates per process.
    pub(crate) fn from_samples(samples: &[CostSample]) -> Self {
        let count = samples.len().max(1) as f64;
        let mean = |it: fn(&CostSample) -> f64| samples.iter().map(it).sum::<f64>() / count;
        let max = |it: fn(&CostSample) -> f64| samples.iter().map(it).fold(0.0, f64::max);
        Self {
            cpu_share_mean: mean(|it| it.cpu),
            cpu_share_max: max(|it| it.cpu),
            rss_mb_max: max(|it| it.rss_mb),
            bytes_per_s_mean: mean(|it| it.bytes),
            bytes_per_s_max: max(|it| it.bytes),
            messages_per_s_mean: mean(|it| it.messages),
            messages_per_s_max: max(|it| it.messages),
        }
    }
}

/// Prints the results of one fleet size.
pub(crate) fn print(it: &SizeResult) {
    println!(
        "{} entries, {} agents: joined {} ms; in force p50 {} p99 {} max {} ms, after a lost zone max {} ms; \
         reverts {}; table {:.1} reads/s {:.2} writes/s",
        it.entries,
        it.agents,
        it.joined_ms,
        it.in_force_p50_ms,
        it.in_force_p99_ms,
        it.in_force_max_ms,
        it.lost_zone_in_force_max_ms,
        it.reverts,
        it.table_reads_per_s,
        it.table_writes_per_s,
    );
    for (role, cost) in [("entry", &it.entry), ("agent", &it.agent)] {
        println!(
            "  {role}: core {:.2} % mean {:.2} % max; {:.1} MB; {:.0} B/s mean {:.0} max; {:.1} messages/s",
            cost.cpu_share_mean * 100.0,
            cost.cpu_share_max * 100.0,
            cost.rss_mb_max,
            cost.bytes_per_s_mean,
            cost.bytes_per_s_max,
            cost.messages_per_s_mean,
        );
    }
}

/// Writes the results as JSON to [`RESULT_FILE`] and as an SVG plot beside it.
pub(crate) fn write(root: &Path, sizes: &[SizeResult]) -> anyhow::Result<()> {
    let results = ControlResults {
        sizes: sizes.to_vec(),
    };
    let file = root.join(RESULT_FILE);
    std::fs::write(&file, serde_json::to_string_pretty(&results)?)?;
    plot(&file.with_extension("svg"), sizes)
}

fn plot(file: &Path, sizes: &[SizeResult]) -> anyhow::Result<()> {
    let area = SVGBackend::new(file, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_entries = sizes.iter().map(|it| it.entries).max().unwrap_or(1) as f64;
    let max_value = sizes
        .iter()
        .map(|it| it.entry.bytes_per_s_max.max(it.in_force_max_ms as f64))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .caption(
            "control plane: bytes per second of an entry (red), latency until in force in ms (blue)",
            ("sans-serif", 18),
        )
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_entries, 0.0..max_value * 1.1)?;
    chart.configure_mesh().x_desc("entries").draw()?;
    let points =
        |value: fn(&SizeResult) -> f64| sizes.iter().map(move |it| (it.entries as f64, value(it)));
    chart.draw_series(LineSeries::new(points(|it| it.entry.bytes_per_s_max), &RED))?;
    chart.draw_series(LineSeries::new(
        points(|it| it.in_force_max_ms as f64),
        &BLUE,
    ))?;
    area.present()?;
    Ok(())
}
