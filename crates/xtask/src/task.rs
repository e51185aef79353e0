//! Lookup of tasks by their command-line name.

use std::ffi::OsString;
use std::fmt::Write;

/// One task of `cargo xtask`.
#[derive(Debug)]
pub(crate) struct Task {
    /// Leading arguments that select the task, such as `bench spread`.
    pub(crate) name: &'static [&'static str],
    /// One-line description in the usage text.
    pub(crate) summary: &'static str,
    /// Runs the task with the arguments that follow its name. An error results in exit code 1.
    pub(crate) run: fn(Vec<OsString>) -> anyhow::Result<()>,
}

/// Returns the task whose name `args` start with, and the remaining arguments.
pub(crate) fn find<'a>(tasks: &'a [Task], args: &[OsString]) -> Option<(&'a Task, Vec<OsString>)> {
    let task = tasks.iter().find(|task| {
        let leading_args = args.iter().take(task.name.len());
        leading_args.eq(task.name.iter())
    })?;
    Some((task, args[task.name.len()..].to_vec()))
}

/// Returns the usage text, which lists all tasks.
pub(crate) fn usage(tasks: &[Task]) -> String {
    let mut text = String::from("usage: cargo xtask TASK [FLAGS]\n\ntasks:\n");
    for task in tasks {
        let name = task.name.join(" ");
        let _ = writeln!(text, "  {name:<16} {}", task.summary);
    }
    text
}
