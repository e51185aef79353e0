//! Tasks of developers: the demo and the benches, as `cargo xtask NAME [FLAGS]`.
//!
//! They start `fulmarline` as real processes among the stand-ins of `standin`. Nothing here is shipped.

mod bench_control;
mod bench_control_report;
mod bench_control_sample;
mod bench_requests;
mod bench_spread;
mod capacity;
mod demo;
mod task;

use std::ffi::OsString;
use std::process::ExitCode;

use task::Task;

/// Every task; a bench adds its own line.
const TASKS: &[Task] = &[
    Task {
        name: &["demo"],
        about: "runs the whole system among stand-ins and checks what it promises",
        run: demo::run,
    },
    Task {
        name: &["bench", "spread"],
        about: "measures the spread of weights against baselines and the lower bound",
        run: bench_spread::run,
    },
    Task {
        name: &["bench", "requests"],
        about: "measures requests under load and faults, with baselines in the same run",
        run: bench_requests::run,
    },
    Task {
        name: &["bench", "control"],
        about: "measures control at growing sizes; a number limits it to the smallest ones",
        run: bench_control::run,
    },
    Task {
        name: &["capacity"],
        about: "fills the tables of docs/CAPACITY.md from the control bench",
        run: capacity::run,
    },
];

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    let Some((task, flags)) = task::find(TASKS, &args) else {
        eprint!("{}", task::usage(TASKS));
        return ExitCode::from(BAD_ARGUMENTS);
    };
    match (task.run)(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Exit code of a task that does not exist.
const BAD_ARGUMENTS: u8 = 2;
