//! `cargo xtask bench versions`: from when on entries allow no weights older than a declared version, in the emulator.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::Context;
use emulator::{
    DeclarationReport, DeclarationScenario, DeclarationSimulation, EntryTrouble, FeedScenario,
    HopDelay, ReaderFault, StoreTrouble,
};

/// A named scenario.
struct VersionCase {
    name: String,
    scenario: DeclarationScenario,
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
        let reports: Vec<DeclarationReport> = (0..seeds)
            .map(|it| DeclarationSimulation::new(case.scenario, it).run())
            .collect();
        println!("{}", row(&case, &reports));
        for (seed, report) in (0..seeds).zip(&reports) {
            if report.late_deadlines + report.unknown > 0 {
                println!("{}", late_seed(&case, seed, report));
            }
        }
    }
    Ok(())
}

/// Returns a line about a seed in which a rule was broken, by which it can be run again.
fn late_seed(case: &VersionCase, seed: u64, report: &DeclarationReport) -> String {
    format!(
        "| {}, seed {seed} | 1 | {} by up to {:.3} s | {:.3} s | {} | | |",
        case.name,
        report.late_deadlines,
        report.worst_lateness.as_secs_f64(),
        report.worst_error.as_secs_f64(),
        report.unknown,
    )
}

fn cases() -> Vec<VersionCase> {
    let grown = DeclarationScenario::grown();
    let sized = |zones, entries, routes| DeclarationScenario {
        feeds: FeedScenario {
            zones,
            entries,
            routes,
            ..grown.feeds
        },
        versions: 4,
        ..grown
    };
    let small = DeclarationScenario {
        bound: Duration::from_millis(8000),
        ..sized(4, 2, 250)
    };
    let sizes = [
        ("8", small, 1),
        ("36", sized(3, 12, 659), 1),
        ("76", sized(4, 19, 659), 5),
        ("360", sized(15, 24, 659), 50),
    ];
    let mut cases = Vec::new();
    for (entries, scenario, seed_divisor) in sizes {
        let mut add = |name: &str, scenario: DeclarationScenario| {
            cases.push(VersionCase {
                name: format!("{entries}, {name}"),
                scenario,
                seed_divisor,
            });
        };
        add("quiet", scenario);
        for (name, routes, versions, gap_ms) in [
            ("5 routes, one version", 5, 1, 7000),
            ("1,588 routes", 1588, 4, 730),
        ] {
            let feeds = FeedScenario {
                routes,
                gap: Duration::from_millis(gap_ms),
                ..scenario.feeds
            };
            add(
                name,
                DeclarationScenario {
                    feeds,
                    versions,
                    ..scenario
                },
            );
        }
        let narrow = FeedScenario {
            squeeze: 5.0,
            ..scenario.feeds
        };
        add(
            "links at a fifth",
            DeclarationScenario {
                feeds: narrow,
                ..scenario
            },
        );
        let delayed = |hop_delay| DeclarationScenario {
            hop_delay,
            datagram_loss: 0.3,
            ..scenario
        };
        let both = delayed(HopDelay::Both);
        add("hops delayed", both);
        add("hops delayed one way", delayed(HopDelay::OneWay));
        add(
            "hops delayed until the switch",
            delayed(HopDelay::UntilSwitch),
        );
        let troubles = [
            ("starts", EntryTrouble::Starts, StoreTrouble::None),
            (
                "starts, store away",
                EntryTrouble::Starts,
                StoreTrouble::Away,
            ),
            ("suspended", EntryTrouble::Suspended, StoreTrouble::None),
            ("starved", EntryTrouble::Starved, StoreTrouble::None),
            ("store slow", EntryTrouble::None, StoreTrouble::Slow),
            ("store silent", EntryTrouble::None, StoreTrouble::Silent),
            ("store returns", EntryTrouble::None, StoreTrouble::Returns),
        ];
        let killed = FeedScenario {
            fault: ReaderFault::Killed,
            ..scenario.feeds
        };
        let restarted = DeclarationScenario {
            versions: 1,
            entry_trouble: EntryTrouble::AllStart,
            store_trouble: StoreTrouble::ReturnsWithDeclaration,
            ..scenario
        };
        add("all start, store returns with the declaration", restarted);
        for (links, base) in [("", scenario), (", hops delayed", both)] {
            for (name, entry_trouble, store_trouble) in troubles {
                let troubled = DeclarationScenario {
                    entry_trouble,
                    store_trouble,
                    ..base
                };
                add(&format!("{name}{links}"), troubled);
            }
            let troubled = DeclarationScenario {
                feeds: killed,
                ..base
            };
            add(&format!("readers killed{links}"), troubled);
        }
    }
    cases
}

fn row(case: &VersionCase, reports: &[DeclarationReport]) -> String {
    let mut earliness: Vec<Duration> = Vec::new();
    let mut delays: Vec<Duration> = Vec::new();
    for report in reports {
        earliness.extend(&report.earliness);
        delays.extend(&report.knowledge_delays);
    }
    earliness.sort_unstable();
    delays.sort_unstable();
    let seconds = |it: Option<&Duration>| it.map_or(0.0, Duration::as_secs_f64);
    let median = |it: &[Duration]| seconds(it.get(it.len() / 2));
    let error = reports.iter().map(|it| it.worst_error).max();
    format!(
        "| {} | {} | {} | {:.3} s | {} | {:.3} / {:.3} / {:.3} s | {:.3} / {:.3} s |",
        case.name,
        reports.len(),
        reports.iter().map(|it| it.late_deadlines).sum::<usize>(),
        seconds(error.as_ref()),
        reports.iter().map(|it| it.unknown).sum::<usize>(),
        seconds(earliness.first()),
        median(&earliness),
        seconds(earliness.last()),
        median(&delays),
        seconds(delays.last()),
    )
}

/// Header of the table of results.
const HEADER: &str = "| entries, case | seeds | deadlines after the bound | deadline later than by the exact time | unknown | before the bound: least, median, most | known after: median, most |\n| --- | --- | --- | --- | --- | --- | --- |";

/// Seeds of each scenario at the smallest size.
const DEFAULT_SEEDS: u64 = 50;
