//! Figures of the bench: table, JSON and plot.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;
use serde::Serialize;

use crate::bench_requests::load_phase::LoadPhase;

/// Everything that the bench found.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestReport {
    /// Goodput at twice the capacity relative to that at the capacity.
    pub(crate) goodput_ratio_2x: f64,
    /// Smallest part of its fair share that a small organisation got while a large one flooded.
    pub(crate) small_org_share: f64,
    /// First token at the 95th percentile with a slow replica, relative to round robin.
    pub(crate) slow_replica_ttft_ratio: f64,
    /// What entry and agent add to the first token at the 99th percentile.
    pub(crate) added_ttft_p99_ms: f64,
    /// What entry and agent add to a token gap at the 99th percentile.
    pub(crate) added_gap_p99_ms: f64,
    /// Streams that one entry held at once and ended whole.
    pub(crate) streams_held: usize,
    /// Memory of that entry.
    pub(crate) entry_rss_mb: f64,
    /// Answers that were wrong, mixed or cut without a word.
    pub(crate) wrong_answers: usize,
    /// Orders that ran more than once.
    pub(crate) orders_run_twice: usize,
    /// Calls refused as not run that ran.
    pub(crate) false_not_run: usize,
    /// Time from the first refusal to the overload in an entry's dump.
    pub(crate) overload_visible_ms: Option<u64>,
    /// Time from the drain's acceptance to the last request at the engine.
    pub(crate) work_after_leaving_ms: u64,
    /// Answers cut during planned stops.
    pub(crate) cut_by_planned_stop: usize,
    /// Calls that ended with an unknown outcome and were told so.
    pub(crate) unknown: usize,
    /// Calls in all phases.
    pub(crate) requests: usize,
    /// Some of the faulty answers.
    pub(crate) faults: Vec<String>,
    /// The phases.
    pub(crate) phases: Vec<LoadPhase>,
}

impl RequestReport {
    /// Returns the phase with `name`.
    pub(crate) fn phase(&self, name: &str) -> &LoadPhase {
        let found = self.phases.iter().find(|it| it.name == name);
        found.unwrap_or_else(|| panic!("the phase {name:?} has not run"))
    }
}

impl LoadPhase {
    /// Returns one line of the table.
    pub(crate) fn line(&self) -> String {
        let totals = &self.totals;
        format!(
            "{:<30} {:>4.1}x goodput {:>6.1}/s first token p50 {:>6.0} p95 {:>6.0} ms gap p95 {:>5.1} ms \
             calls {:>5} refused {:>4} unknown {:>3} error ends {:>3} cut {:>2} wrong {:>2} codes {:?}",
            self.name,
            self.load,
            self.goodput_per_s,
            self.first_token_p50_ms,
            self.first_token_p95_ms,
            self.token_gap_p95_ms,
            totals.calls,
            totals.refused_not_run,
            totals.unknown,
            totals.error_ends,
            totals.cut,
            totals.wrong + totals.mixed,
            totals.codes,
        )
    }
}

/// Prints each figure beside its bound.
pub(crate) fn print(report: &RequestReport) {
    let visible = report.overload_visible_ms.map_or(f64::NAN, |it| it as f64);
    let rows: [(&str, f64, &str, bool); 12] = [
        (
            "goodput_ratio_2x",
            report.goodput_ratio_2x,
            ">= 0.9",
            report.goodput_ratio_2x >= 0.9,
        ),
        (
            "small_org_share",
            report.small_org_share,
            ">= 0.9",
            report.small_org_share >= 0.9,
        ),
        (
            "slow_replica_ttft_ratio",
            report.slow_replica_ttft_ratio,
            "<= 0.5",
            report.slow_replica_ttft_ratio <= 0.5,
        ),
        (
            "added_ttft_p99_ms",
            report.added_ttft_p99_ms,
            "<= 2",
            report.added_ttft_p99_ms <= 2.0,
        ),
        (
            "added_gap_p99_ms",
            report.added_gap_p99_ms,
            "<= 1",
            report.added_gap_p99_ms <= 1.0,
        ),
        (
            "streams_held",
            report.streams_held as f64,
            ">= 600",
            report.streams_held >= 600,
        ),
        (
            "wrong_answers",
            report.wrong_answers as f64,
            "0",
            report.wrong_answers == 0,
        ),
        (
            "orders_run_twice",
            report.orders_run_twice as f64,
            "0",
            report.orders_run_twice == 0,
        ),
        (
            "false_not_run",
            report.false_not_run as f64,
            "0",
            report.false_not_run == 0,
        ),
        (
            "overload_visible_ms",
            visible,
            "<= 1000",
            visible <= 1_000.0,
        ),
        (
            "work_after_leaving_ms",
            report.work_after_leaving_ms as f64,
            "<= 3000",
            report.work_after_leaving_ms <= 3_000,
        ),
        (
            "cut_by_planned_stop",
            report.cut_by_planned_stop as f64,
            "0",
            report.cut_by_planned_stop == 0,
        ),
    ];
    println!("\n{:<26} {:>10} {:>10}", "figure", "measured", "bound");
    for (name, value, bound, holds) in rows {
        let verdict = if holds { "" } else { "  MISSED" };
        println!("{name:<26} {value:>10.2} {bound:>10}{verdict}");
    }
    println!(
        "{:<26} {:>10} {:>10}",
        "requests", report.requests, ">= 10000"
    );
    println!("{:<26} {:>10}", "unknown, told so", report.unknown);
    println!("{:<26} {:>10.1}", "entry_rss_mb", report.entry_rss_mb);
    report.faults.iter().for_each(|it| println!("fault: {it}"));
}

/// Writes `requests.json` and `requests.svg` to `out`.
pub(crate) fn write(out: &Path, report: &RequestReport) -> anyhow::Result<()> {
    std::fs::write(
        out.join("requests.json"),
        serde_json::to_vec_pretty(report)?,
    )?;
    plot(&out.join("requests.svg"), report).map_err(|err| anyhow!("cannot plot: {err}"))
}

fn plot(file: &Path, report: &RequestReport) -> Result<(), Box<dyn std::error::Error>> {
    let steps = report
        .phases
        .iter()
        .filter(|it| it.name.starts_with("step "));
    let points: Vec<(f64, f64)> = steps.map(|it| (it.load, it.goodput_per_s)).collect();
    let highest = points.iter().map(|it| it.1).fold(1.0, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.2, 0.0..highest * 1.2)?;
    chart
        .configure_mesh()
        .x_desc("load, times the capacity")
        .y_desc("whole answers in time, per second")
        .draw()?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);
