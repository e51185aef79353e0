//! Results of the benchmark as text, JSON and plot.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;
use serde::Serialize;

use crate::bench_requests::load_phase::LoadPhase;

/// All results of the benchmark; `target/bench/requests.json` contains them under these names.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RequestReport {
    /// Goodput at a load of twice the capacity, relative to the goodput at a load equal to the capacity.
    pub(crate) goodput_ratio_2x: f64,
    /// Lowest goodput of a small organisation, relative to its fair share, while a large one causes overload.
    pub(crate) small_org_share: f64,
    /// 95th percentile of the time to first token with one slow replica: expected wait relative to round robin.
    pub(crate) slow_replica_ttft_ratio: f64,
    /// Latency that entry and agent add to the time to first token, at the 99th percentile.
    pub(crate) added_ttft_p99_ms: f64,
    /// Latency that entry and agent add to the time between tokens, at the 99th percentile.
    pub(crate) added_gap_p99_ms: f64,
    /// Concurrent streams of one entry that were received completely.
    pub(crate) streams_held: usize,
    /// Resident memory of that entry.
    pub(crate) entry_rss_mb: f64,
    /// Responses that were wrong, mixed two versions, or were truncated without an error.
    pub(crate) wrong_answers: usize,
    /// Orders that ran more than once.
    pub(crate) orders_run_twice: usize,
    /// Calls that were refused with a guarantee that they did not run, although they ran.
    pub(crate) false_not_run: usize,
    /// Time from the first refusal for overload until the state dump of an entry reports the overload.
    pub(crate) overload_visible_ms: Option<u64>,
    /// Time from the acceptance of the drain command to the arrival of the last request at the drained engine.
    pub(crate) work_after_leaving_ms: u64,
    /// Responses cut off during planned stops.
    pub(crate) cut_by_planned_stop: usize,
    /// Calls that may have run, because the caller received an error that says so, or no complete response.
    pub(crate) unknown: usize,
    /// Number of calls in all phases.
    pub(crate) requests: usize,
    /// Descriptions of some of the faulty responses.
    pub(crate) faults: Vec<String>,
    /// Results of each phase.
    pub(crate) phases: Vec<LoadPhase>,
}

impl RequestReport {
    /// Returns the results of the phase `name`, which must have run.
    pub(crate) fn phase(&self, name: &str) -> &LoadPhase {
        let found = self.phases.iter().find(|it| it.name == name);
        found.unwrap_or_else(|| panic!("the phase {name:?} has not run"))
    }
}

impl LoadPhase {
    /// Returns the row of this phase in the printed table.
    pub(crate) fn table_row(&self) -> String {
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

/// Prints each result with its bound.
pub(crate) fn print(report: &RequestReport) {
    let overload_visible_ms = report.overload_visible_ms.map_or(f64::NAN, |it| it as f64);
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
            overload_visible_ms,
            "<= 1000",
            overload_visible_ms <= 1_000.0,
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
    for (name, value, bound, is_met) in rows {
        let mark = if is_met { "" } else { "  MISSED" };
        println!("{name:<26} {value:>10.2} {bound:>10}{mark}");
    }
    println!(
        "{:<26} {:>10} {:>10}",
        "requests", report.requests, ">= 10000"
    );
    println!("{:<26} {:>10}", "unknown outcomes", report.unknown);
    println!("{:<26} {:>10.1}", "entry_rss_mb", report.entry_rss_mb);
    report.faults.iter().for_each(|it| println!("fault: {it}"));
}

/// Writes `requests.json` and `requests.svg` to `out`.
pub(crate) fn write(out: &Path, report: &RequestReport) -> anyhow::Result<()> {
    std::fs::write(
        out.join("requests.json"),
        serde_json::to_vec_pretty(report)?,
    )?;
    plot(&out.join("requests.svg"), report).map_err(|err| anyhow!("cannot write the plot: {err}"))
}

fn plot(file: &Path, report: &RequestReport) -> Result<(), Box<dyn std::error::Error>> {
    let steps = report
        .phases
        .iter()
        .filter(|it| it.name.starts_with("step "));
    let points: Vec<(f64, f64)> = steps.map(|it| (it.load, it.goodput_per_s)).collect();
    let max_goodput = points.iter().map(|it| it.1).fold(1.0, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.2, 0.0..max_goodput * 1.2)?;
    chart
        .configure_mesh()
        .x_desc("load, relative to the capacity")
        .y_desc("complete responses within the deadline, per second")
        .draw()?;
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);
