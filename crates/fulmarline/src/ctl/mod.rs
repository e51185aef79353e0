//! `fulmarline ctl`: the operators' client of the query and command language.
//!
//! It gives texts to an entry and shows the answers; the entry parses and decides. See `docs/COMMANDS.md`.

mod command_client;
mod completion;
mod output;
mod prompt;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;

use crate::command_line::Ctl;
use crate::ctl::command_client::CommandClient;
use crate::exit_status::ExitStatus;

/// Environment variable that names the file with the operator's token.
const TOKEN_FILE_VARIABLE: &str = "FULMARLINE_TOKEN_FILE";

/// How statements are given and shown.
#[derive(Clone, Debug)]
struct CtlOptions {
    json: bool,
    wait: Duration,
    /// Id of the only statement, so that an operator can repeat one whose outcome is not known.
    id: Option<String>,
}

/// Runs the client as `line` says.
pub(crate) fn run(line: &Ctl) -> ExitStatus {
    if let Some(shell) = &line.completion {
        return completion::print(shell);
    }
    match start(line) {
        Ok(status) => status,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::BadInput
        }
    }
}

fn start(line: &Ctl) -> anyhow::Result<ExitStatus> {
    let entry = line
        .entry
        .as_deref()
        .context("--entry IP:PORT is required")?;
    let entry: SocketAddr = entry
        .parse()
        .with_context(|| format!("{entry:?} is not an address of the form IP:PORT"))?;
    let client = CommandClient::new(entry, &read_token(line.token_file.as_deref())?);
    let options = CtlOptions {
        json: line.json,
        wait: line.wait.map_or(Duration::ZERO, Duration::from_secs),
        id: line.id.clone(),
    };
    if let Some(text) = &line.execute {
        return Ok(give(&client, text, &options));
    }
    if let Some(file) = &line.file {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        return Ok(give_lines(&client, &text, &options));
    }
    prompt::run(&client, &options)
}

/// Gives one statement and shows its answer.
fn give(client: &CommandClient, text: &str, options: &CtlOptions) -> ExitStatus {
    let id = options
        .id
        .clone()
        .unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>()));
    match client.give(text, &id, options.wait) {
        Ok(answer) => output::show(text, &answer, options.json),
        Err(err) => {
            eprintln!(
                "no answer: {err:#}; a command may have been accepted, repeat it with --id {id}"
            );
            ExitStatus::Unknown
        }
    }
}

/// Gives each line that is neither empty nor a comment, and stops at the first that fails.
fn give_lines(client: &CommandClient, text: &str, options: &CtlOptions) -> ExitStatus {
    let lines = text.lines().map(str::trim);
    for line in lines.filter(|it| !it.is_empty() && !it.starts_with('#')) {
        let status = give(client, line, options);
        if status != ExitStatus::Done {
            eprintln!("stopped at: {line}");
            return status;
        }
    }
    ExitStatus::Done
}

fn read_token(file: Option<&Path>) -> anyhow::Result<String> {
    let variable = || std::env::var_os(TOKEN_FILE_VARIABLE).map(PathBuf::from);
    let file = file.map(Path::to_path_buf).or_else(variable);
    let file = file.with_context(|| {
        format!("the operator's token is required: --token-file FILE or {TOKEN_FILE_VARIABLE}")
    })?;
    let token = std::fs::read_to_string(&file)
        .with_context(|| format!("cannot read {}", file.display()))?;
    Ok(token.trim().to_string())
}
