//! Tasks of developers: the demo and the benches, as `cargo xtask NAME [FLAGS]`.
//!
//! They start `fulmarline` as real processes among the stand-ins of `standin`. Nothing here is shipped.

mod bench_spread;
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
