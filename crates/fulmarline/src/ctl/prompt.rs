//! The prompt, with history.

use std::path::PathBuf;

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use crate::ctl::command_client::CommandClient;
use crate::ctl::{CtlOptions, give};
use crate::exit_status::ExitStatus;

/// Reads and gives statements until the input ends; the status is that of the last one.
pub(crate) fn run(client: &CommandClient, options: &CtlOptions) -> anyhow::Result<ExitStatus> {
    let mut editor = DefaultEditor::new()?;
    let history = std::env::var_os("HOME").map(|it| PathBuf::from(it).join(HISTORY_FILE));
    if let Some(file) = &history {
        // There is no history before the first use.
        let _ = editor.load_history(file);
    }
    let mut status = ExitStatus::Done;
    loop {
        match editor.readline("fulmarline> ") {
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) if matches!(line.trim(), "exit" | "quit") => break,
            Ok(line) => {
                editor.add_history_entry(&line)?;
                status = give(client, line.trim(), options);
            }
            Err(ReadlineError::Interrupted) => {}
            Err(ReadlineError::Eof) => break,
            Err(err) => return Err(err.into()),
        }
    }
    if let Some(file) = &history
        && let Err(err) = editor.save_history(file)
    {
        eprintln!("the history was not saved: {err}");
    }
    Ok(status)
}

/// Name of the history file in the operator's home folder.
const HISTORY_FILE: &str = ".fulmarline_history";
