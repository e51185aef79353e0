//! Gives statements to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use serde_json::{Value, json};

/// Time for an answer beyond the time that the operator asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Gives statements to one entry.
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

    /// Gives `text` under `id` and waits at most `wait` until it is in force everywhere.
    pub(crate) fn give(&self, text: &str, id: &str, wait: Duration) -> anyhow::Result<Value> {
        let wait_ms = wait.as_millis() as u64;
        let body = json!({ "command": text, "id": id, "wait_ms": wait_ms });
        let mut response = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(wait + ANSWER_TIMEOUT))
            .build()
            .header("authorization", &self.authorization)
            .send(body.to_string())?;
        let answer = response.body_mut().read_to_string()?;
        serde_json::from_str(&answer).with_context(|| format!("the answer is not JSON: {answer:?}"))
    }
}
