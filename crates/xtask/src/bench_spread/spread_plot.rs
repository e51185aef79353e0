//! Plot of the number of complete hosts over time.

use anyhow::anyhow;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

use crate::bench_spread::spread_run::SpreadResult;

/// Writes `target/bench/spread.svg`.
pub(crate) fn write(results: &[SpreadResult]) -> anyhow::Result<()> {
    draw(results).map_err(|err| anyhow!("cannot write the plot: {err}"))
}

fn draw(results: &[SpreadResult]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new("target/bench/spread.svg", (800, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_time_ms = results.iter().map(|it| it.time_to_n_ms).max().unwrap_or(1);
    let hosts = results.iter().map(|it| it.living_hosts).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .build_cartesian_2d(0..max_time_ms, 0..hosts)?;
    for (idx, result) in results.iter().enumerate() {
        let points = result.ready_ms.iter().enumerate();
        let points = points.map(|(count, at)| (*at, count + 1));
        chart.draw_series(LineSeries::new(points, &Palette99::pick(idx)))?;
    }
    area.present()?;
    Ok(())
}
