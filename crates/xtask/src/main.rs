//! Developer tasks: the demo and the benchmarks, run as `cargo xtask TASK [FLAGS]`.
//!
//! The tasks run `fulmarline` as real processes against the stand-ins of the `standin` crate. Nothing here is shipped.

mod bench_cold;
mod bench_control;
mod bench_control_report;
mod bench_control_sample;
mod bench_crashes;
mod bench_feeds;
mod bench_limits;
mod bench_requests;
mod bench_room;
mod bench_spread;
mod bench_versions;
mod capacity;
mod demo;
mod task;

use std::ffi::OsString;
use std::process::ExitCode;

use task::Task;

/// All tasks.
const TASKS: &[Task] = &[
    Task {
        name: &["demo"],
        summary: "runs the whole system against stand-ins and checks its guarantees",
        run: demo::run,
    },
    Task {
        name: &["bench", "spread"],
        summary: "measures weight distribution against baselines and a lower bound",
        run: bench_spread::run,
    },
    Task {
        name: &["bench", "requests"],
        summary: "measures requests under load and faults, with baselines in the same run",
        run: bench_requests::run,
    },
    Task {
        name: &["bench", "crashes"],
        summary: "emulates requests that crash replicas; a number N runs N seeds of each scenario",
        run: bench_crashes::run,
    },
    Task {
        name: &["bench", "feeds"],
        summary: "emulates entries that follow the configuration over thin links; N runs N seeds, a second word only the cases that begin so",
        run: bench_feeds::run,
    },
    Task {
        name: &["bench", "limits"],
        summary: "emulates requests at replicas that name limits; N runs N seeds, a second word only the cases that begin so",
        run: bench_limits::run,
    },
    Task {
        name: &["bench", "cold"],
        summary: "emulates requests at cold replicas; N runs N seeds, a second word only the cases that begin so",
        run: bench_cold::run,
    },
    Task {
        name: &["bench", "room"],
        summary: "emulates more requests than replicas can serve in time; --seeds N runs N seeds, a word only the patterns that begin so",
        run: bench_room::run,
    },
    Task {
        name: &["bench", "versions"],
        summary: "emulates entries that learn of declared weights; N runs N seeds, a second word only the cases that begin so",
        run: bench_versions::run,
    },
    Task {
        name: &["bench", "control"],
        summary: "measures the control plane at growing fleet sizes; a number N runs only the N smallest sizes",
        run: bench_control::run,
    },
    Task {
        name: &["capacity"],
        summary: "updates the tables of docs/CAPACITY.md from the results of the control benchmark",
        run: capacity::run,
    },
];

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    let Some((task, flags)) = task::find(TASKS, &args) else {
        eprint!("{}", task::usage(TASKS));
        return ExitCode::from(USAGE_ERROR);
    };
    match (task.run)(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Exit code when the arguments do not name a task.
const USAGE_ERROR: u8 = 2;
