//! HTTP client for the command endpoint of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};

/// Timeout for a response, added to the time that the operator chose to wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends statements to one entry.
#[derive(Debug)]
pub(crate) struct CommandClient {
    agent: ureq::Agent,
    url: String,
    authorization: String,
}

impl CommandClient {
    pub(crate) fn new(entry: SocketAddr, token: &str) -> Self {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        Self {
            agent: config.build().into(),
            url: format!("http://{entry}/v1/command"),
            authorization: format!("Bearer {token}"),
        }
    }

    /// Executes `statement` with the command id `id`. The entry waits up to `wait` for a command to be in force on
    /// every host.
    pub(crate) fn execute(
        &self,
        statement: &str,
        id: &str,
        wait: Duration,
    ) -> anyhow::Result<Value> {
        let wait_ms = wait.as_millis() as u64;
        let body = json!({ "command": statement, "id": id, "wait_ms": wait_ms });
        let mut response = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(wait + RESPONSE_TIMEOUT))
            .build()
            .header("authorization", &self.authorization)
            .send(body.to_string())?;
        let response_text = response.body_mut().read_to_string()?;
        serde_json::from_str(&response_text)
            .with_context(|| format!("the response is not JSON: {response_text:?}"))
    }
}
