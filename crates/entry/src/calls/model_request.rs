//! The fields of a model request that decide how it is routed.

use std::borrow::Cow;

use model::ModelName;
use serde::Deserialize;

/// What an entry reads of a model request; the engine reads the rest.
#[derive(Debug, Deserialize)]
pub(crate) struct ModelRequest<'a> {
    pub(crate) model: ModelName,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default, borrow)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    messages: Vec<ChatMessage<'a>>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

impl ModelRequest<'_> {
    /// Returns the digest of the start of the prompt, by which replicas with a warm cache are found.
    pub(crate) fn prefix_digest(&self) -> Option<u64> {
        let first_message = self
            .messages
            .first()
            .and_then(|it| it.content.as_deref());
        let text = self.prompt.as_deref().or(first_message)?;
        if text.len() < PREFIX_BYTES {
            return None;
        }
        let digest = blake3::hash(&text.as_bytes()[..PREFIX_BYTES]);
        let (head, _) = digest.as_bytes().split_first_chunk::<8>()?;
        Some(u64::from_le_bytes(*head))
    }

    /// Returns the tokens that the request may produce.
    pub(crate) fn estimated_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// Start of a prompt that has to be equal; shorter prompts save too little to be routed by.
const PREFIX_BYTES: usize = 128;

/// Tokens that a request which names no number is taken to produce.
const DEFAULT_MAX_TOKENS: u32 = 256;
