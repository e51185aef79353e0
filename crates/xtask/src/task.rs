//! The list of tasks.

use std::ffi::OsString;
use std::fmt::Write;

/// One task of `cargo xtask`.
#[derive(Debug)]
pub(crate) struct Task {
    /// The words that call it, such as `bench spread`.
    pub(crate) name: &'static [&'static str],
    /// One line of help.
    pub(crate) about: &'static str,
    /// Runs it with the flags after its name; an error makes the exit code 1.
    pub(crate) run: fn(Vec<OsString>) -> anyhow::Result<()>,
}

/// Finds the task that `args` begin with and returns it with the rest of them.
pub(crate) fn find<'a>(tasks: &'a [Task], args: &[OsString]) -> Option<(&'a Task, Vec<OsString>)> {
    let task = tasks.iter().find(|task| {
        let words = args.iter().take(task.name.len());
        words.eq(task.name.iter())
    })?;
    Some((task, args[task.name.len()..].to_vec()))
}

/// Returns the list of tasks for people.
pub(crate) fn usage(tasks: &[Task]) -> String {
    let mut text = String::from("usage: cargo xtask TASK [FLAGS]\n\ntasks:\n");
    for task in tasks {
        let name = task.name.join(" ");
        let _ = writeln!(text, "  {name:<16} {}", task.about);
    }
    text
}
