//! Verifies a streamed answer while it arrives.

use std::time::{Duration, Instant};

use model::VersionDigest;
use serde::Deserialize;

use crate::engine::DeterministicAnswer;
use crate::load::call_outcome::CallOutcome;

/// Holds a stream against the one answer that a version gives to a prompt.
#[derive(Debug)]
pub(crate) struct StreamCheck {
    version: VersionDigest,
    script: DeterministicAnswer,
    tokens: usize,
    next: usize,
    finished: bool,
    done: bool,
    error: Option<u16>,
    fault: Option<CallOutcome>,
    event_is_error: bool,
    buffer: Vec<u8>,
    last_token: Option<Instant>,
    pub(crate) first_token: Option<Instant>,
    pub(crate) gaps: Vec<Duration>,
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
    /// Expects `tokens` tokens of `version` as the answer to `prompt`.
    pub(crate) fn new(version: VersionDigest, prompt: &str, tokens: usize) -> Self {
        Self {
            version,
            script: DeterministicAnswer::new(version, prompt),
            tokens,
            next: 0,
            finished: false,
            done: false,
            error: None,
            fault: None,
            event_is_error: false,
            buffer: Vec::new(),
            last_token: None,
            first_token: None,
            gaps: Vec::new(),
        }
    }

    /// Takes the bytes that arrived at `now`.
    pub(crate) fn feed(&mut self, bytes: &[u8], now: Instant) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|it| *it == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            self.line(&line, now);
        }
    }

    /// Returns how the stream ended, where `cut` is the error of a connection that broke off.
    pub(crate) fn end(self, cut: Option<String>) -> CallOutcome {
        if let Some(fault) = self.fault {
            return fault;
        }
        if let Some(code) = self.error {
            return match self.done {
                true => CallOutcome::Incorrect("an error and an end in one stream".to_owned()),
                false => CallOutcome::EndedWithError(code),
            };
        }
        if !self.done {
            let reason = cut.unwrap_or_else(|| "the body ended without an end event".to_owned());
            return CallOutcome::Truncated(format!("after {} tokens: {reason}", self.next));
        }
        if !self.finished || self.next != self.tokens {
            return CallOutcome::Incorrect(format!("{} of {} tokens", self.next, self.tokens));
        }
        CallOutcome::Correct
    }

    fn line(&mut self, line: &str, now: Instant) {
        if let Some(event) = line.strip_prefix("event:") {
            self.event_is_error = event.trim() == "error";
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return;
        };
        if self.done {
            self.wrong("data after the end".to_owned());
        } else if data == "[DONE]" {
            self.done = true;
        } else if self.event_is_error {
            let code = serde_json::from_str::<ErrorEvent>(data).map_or(0, |it| it.code);
            self.error = Some(code);
        } else {
            match serde_json::from_str::<TokenEvent>(data) {
                Ok(event) => self.token(event, now),
                Err(err) => self.wrong(format!("an event cannot be read: {err}")),
            }
        }
    }

    fn token(&mut self, event: TokenEvent, now: Instant) {
        if event.version != self.version {
            let versions = format!("{} in an answer of {}", event.version, self.version);
            self.fault
                .get_or_insert(CallOutcome::MixedVersions(versions));
            return;
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return self.wrong("an event without a choice".to_owned());
        };
        let finished = choice.finish_reason.is_some();
        let text = choice.text.or(choice.delta.map(|it| it.content));
        let text = text.unwrap_or_default();
        if text.is_empty() && finished && event.index >= self.tokens {
            self.finished = true;
            return;
        }
        if event.index != self.next || text != self.script.token(self.next) {
            let index = event.index;
            let expected = self.next;
            return self.wrong(format!("token {index} {text:?} where {expected} is due"));
        }
        self.next += 1;
        self.finished |= finished;
        self.first_token.get_or_insert(now);
        if let Some(last) = self.last_token {
            self.gaps.push(now - last);
        }
        self.last_token = Some(now);
    }

    fn wrong(&mut self, reason: String) {
        self.fault.get_or_insert(CallOutcome::Incorrect(reason));
    }
}
