//! Interactive prompt with a persistent history.

use std::path::PathBuf;

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use crate::ctl::command_client::CommandClient;
use crate::ctl::{CtlOptions, execute};
use crate::exit_status::ExitStatus;

/// Reads and executes statements until the input ends, and returns the status of the last one.
pub(crate) fn run(client: &CommandClient, options: &CtlOptions) -> anyhow::Result<ExitStatus> {
    let mut editor = DefaultEditor::new()?;
    let history_file = std::env::var_os("HOME").map(|it| PathBuf::from(it).join(HISTORY_FILE));
    if let Some(file) = &history_file {
        // The file does not exist before the first use.
        let _ = editor.load_history(file);
    }
    let mut status = ExitStatus::Success;
    loop {
        match editor.readline("fulmarline> ") {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) if matches!(line.trim(), "exit" | "quit") => break,
            Ok(line) => {
                editor.add_history_entry(&line)?;
                status = execute(client, line.trim(), options);
            }
            Err(ReadlineError::Interrupted) => {}
            Err(ReadlineError::Eof) => break,
            Err(err) => return Err(err.into()),
        }
    }
    if let Some(file) = &history_file
        && let Err(err) = editor.save_history(file)
    {
        eprintln!("cannot save the history: {err}");
    }
    Ok(status)
}

/// Name of the history file in the operator's home directory.
const HISTORY_FILE: &str = ".fulmarline_history";
