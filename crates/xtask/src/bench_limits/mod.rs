//! `cargo xtask bench limits`: how far entries keep within the limits that replicas name and use them, in the emulator
//! and beside it with baselines.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::Context;
use emulator::{EntryFault, LimitOutcome, LimitPolicy, LimitScenario, LimitSimulation};

/// A named scenario.
struct LimitCase {
    name: String,
    scenario: LimitScenario,
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
        let outcomes: Vec<LimitOutcome> = (0..seeds)
            .map(|it| LimitSimulation::new(case.scenario, it).run())
            .collect();
        println!("{}", row(&case, &outcomes));
    }
    Ok(())
}

fn cases() -> Vec<LimitCase> {
    let mut cases = Vec::new();
    let sizes = [
        ("8", LimitScenario::small(), 1),
        ("64", LimitScenario::medium(), 10),
        ("360", LimitScenario::large(), 25),
    ];
    for (entries, scenario, seed_divisor) in sizes {
        let mut add = |name: &str, scenario: LimitScenario| {
            cases.push(LimitCase {
                name: format!("{entries}, {name}"),
                scenario,
                seed_divisor,
            });
        };
        for limit in [0.0, 0.25, 1.0, 2.3, 10.0, 50.0] {
            add(
                &format!("limit {limit}"),
                LimitScenario { limit, ..scenario },
            );
        }
        let third = scenario.replicas / 3;
        add(
            "a third",
            LimitScenario {
                limited: third,
                ..scenario
            },
        );
        add(
            "all",
            LimitScenario {
                limited: scenario.replicas,
                ..scenario
            },
        );
        // As many requests as half of what the replicas take together.
        let requests_per_second = (scenario.replicas / 2) as u64;
        let half = LimitScenario {
            limited: scenario.replicas,
            requests_per_second,
            ..scenario
        };
        add("all, half the demand", half);
        let many = LimitScenario {
            limit: 5.0,
            ..scenario
        };
        add("loss 0.1", LimitScenario { loss: 0.1, ..many });
        add(
            "changes each second",
            LimitScenario {
                changes: true,
                ..many
            },
        );
        let ends_at = Some(Duration::from_secs(30));
        add(
            "end",
            LimitScenario {
                ends_at,
                ..scenario
            },
        );
        for (name, fault) in [
            ("restarts", EntryFault::Restart),
            ("additions", EntryFault::Addition),
            ("freezes", EntryFault::Freeze),
            ("cuts", EntryFault::Cut),
            ("zone cuts", EntryFault::ZoneCut),
            ("link cuts", EntryFault::LinkCut),
        ] {
            add(name, LimitScenario { fault, ..many });
        }
        for (name, policy) in [
            ("ignored", LimitPolicy::Ignored),
            ("each alone", LimitPolicy::Alone),
            ("equal shares", LimitPolicy::EqualShares),
        ] {
            add(name, LimitScenario { policy, ..scenario });
        }
    }
    cases
}

fn row(case: &LimitCase, outcomes: &[LimitOutcome]) -> String {
    let most = |value: fn(&LimitOutcome) -> f64| {
        outcomes.iter().map(value).fold(f64::NEG_INFINITY, f64::max)
    };
    // Seeds are counted from 0.
    let seed_of_most = |value: fn(&LimitOutcome) -> f64| {
        let seeds = outcomes.iter().enumerate();
        let worst = seeds.max_by(|left, right| value(left.1).total_cmp(&value(right.1)));
        worst.map_or(0, |it| it.0)
    };
    let shares = outcomes.iter().map(|it| it.share_used);
    let least = shares.clone().fold(f64::INFINITY, f64::min);
    let mean = shares.sum::<f64>() / outcomes.len() as f64;
    let used = match case.scenario.limit {
        0.0 => "-".to_owned(),
        _ => format!("{mean:.2}, {least:.2}"),
    };
    let seconds = |value: fn(&LimitOutcome) -> Option<Duration>| {
        let longest = outcomes.iter().filter_map(value).max();
        longest.map_or("-".to_owned(), |it| format!("{:.2} s", it.as_secs_f64()))
    };
    let refused: u64 = outcomes.iter().map(|it| it.refused).sum();
    let requests: u64 = outcomes.iter().map(|it| it.requests).sum();
    let bytes: u64 = outcomes.iter().map(|it| it.bytes).sum();
    let entry_seconds =
        case.scenario.duration.as_secs_f64() * case.scenario.entries as f64 * outcomes.len() as f64;
    format!(
        "| {} | {} | {:.1} | {:.1} | {used} | {} | {} | {:.0} | {:.0} | {}, {} |",
        case.name,
        outcomes.len(),
        most(|it| it.most_beyond),
        most(|it| it.early_beyond_rule),
        seconds(|it| it.end_found_after),
        seconds(|it| it.end_known_after),
        refused as f64 * 1000.0 / requests as f64,
        bytes as f64 / entry_seconds,
        seed_of_most(|it| it.most_beyond),
        seed_of_most(|it| -it.share_used),
    )
}

/// Header of the table of results.
const HEADER: &str = "| entries, case | seeds | most beyond 4 x limit in 4 s | most beyond the rule after 1 s | used, mean and least | end found | end known everywhere | refused of 1,000 | bytes an entry and second | seeds with the most beyond and the least used |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Seeds of each scenario at the smallest size.
const DEFAULT_SEEDS: u64 = 50;
