//! `cargo xtask bench cold`: how many requests all entries together send to cold replicas in a second, in the emulator.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::Context;
use emulator::{
    ColdNotice, ColdScenario, EntryFault, LimitOutcome, LimitPolicy, LimitScenario, LimitSimulation,
};

/// A named scenario.
struct ColdCase {
    name: String,
    scenario: LimitScenario,
    /// Share of the seeds that are run; the larger sizes take longer.
    seed_divisor: u64,
}

/// Runs the benchmark. Flags are the number of seeds for each scenario at the smallest size and the beginning of the names of the
/// scenarios to run.
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

/// Returns the cases of each size: entries, replicas, and how many of these become cold together.
fn cases() -> Vec<ColdCase> {
    let sizes = [
        (LimitScenario::small(), 10, 3, 1),
        (LimitScenario::medium(), 52, 17, 5),
        // A few replicas of the largest site are emulated; the others only take requests.
        (LimitScenario::large(), 1700, 10, 25),
    ];
    let mut cases = Vec::new();
    for (size, replicas, limited, seed_divisor) in sizes {
        let (entries, zones) = match replicas {
            52 => (44, 3),
            _ => (size.entries, size.zones),
        };
        let scenario = LimitScenario {
            entries,
            zones,
            replicas,
            limited,
            ..size
        };
        let mut add = |name: &str, scenario: LimitScenario, cold: ColdScenario| {
            let cold = Some(cold);
            cases.push(ColdCase {
                name: format!("{entries}, {name}"),
                scenario: LimitScenario { cold, ..scenario },
                seed_divisor,
            });
        };
        let (starts, always) = (ColdScenario::starts(), ColdScenario::always());
        add("starts", scenario, starts);
        let notice = ColdNotice::Return;
        add("zone returns", scenario, ColdScenario { notice, ..starts });
        let notice = ColdNotice::Late;
        add(
            "without a word",
            scenario,
            ColdScenario { notice, ..starts },
        );
        add("always", scenario, always);
        if replicas < 100 {
            let all = LimitScenario {
                limited: replicas,
                ..scenario
            };
            add("all replicas", all, always);
        }
        add(
            "loss 0.1",
            LimitScenario {
                loss: 0.1,
                ..scenario
            },
            always,
        );
        for (name, fault) in [
            ("restarts", EntryFault::Restart),
            ("all restart", EntryFault::AllRestart),
            ("additions", EntryFault::Addition),
            ("freezes", EntryFault::Freeze),
            ("half freezes", EntryFault::HalfFreeze),
            ("cuts", EntryFault::Cut),
            ("zone cuts", EntryFault::ZoneCut),
            ("link cuts", EntryFault::LinkCut),
            ("halves", EntryFault::HalfCut),
            ("a third cut off", EntryFault::ThirdCut),
        ] {
            let is_lasting = matches!(fault, EntryFault::HalfCut | EntryFault::ThirdCut);
            let duration = match is_lasting && replicas < 100 {
                true => LASTING_CUT,
                false => scenario.duration,
            };
            let scenario = LimitScenario {
                fault,
                duration,
                ..scenario
            };
            add(name, scenario, always);
        }
        let policy = LimitPolicy::Ignored;
        add("ignored", LimitScenario { policy, ..scenario }, always);
    }
    cases
}

fn row(case: &ColdCase, outcomes: &[LimitOutcome]) -> String {
    let most = |value: fn(&LimitOutcome) -> usize| outcomes.iter().map(value).max().unwrap_or(0);
    let is_worst = |it: &LimitOutcome| it.cold.most_in_second == most(|it| it.cold.most_in_second);
    let worst_seed = outcomes.iter().position(is_worst).unwrap_or(0);
    let shares = outcomes.iter().map(|it| it.cold.share_used());
    let least = shares.clone().fold(f64::INFINITY, f64::min);
    let mean = shares.sum::<f64>() / outcomes.len() as f64;
    let refused: u64 = outcomes.iter().map(|it| it.refused).sum();
    let requests: u64 = outcomes.iter().map(|it| it.requests).sum();
    let bound = case.scenario.cold.map_or(0.0, |it| it.bound.max_in_second);
    format!(
        "| {} | {} | {} | {} | {bound} | {mean:.2}, {least:.2} | {:.0} | {worst_seed} |",
        case.name,
        outcomes.len(),
        most(|it| it.cold.most_in_second),
        most(|it| it.cold.most_when_known),
        refused as f64 * 1000.0 / requests as f64,
    )
}

/// Header of the table of results.
const HEADER: &str = "| entries, case | seeds | most in a second | most once all entries know | bound | used, mean and least | refused of 1,000 | seed with the most |\n| --- | --- | --- | --- | --- | --- | --- | --- |";

/// Seeds of each scenario at the smallest size.
const DEFAULT_SEEDS: u64 = 50;

/// Time of the emulations in which entries stay cut off, so that others are considered gone.
const LASTING_CUT: Duration = Duration::from_secs(100);
