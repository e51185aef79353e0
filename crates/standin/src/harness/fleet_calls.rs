//! What an operator asks of a fleet, and what tests wait for.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use httpio::Request;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::harness::fleet_settings::OPERATOR_TOKEN;
use crate::harness::process_fleet::ProcessFleet;

/// What an operator's command was answered.
#[derive(Clone, Debug, Deserialize)]
pub struct CommandResponse {
    /// Number of the result.
    pub code: u16,
    /// Name of the result.
    pub name: String,
    /// Explanation.
    #[serde(default)]
    pub message: String,
    /// Everything that was answered.
    #[serde(skip)]
    pub body: Value,
}

impl ProcessFleet {
    /// Gives an operator's command through the entry `entry`.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends without an answer.
    pub fn command(&self, entry: &str, text: &str, id: &str) -> anyhow::Result<CommandResponse> {
        let body = json!({ "command": text, "id": id }).to_string();
        let body = self.operator_call(entry, "POST", "/v1/command", body)?;
        let mut reply: CommandResponse = serde_json::from_value(body.clone())
            .with_context(|| format!("{text:?} was answered with {body}"))?;
        reply.body = body;
        Ok(reply)
    }

    /// Gives a command until it is accepted, with the same id each time.
    ///
    /// # Errors
    ///
    /// Fails when it was not accepted within `timeout`.
    pub fn command_until_accepted(
        &self,
        entry: &str,
        text: &str,
        id: &str,
        timeout: Duration,
    ) -> anyhow::Result<CommandResponse> {
        let start = Instant::now();
        loop {
            let last = match self.command(entry, text, id) {
                Ok(reply) if reply.code == 0 => return Ok(reply),
                Ok(reply) => format!("{} {}: {}", reply.code, reply.name, reply.message),
                Err(err) => format!("{err:#}"),
            };
            if start.elapsed() > timeout {
                bail!("{text:?} was not accepted in {timeout:?}: {last}");
            }
            std::thread::sleep(POLL);
        }
    }

    /// Gives a command as [`ProcessFleet::command`] does and waits at most `wait` until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends without an answer.
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

    /// Returns the dump of the state of the process on host `name`.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn state(&self, name: &str) -> anyhow::Result<Value> {
        self.operator_call(name, "GET", "/debug/state", String::new())
    }

    /// Waits until `probe` returns something.
    ///
    /// # Errors
    ///
    /// Fails after `timeout`, naming `what` was waited for.
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
                bail!("waited {timeout:?} in vain for {what}");
            }
            std::thread::sleep(POLL);
        }
    }

    /// Tells whether every engine but those on `except` serves the version `label`.
    pub fn all_engines_serve(&self, label: &str, except: &[&str]) -> bool {
        let Some(manifest) = self.manifests.get(label) else {
            return false;
        };
        let wanted = Some(manifest.version());
        let mut engines = self.engines.iter();
        engines.all(|(host, it)| except.contains(&host.as_str()) || it.serving() == wanted)
    }

    /// Tells whether every entry lists all entries as ready for callers and knows `targets` open targets.
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
            let reply = tokio::time::timeout(CALL_TIMEOUT, client.send(address, request)).await??;
            let response = reply.read(client, MAX_ANSWER_BYTES, CALL_TIMEOUT).await?;
            Ok(serde_json::from_slice(response.body())?)
        })
    }
}

/// Longest wait for an operator's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer to an operator, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);
