//! Results of the benchmark as table and JSON.

use std::time::Duration;

use serde_json::json;

use crate::bench_spread::spread_run::{BenchPlan, SpreadResult};

/// Returns the table row of one strategy.
pub(crate) fn table_row(result: &SpreadResult) -> String {
    format!(
        "{:<13} {:>8} {:>8} {:>7} {:>8.2} {:>8.2} {:>8.2} {:>7.1} {:>7.1} {:>6} {:>5}",
        result.strategy.name(),
        result.time_to_n_ms,
        result.time_to_half_ms,
        format!("{}/{}", result.complete_hosts, result.living_hosts),
        result.origin_copies,
        result.max_host_sent_copies,
        result.region_pair_copies,
        result.token_gap_p95_ms,
        result.quiet_token_gap_p95_ms,
        result.live_answered,
        result.live_lost,
    )
}

/// Prints the table and writes `target/bench/spread.json`.
pub(crate) fn write(
    plan: &BenchPlan,
    bound: Duration,
    results: &[SpreadResult],
) -> anyhow::Result<()> {
    println!(
        "{} hosts, {} regions, profile {}, faults {}: lower bound {} ms",
        plan.hosts,
        plan.regions,
        plan.profile,
        plan.faults,
        bound.as_millis()
    );
    println!(
        "strategy       to-N-ms  half-ms   hosts   origin host-out     pair gap-p95   quiet     ok  lost"
    );
    for result in results {
        println!("{}", table_row(result));
    }
    std::fs::create_dir_all("target/bench")?;
    let report = json!({
        "hosts": plan.hosts,
        "regions": plan.regions,
        "profile": plan.profile,
        "faults": plan.faults,
        "lower_bound_ms": bound.as_millis() as u64,
        "strategies": results,
    });
    let text = serde_json::to_string_pretty(&report)?;
    Ok(std::fs::write("target/bench/spread.json", text)?)
}
