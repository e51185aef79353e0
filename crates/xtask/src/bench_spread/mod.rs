//! `cargo xtask bench spread`: time and traffic of distributing weights to N replicas, compared with baselines and with
//! a lower bound from a fluid model.

mod fault_script;
mod spread_bound;
mod spread_plot;
mod spread_report;
mod spread_run;

use std::ffi::OsString;

use anyhow::{Context, bail};

use crate::bench_spread::spread_run::{BenchPlan, Strategy};

/// Runs the benchmark with `flags`.
pub(crate) fn run(flags: Vec<OsString>) -> anyhow::Result<()> {
    let plan = parse_flags(flags)?;
    let strategies: &[Strategy] = if plan.only_regional {
        &[Strategy::Regional]
    } else {
        &Strategy::ALL
    };
    let mut results = Vec::new();
    for &strategy in strategies {
        eprintln!("bench spread: {} hosts, {}", plan.hosts, strategy.name());
        let result = spread_run::measure(&plan, strategy)?;
        eprintln!("{}", spread_report::table_row(&result));
        results.push(result);
    }
    let bound = spread_bound::lower_bound(&plan);
    spread_report::write(&plan, bound, &results)?;
    spread_plot::write(&results)?;
    if results
        .iter()
        .any(|it| it.strategy == Strategy::Regional && !it.is_complete())
    {
        bail!("not every surviving host completed the version");
    }
    Ok(())
}

fn parse_flags(flags: Vec<OsString>) -> anyhow::Result<BenchPlan> {
    let mut plan = BenchPlan::default();
    let mut flags = flags.into_iter();
    while let Some(flag) = flags.next() {
        let mut value = || -> anyhow::Result<String> {
            let value = flags.next().and_then(|it| it.into_string().ok());
            value.with_context(|| format!("{} requires a value", flag.to_string_lossy()))
        };
        match flag.to_str().unwrap_or_default() {
            "--hosts" => plan.hosts = value()?.parse().context("--hosts")?,
            "--regions" => plan.regions = value()?.parse().context("--regions")?,
            "--profile" => {
                plan.profile = value()?;
                if !["time", "bytes"].contains(&plan.profile.as_str()) {
                    bail!("--profile must be \"time\" or \"bytes\"");
                }
            }
            "--faults" => plan.faults = true,
            "--only-regional" => plan.only_regional = true,
            other => bail!(
                "unknown flag {other:?}, expected --hosts N, --regions R, --profile time|bytes, --faults, --only-regional"
            ),
        }
    }
    if plan.regions == 0 || plan.hosts < plan.regions {
        bail!("--hosts must be at least --regions, and --regions at least 1");
    }
    Ok(plan)
}
