//! `cargo xtask bench feeds`: how late a configuration is in force, and what its way costs, in the emulator.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::Context;
use emulator::{FeedReport, FeedScenario, FeedSimulation, ReaderFault};

/// A named scenario.
struct FeedCase {
    name: String,
    scenario: FeedScenario,
    /// Share of the seeds that are run; the larger sizes take longer.
    seed_divisor: u64,
}

/// Runs the benchmark. Flags are the number of seeds for each scenario at the smallest size and the beginning of the
/// names of the scenarios to run.
pub(crate) fn run(flags: Vec<OsString>) -> anyhow::Result<()> {
    let seeds = match flags.first().and_then(|it| it.to_str()) {
        Some(flag) => flag.parse().context("the number of seeds is not valid")?,
        None => DEFAULT_SEEDS,
    };
    let prefix = flags.get(1).and_then(|it| it.to_str()).unwrap_or_default();
    println!("{HEADER}");
    for case in cases().into_iter().filter(|it| it.name.starts_with(prefix)) {
        let seeds = (seeds / case.seed_divisor).max(1);
        let reports: Vec<FeedReport> = (0..seeds)
            .map(|it| FeedSimulation::new(case.scenario, it).run())
            .collect();
        println!("{}", row(&case, &reports));
    }
    Ok(())
}

fn cases() -> Vec<FeedCase> {
    let small = FeedScenario {
        entries: 3,
        entry_mbps: 1000.0,
        region_mbps: 20.0,
        routes: 250,
        ..FeedScenario::grown()
    };
    let medium = FeedScenario {
        zones: 4,
        entries: 19,
        ..FeedScenario::grown()
    };
    let large = FeedScenario {
        zones: 16,
        entries: 22,
        ..FeedScenario::grown()
    };
    let sizes = [
        ("9", small, 1),
        ("36", FeedScenario::grown(), 1),
        ("76", medium, 5),
        ("352", large, 50),
    ];
    let mut cases = Vec::new();
    for (entries, scenario, seed_divisor) in sizes {
        let mut add = |name: &str, scenario: FeedScenario| {
            cases.push(FeedCase {
                name: format!("{entries}, {name}"),
                scenario,
                seed_divisor,
            });
        };
        add("storm", scenario);
        let narrow = FeedScenario {
            squeeze: 5.0,
            ..scenario
        };
        add("links at a fifth", narrow);
        let many_routes = FeedScenario {
            routes: 1588,
            region_mbps: 21.0,
            entry_mbps: 40.0,
            ..scenario
        };
        add("1,588 routes", many_routes);
        for (name, fault) in [
            ("readers killed", ReaderFault::Killed),
            ("readers frozen", ReaderFault::Frozen),
            ("readers cut off", ReaderFault::CutOff),
            ("many turned away", ReaderFault::TurnedAway),
            ("store silent to many", ReaderFault::Unheard),
        ] {
            add(name, FeedScenario { fault, ..scenario });
            add(
                &format!("{name}, 1,588 routes"),
                FeedScenario {
                    fault,
                    ..many_routes
                },
            );
        }
    }
    cases
}

fn row(case: &FeedCase, reports: &[FeedReport]) -> String {
    let count = reports.len() as f64;
    let mean =
        |value: fn(&FeedReport) -> u64| reports.iter().map(value).sum::<u64>() as f64 / count;
    let worst = reports.iter().map(|it| it.worst_lag).max();
    let bytes = reports.iter().map(|it| it.region_bytes).max();
    format!(
        "| {} | {} | {:.2} s | {:.2} MB | {:.0} | {:.1} |",
        case.name,
        reports.len(),
        worst.map_or(0.0, |it: Duration| it.as_secs_f64()),
        bytes.unwrap_or_default() as f64 / 1e6,
        mean(|it| it.store_calls),
        mean(|it| it.direct_reads),
    )
}

/// Header of the table of results.
const HEADER: &str = "| entries, case | seeds | longest time to in force | most bytes over a link between regions | calls to the store | reads by followers with a live reader |\n| --- | --- | --- | --- | --- | --- |";

/// Seeds of each scenario at the smallest size.
const DEFAULT_SEEDS: u64 = 50;
