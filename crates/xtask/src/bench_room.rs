//! `cargo xtask bench room`: what callers get when replicas cannot serve all requests in time, in the emulator.

use std::ffi::OsString;
use std::thread;

use anyhow::{Context, anyhow};
use emulator::{
    PODBOR_KINDS, RoomOutcome, RoomPattern, RoomScenario, RoomSimulation, RoomStrategy,
};
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

/// Results of one strategy in one pattern, by seed.
struct RoomCase {
    pattern: RoomPattern,
    strategy: RoomStrategy,
    outcomes: Vec<RoomOutcome>,
}

/// Runs the benchmark. Flags are `--seeds N`, `--load SHARE`, `--entries N`, the largest age of views as `--view-ms MS`, and the beginning of the names of the patterns to run.
pub(crate) fn run(flags: Vec<OsString>) -> anyhow::Result<()> {
    let mut seeds = DEFAULT_SEEDS;
    let mut load = 1.0;
    let mut entries = 44;
    let mut max_view_age = 500;
    let mut prefix = String::new();
    let mut flags = flags.iter().filter_map(|it| it.to_str());
    while let Some(flag) = flags.next() {
        match flag {
            "--seeds" => {
                let count = flags.next().context("--seeds needs a number")?;
                seeds = count.parse().context("the number of seeds is not valid")?;
            }
            "--load" => {
                let share = flags.next().context("--load needs a number")?;
                load = share.parse().context("the load is not valid")?;
            }
            "--entries" => {
                let count = flags.next().context("--entries needs a number")?;
                entries = count
                    .parse()
                    .context("the number of entries is not valid")?;
            }
            "--view-ms" => {
                let age = flags.next().context("--view-ms needs a number")?;
                max_view_age = age.parse().context("the age of views is not valid")?;
            }
            name => name.clone_into(&mut prefix),
        }
    }
    println!("{BESIDE_HEADER}");
    for prompt_tokens in [200, 800, 1300, 2600, 3880] {
        let times = [0, 1, 2].map(|it| emulator::first_event_beside(it, prompt_tokens).as_millis());
        println!(
            "| {prompt_tokens} | {} | {} | {} |",
            times[0], times[1], times[2]
        );
    }
    println!("{HEADER}");
    let mut cases = Vec::new();
    for pattern in RoomPattern::ALL {
        if !format!("{pattern:?}").starts_with(&prefix) {
            continue;
        }
        let scenario = RoomScenario {
            load,
            entries,
            replicas: entries * 52 / 44,
            view_age_ms: (50, max_view_age),
            ..RoomScenario::podbor(pattern)
        };
        for strategy in RoomStrategy::ALL {
            let case = RoomCase {
                pattern,
                strategy,
                outcomes: outcomes(scenario, strategy, seeds),
            };
            println!("{}", row(&case));
            cases.push(case);
        }
    }
    std::fs::create_dir_all("target/bench")?;
    plot(&cases).map_err(|err| anyhow!("cannot write the plot: {err}"))
}

fn outcomes(scenario: RoomScenario, strategy: RoomStrategy, seeds: u64) -> Vec<RoomOutcome> {
    let run = |seed| RoomSimulation::new(scenario, strategy, seed).run();
    let of_thread = |first: u64| (first..seeds).step_by(THREADS as usize).map(run).collect();
    thread::scope(|scope| {
        let threads = (0..THREADS).map(|first| scope.spawn(move || of_thread(first)));
        let threads: Vec<thread::ScopedJoinHandle<'_, Vec<RoomOutcome>>> = threads.collect();
        let joined = threads.into_iter().map(|it| it.join());
        joined
            .flat_map(|it| it.expect("an emulation does not panic"))
            .collect()
    })
}

/// Returns the mean of `value` over the seeds.
fn mean(case: &RoomCase, value: impl Fn(&RoomOutcome) -> f64) -> f64 {
    let sum: f64 = case.outcomes.iter().map(value).sum();
    sum / case.outcomes.len().max(1) as f64
}

fn row(case: &RoomCase) -> String {
    let value = mean(case, |it| it.value(|_| true));
    let by_kind = (0..PODBOR_KINDS.len())
        .map(|kind| format!("{:.3}", mean(case, |it| it.value(|it| it.kind == kind))));
    let by_kind: Vec<String> = by_kind.collect();
    let by_fifth = (0..5).map(|fifth| {
        let on_time = |outcome: &RoomOutcome| {
            let bounds = outcome.fifths();
            let fifth_of = |tokens| bounds.iter().filter(|it| tokens >= **it).count();
            outcome.on_time(|it| fifth_of(it.prompt_tokens) == fifth)
        };
        format!("{:.3}", mean(case, on_time))
    });
    let by_fifth: Vec<String> = by_fifth.collect();
    let quantiles = [0.5, 0.95, 0.99];
    let times = (0..3).map(|idx| {
        let time = |it: &RoomOutcome| it.first_event_ms(quantiles, |_| true)[idx] as f64;
        format!("{:.0}", mean(case, time))
    });
    let times: Vec<String> = times.collect();
    format!(
        "| {:?} | {} | {value:.4} | {} | {} | {} | {:.3} | {:.4} |",
        case.pattern,
        case.strategy.name,
        by_kind.join(" "),
        by_fifth.join(" "),
        times.join("/"),
        mean(case, RoomOutcome::worst_second),
        mean(case, RoomOutcome::refused_again),
    )
}

/// Writes `target/bench/room.svg`: a line for each strategy, with its value by pattern.
fn plot(cases: &[RoomCase]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new("target/bench/room.svg", (800, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .build_cartesian_2d(0..RoomPattern::ALL.len() - 1, 0.0..1.0)?;
    for (idx, strategy) in RoomStrategy::ALL.iter().enumerate() {
        let of_strategy = cases.iter().filter(|it| it.strategy.name == strategy.name);
        let position = |it: &RoomCase| RoomPattern::ALL.iter().position(|p| *p == it.pattern);
        let points = of_strategy.filter_map(|it| {
            let value = mean(it, |outcome| outcome.value(|_| true));
            Some((position(it)?, value))
        });
        chart.draw_series(LineSeries::new(points, &Palette99::pick(idx)))?;
    }
    area.present()?;
    Ok(())
}

/// Header of the table of times to the first event beside long prompts.
const BESIDE_HEADER: &str = "| prompt tokens | first event ms, no long prompt before it | one | two |\n| --- | --- | --- | --- |";

/// Header of the table of results.
const HEADER: &str = "| pattern | strategy | value | value by kind | in objective by fifth of prompt size | first event p50/p95/p99 ms | worst second | refused again |\n| --- | --- | --- | --- | --- | --- | --- | --- |";

/// Seeds of each pattern and strategy.
const DEFAULT_SEEDS: u64 = 50;

/// Threads that run seeds; other work on the machine goes on.
const THREADS: u64 = 3;
