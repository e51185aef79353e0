//! Decoder for the server-sent events of an engine.

use bytes::{Bytes, BytesMut};
use model::VersionDigest;
use serde::Deserialize;

/// One event of a streamed response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token; `raw` is the unmodified event.
    Token {
        raw: Bytes,
        index: u64,
        version: VersionDigest,
        is_last: bool,
    },
    /// The end-of-stream marker.
    Done(Bytes),
    /// Data that is not a valid event of the engine's API.
    Malformed,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventDecoder {
    buffer: BytesMut,
}

#[derive(Deserialize)]
struct TokenData {
    index: u64,
    version: VersionDigest,
    choices: Vec<TokenChoice>,
}

#[derive(Deserialize)]
struct TokenChoice {
    finish_reason: Option<String>,
}

impl EventDecoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` until more data arrives.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(2).position(|it| it == EVENT_END);
        let Some(end) = end else {
            return (self.buffer.len() > MAX_EVENT_BYTES).then_some(StreamEvent::Malformed);
        };
        let raw = self.buffer.split_to(end + EVENT_END.len()).freeze();
        Some(parse_event(raw))
    }
}

fn parse_event(raw: Bytes) -> StreamEvent {
    let data = raw.strip_prefix(b"data: ").map(<[u8]>::trim_ascii_end);
    let Some(data) = data else {
        return StreamEvent::Malformed;
    };
    if data == b"[DONE]" {
        return StreamEvent::Done(raw);
    }
    match serde_json::from_slice::<TokenData>(data) {
        Ok(token) => StreamEvent::Token {
            index: token.index,
            version: token.version,
            is_last: token.choices.iter().any(|it| it.finish_reason.is_some()),
            raw,
        },
        Err(_) => StreamEvent::Malformed,
    }
}

/// Delimiter between events.
const EVENT_END: &[u8] = b"\n\n";

/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
