//! Fields of a model request that are used for routing.

use std::borrow::Cow;

use model::ModelName;
use serde::Deserialize;

/// Subset of a model request that the entry parses; the engine parses the complete request.
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
    /// Returns the digest of the prompt prefix, for routing to replicas that have it cached.
    pub(crate) fn prefix_digest(&self) -> Option<u64> {
        let first_message = self.messages.first().and_then(|it| it.content.as_deref());
        let text = self.prompt.as_deref().or(first_message)?;
        if text.len() < PREFIX_BYTES {
            return None;
        }
        let digest = blake3::hash(&text.as_bytes()[..PREFIX_BYTES]);
        let (head, _) = digest.as_bytes().split_first_chunk::<8>()?;
        Some(u64::from_le_bytes(*head))
    }

    /// Returns the texts that the prompt consists of, which other requests may share.
    pub(crate) fn texts(&self) -> impl Iterator<Item = &str> {
        let messages = self.messages.iter().filter_map(|it| it.content.as_deref());
        self.prompt.as_deref().into_iter().chain(messages)
    }

    /// Returns the number of tokens that the request may generate.
    pub(crate) fn estimated_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1)
    }
}

/// Length of the digested prefix; caching shorter prompts saves too little to affect routing.
const PREFIX_BYTES: usize = 128;

/// Assumed number of generated tokens for requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
