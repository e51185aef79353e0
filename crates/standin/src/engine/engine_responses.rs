//! Response bodies of an engine, in the format of the OpenAI API.

use bytes::Bytes;
use model::VersionDigest;
use serde::Serialize;

use crate::engine::engine_request::CompletionRequest;

#[derive(Serialize)]
struct TokenEvent<'a> {
    id: &'a str,
    object: &'static str,
    index: usize,
    version: VersionDigest,
    choices: [EventChoice<'a>; 1],
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

#[derive(Serialize)]
struct EventChoice<'a> {
    index: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionResponse<'a> {
    id: &'a str,
    object: &'static str,
    version: VersionDigest,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
}

/// The event that ends a complete stream.
pub(crate) const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Returns the server-sent event for the token at `index`, with a field of `padding` bytes.
pub(crate) fn token_event(
    request: &CompletionRequest,
    version: VersionDigest,
    index: usize,
    text: &str,
    last: bool,
    padding: usize,
) -> Bytes {
    let event = TokenEvent {
        id: &request.request_id,
        object: if request.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        },
        index,
        version,
        choices: [EventChoice {
            index: 0,
            text: (!request.chat).then_some(text),
            delta: request.chat.then_some(Delta { content: text }),
            finish_reason: last.then_some("stop"),
        }],
        padding: &"p".repeat(padding),
    };
    let mut bytes = b"data: ".to_vec();
    serde_json::to_writer(&mut bytes, &event).expect("an event is always serializable");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Returns the body of a response that is not streamed.
pub(crate) fn completion_body(
    request: &CompletionRequest,
    version: VersionDigest,
    text: &str,
) -> Bytes {
    let response = CompletionResponse {
        id: &request.request_id,
        object: if request.chat {
            "chat.completion"
        } else {
            "text_completion"
        },
        version,
        choices: [CompletionChoice {
            index: 0,
            text: (!request.chat).then_some(text),
            message: request.chat.then_some(Message {
                role: "assistant",
                content: text,
            }),
            finish_reason: "stop",
        }],
        usage: Usage {
            prompt_tokens: request.prompt.len() / BYTES_PER_TOKEN,
            completion_tokens: request.max_tokens.saturating_sub(request.resume_from),
        },
    };
    serde_json::to_vec(&response)
        .expect("a response is always serializable")
        .into()
}

/// Number of bytes of prompt text that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
