//! `fulmarline ctl`: the operators' client for the query and command language.
//!
//! It sends statements to an entry, which parses and executes them, and prints the responses. See `docs/COMMANDS.md`.

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

/// Environment variable with the path of the file that contains the operator's token.
const TOKEN_FILE_VARIABLE: &str = "FULMARLINE_TOKEN_FILE";

/// Options that apply to all statements.
#[derive(Clone, Debug)]
struct CtlOptions {
    json: bool,
    wait: Duration,
    /// Command id, so that an operator can repeat a command whose outcome is unknown. It is meant for a single
    /// statement, since all statements get this id; without it, each one gets a random id.
    id: Option<String>,
}

/// Runs the client with the arguments of the command line.
pub(crate) fn run(args: &Ctl) -> ExitStatus {
    if let Some(shell) = &args.completion {
        return completion::print(shell);
    }
    match try_run(args) {
        Ok(status) => status,
        Err(err) => {
            eprintln!("fulmarline: {err:#}");
            ExitStatus::InvalidInput
        }
    }
}

fn try_run(args: &Ctl) -> anyhow::Result<ExitStatus> {
    let entry = args
        .entry
        .as_deref()
        .context("--entry IP:PORT is required")?;
    let entry: SocketAddr = entry
        .parse()
        .with_context(|| format!("{entry:?} is not an address of the form IP:PORT"))?;
    let client = CommandClient::new(entry, &read_token(args.token_file.as_deref())?);
    let options = CtlOptions {
        json: args.json,
        wait: args.wait.map_or(Duration::ZERO, Duration::from_secs),
        id: args.id.clone(),
    };
    if let Some(text) = &args.execute {
        return Ok(execute(&client, text, &options));
    }
    if let Some(file) = &args.file {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        return Ok(execute_lines(&client, &text, &options));
    }
    prompt::run(&client, &options)
}

/// Executes one statement and prints the response.
fn execute(client: &CommandClient, text: &str, options: &CtlOptions) -> ExitStatus {
    let id = options
        .id
        .clone()
        .unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>()));
    match client.execute(text, &id, options.wait) {
        Ok(response) => output::print_response(text, &response, options.json),
        Err(err) => {
            eprintln!(
                "no response: {err:#}; a command may have been accepted; repeat it with --id {id}"
            );
            ExitStatus::OutcomeUnknown
        }
    }
}

/// Executes each line that is neither empty nor a comment, and stops at the first one that fails.
fn execute_lines(client: &CommandClient, text: &str, options: &CtlOptions) -> ExitStatus {
    let lines = text.lines().map(str::trim);
    for line in lines.filter(|it| !it.is_empty() && !it.starts_with('#')) {
        let status = execute(client, line, options);
        if status != ExitStatus::Success {
            eprintln!("stopped at: {line}");
            return status;
        }
    }
    ExitStatus::Success
}

/// Reads the token from `file` or, without it, from the file that the environment names.
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
