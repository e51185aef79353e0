//! Operator requests to a fleet and conditions to wait for in tests.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use httpio::Request;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::harness::fleet_settings::OPERATOR_TOKEN;
use crate::harness::process_fleet::ProcessFleet;

/// The response to an operator's command.
#[derive(Clone, Debug, Deserialize)]
pub struct CommandResponse {
    /// Numeric result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Explanation of the result.
    #[serde(default)]
    pub message: String,
    /// The complete response body.
    #[serde(skip)]
    pub body: Value,
}

impl ProcessFleet {
    /// Sends a command to the entry on host `entry`.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives.
    pub fn command(&self, entry: &str, text: &str, id: &str) -> anyhow::Result<CommandResponse> {
        let body = json!({ "command": text, "id": id }).to_string();
        let body = self.operator_call(entry, "POST", "/v1/command", body)?;
        let mut response: CommandResponse = serde_json::from_value(body.clone())
            .with_context(|| format!("unexpected response to {text:?}: {body}"))?;
        response.body = body;
        Ok(response)
    }

    /// Retries a command with the same ID until it is accepted.
    ///
    /// # Errors
    ///
    /// Fails if the command was not accepted within `timeout`.
    pub fn command_until_accepted(
        &self,
        entry: &str,
        text: &str,
        id: &str,
        timeout: Duration,
    ) -> anyhow::Result<CommandResponse> {
        let start = Instant::now();
        loop {
            let last_error = match self.command(entry, text, id) {
                Ok(response) if response.code == 0 => return Ok(response),
                Ok(response) => {
                    format!("{} {}: {}", response.code, response.name, response.message)
                }
                Err(err) => format!("{err:#}"),
            };
            if start.elapsed() > timeout {
                bail!("{text:?} was not accepted in {timeout:?}: {last_error}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a command like [`ProcessFleet::command`] and waits at most `wait` until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives.
    pub fn command_in_force(
        &self,
        entry: &str,
        text: &str,
        id: &str,
        wait: Duration,
    ) -> anyhow::Result<Value> {
        let wait_ms = wait.as_millis() as u64;
        let body = json!({ "command": text, "id": id, "wait_ms": wait_ms }).to_string();
        self.operator_call(entry, "POST", "/v1/command", body)
    }

    /// Returns the debug state of the process on host `name`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not respond.
    pub fn state(&self, name: &str) -> anyhow::Result<Value> {
        self.operator_call(name, "GET", "/debug/state", String::new())
    }

    /// Polls `probe` until it returns a value.
    ///
    /// # Errors
    ///
    /// Fails after `timeout` with an error that mentions `what` and has the states of all processes.
    pub fn wait_for<T>(
        &self,
        what: &str,
        timeout: Duration,
        mut probe: impl FnMut(&Self) -> Option<T>,
    ) -> anyhow::Result<T> {
        let start = Instant::now();
        loop {
            if let Some(it) = probe(self) {
                return Ok(it);
            }
            if start.elapsed() > timeout {
                let states = self.describe_states();
                bail!("timed out after {timeout:?} waiting for {what}\n{states}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the debug state of each process, or why it has none, in a line of its own.
    fn describe_states(&self) -> String {
        let names = self.process_names().into_iter();
        let lines = names.map(|name| match self.state(&name) {
            Ok(state) => format!("{name}: {state}"),
            Err(err) => format!("{name}: {err:#}"),
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Returns whether all engines, except those on the hosts in `except`, serve the version `label`.
    pub fn all_engines_serve(&self, label: &str, except: &[&str]) -> bool {
        let Some(manifest) = self.manifests.get(label) else {
            return false;
        };
        let expected = Some(manifest.version());
        let mut engines = self.engines.iter();
        engines.all(|(host, it)| except.contains(&host.as_str()) || it.serving() == expected)
    }

    /// Returns whether every entry responds and reports at least `targets` targets with the state `open`.
    pub fn entries_see_targets(&self, targets: usize) -> bool {
        let mut entries = self.processes.iter().filter(|(_, it)| it.role == "entry");
        entries.all(|(name, _)| {
            let Ok(state) = self.state(name) else {
                return false;
            };
            let rows = state["targets"].as_array().map_or(&[][..], Vec::as_slice);
            let open = rows.iter().filter(|it| it["row"]["state"] == "open");
            open.count() >= targets
        })
    }

    fn operator_call(
        &self,
        name: &str,
        method: &str,
        path: &str,
        body: String,
    ) -> anyhow::Result<Value> {
        let address = self
            .processes
            .get(name)
            .context("no such process")?
            .operators;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .header("content-type", "application/json")
            .body(httpio::full(body))?;
        let client = &self.client;
        self.runtime.block_on(async move {
            let pooled_response =
                tokio::time::timeout(CALL_TIMEOUT, client.send(address, request)).await??;
            let response = pooled_response
                .read(client, MAX_RESPONSE_BYTES, CALL_TIMEOUT)
                .await?;
            Ok(serde_json::from_slice(response.body())?)
        })
    }
}

/// Timeout of an operator request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response to an operator, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
