//! Incremental verification of a streamed response.

use std::time::{Duration, Instant};

use model::VersionDigest;
use serde::Deserialize;

use crate::engine::DeterministicResponse;
use crate::load::call_outcome::CallOutcome;

/// Compares a stream with the deterministic response of a version to a prompt.
#[derive(Debug)]
pub(crate) struct StreamCheck {
    version: VersionDigest,
    expected: DeterministicResponse,
    expected_tokens: usize,
    next_index: usize,
    saw_finish_reason: bool,
    saw_done: bool,
    error: Option<u16>,
    first_fault: Option<CallOutcome>,
    is_error_event: bool,
    buffer: Vec<u8>,
    last_token: Option<Instant>,
    pub(crate) first_token: Option<Instant>,
    pub(crate) token_gaps: Vec<Duration>,
}

#[derive(Deserialize)]
struct TokenEvent {
    index: usize,
    version: VersionDigest,
    choices: Vec<TokenChoice>,
}

#[derive(Deserialize)]
struct TokenChoice {
    text: Option<String>,
    delta: Option<TokenDelta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct TokenDelta {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct ErrorEvent {
    code: u16,
}

impl StreamCheck {
    /// Creates a check for a response of `version` to `prompt` with `expected_tokens` tokens.
    pub(crate) fn new(version: VersionDigest, prompt: &str, expected_tokens: usize) -> Self {
        Self {
            version,
            expected: DeterministicResponse::new(version, prompt),
            expected_tokens,
            next_index: 0,
            saw_finish_reason: false,
            saw_done: false,
            error: None,
            first_fault: None,
            is_error_event: false,
            buffer: Vec::new(),
            last_token: None,
            first_token: None,
            token_gaps: Vec::new(),
        }
    }

    /// Processes bytes received at `now`.
    pub(crate) fn feed(&mut self, bytes: &[u8], now: Instant) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|it| *it == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            self.process_line(&line, now);
        }
    }

    /// Returns the outcome of the stream. `connection_error` is the error with which the body ended, if any.
    pub(crate) fn into_outcome(self, connection_error: Option<String>) -> CallOutcome {
        if let Some(first_fault) = self.first_fault {
            return first_fault;
        }
        if let Some(code) = self.error {
            return match self.saw_done {
                true => CallOutcome::Incorrect(
                    "the stream contains both an error event and an end event".to_owned(),
                ),
                false => CallOutcome::EndedWithError(code),
            };
        }
        if !self.saw_done {
            let reason = connection_error
                .unwrap_or_else(|| "the body ended without an end event".to_owned());
            return CallOutcome::Truncated(format!("after {} tokens: {reason}", self.next_index));
        }
        if !self.saw_finish_reason || self.next_index != self.expected_tokens {
            return CallOutcome::Incorrect(format!(
                "received {} of {} tokens",
                self.next_index, self.expected_tokens
            ));
        }
        CallOutcome::Correct
    }

    fn process_line(&mut self, line: &str, now: Instant) {
        if let Some(event) = line.strip_prefix("event:") {
            self.is_error_event = event.trim() == "error";
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return;
        };
        if self.saw_done {
            self.set_incorrect("data after the end event".to_owned());
        } else if data == "[DONE]" {
            self.saw_done = true;
        } else if self.is_error_event {
            let code = serde_json::from_str::<ErrorEvent>(data).map_or(0, |it| it.code);
            self.error = Some(code);
        } else {
            match serde_json::from_str::<TokenEvent>(data) {
                Ok(event) => self.process_token(event, now),
                Err(err) => self.set_incorrect(format!("cannot parse an event: {err}")),
            }
        }
    }

    fn process_token(&mut self, event: TokenEvent, now: Instant) {
        if event.version != self.version {
            let versions = format!(
                "token of version {} in a response of version {}",
                event.version, self.version
            );
            self.first_fault
                .get_or_insert(CallOutcome::MixedVersions(versions));
            return;
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return self.set_incorrect("event without a choice".to_owned());
        };
        let is_last = choice.finish_reason.is_some();
        let text = choice.text.or(choice.delta.map(|it| it.content));
        let text = text.unwrap_or_default();
        if text.is_empty() && is_last && event.index >= self.expected_tokens {
            self.saw_finish_reason = true;
            return;
        }
        if event.index != self.next_index || text != self.expected.token(self.next_index) {
            let index = event.index;
            let expected = self.next_index;
            return self.set_incorrect(format!(
                "received token {index} {text:?}, expected token {expected}"
            ));
        }
        self.next_index += 1;
        self.saw_finish_reason |= is_last;
        self.first_token.get_or_insert(now);
        if let Some(last) = self.last_token {
            self.token_gaps.push(now - last);
        }
        self.last_token = Some(now);
    }

    fn set_incorrect(&mut self, reason: String) {
        self.first_fault
            .get_or_insert(CallOutcome::Incorrect(reason));
    }
}
