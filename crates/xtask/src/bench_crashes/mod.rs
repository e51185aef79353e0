//! `cargo xtask bench crashes`: how many replicas a guilty part crashes, and what that costs sound requests, in the
//! emulator and beside it without the evidence.

mod crash_summary;

use std::ffi::OsString;
use std::time::Duration;

use anyhow::Context;
use emulator::{CrashScenario, CrashSimulation};

use crate::bench_crashes::crash_summary::CrashSummary;

/// A named scenario.
struct CrashCase {
    name: &'static str,
    scenario: CrashScenario,
    /// Share of the seeds that are run; the larger sizes take longer.
    seed_divisor: u64,
}

/// Runs the benchmark. The only flag is the number of seeds for each scenario.
pub(crate) fn run(flags: Vec<OsString>) -> anyhow::Result<()> {
    let seeds = match flags.first().and_then(|it| it.to_str()) {
        Some(flag) => flag.parse().context("the number of seeds is not valid")?,
        None => DEFAULT_SEEDS,
    };
    println!("{}", CrashSummary::HEADER);
    for case in cases() {
        let seeds = (seeds / case.seed_divisor).max(1);
        let outcomes = (0..seeds).map(|it| CrashSimulation::new(case.scenario, it).run());
        let summary = CrashSummary::new(&case.scenario, outcomes.collect());
        println!("{}", summary.row(case.name));
    }
    Ok(())
}

fn cases() -> Vec<CrashCase> {
    let small = CrashScenario::small();
    let case = |name, scenario| CrashCase {
        name,
        scenario,
        seed_divisor: 1,
    };
    let mut cases = vec![
        case("8 entries", small),
        case(
            "8, two guilty parts",
            CrashScenario {
                guilty_parts: 2,
                ..small
            },
        ),
        case("8, loss 0.1", CrashScenario { loss: 0.1, ..small }),
        case(
            "8, accidents 0.1",
            CrashScenario {
                accident_share: 0.1,
                ..small
            },
        ),
        case(
            "8, accidents 0.33",
            CrashScenario {
                accident_share: 0.33,
                ..small
            },
        ),
        case(
            "8, accidents 0.33, none guilty",
            CrashScenario {
                accident_share: 0.33,
                guilty_parts: 0,
                ..small
            },
        ),
        case(
            "8, without evidence",
            CrashScenario {
                is_guarded: false,
                ..small
            },
        ),
    ];
    for (name, scenario) in [
        ("64 entries", CrashScenario::medium()),
        ("360 entries", CrashScenario::large()),
    ] {
        let scenario = CrashScenario {
            duration: LARGE_DURATION,
            ..scenario
        };
        cases.push(CrashCase {
            name,
            scenario,
            seed_divisor: 10,
        });
    }
    cases
}

/// Seeds of each scenario at the smallest size.
const DEFAULT_SEEDS: u64 = 50;

/// Emulated time at the larger sizes.
const LARGE_DURATION: Duration = Duration::from_secs(14);
