//! Parsing of completion requests.

use httpio::{HttpBody, Incoming, Request, Response, StatusCode};
use serde::Deserialize;

use crate::http_util;

/// A completion or chat completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) request_id: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: usize,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
    pub(crate) priority: u8,
    pub(crate) resume_from: usize,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    prompt: Option<String>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// Number of tokens if the request does not specify `max_tokens`.
const DEFAULT_MAX_TOKENS: usize = 16;

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 5;

impl CompletionRequest {
    /// Parses `request`. Returns the error response if it is malformed.
    pub(crate) async fn read(
        request: Request<Incoming>,
        chat: bool,
    ) -> Result<Self, Box<Response<HttpBody>>> {
        let request_id = http_util::header_text(&request, model::REQUEST_ID_HEADER)
            .unwrap_or("none")
            .to_owned();
        let priority = http_util::header_text(&request, model::PRIORITY_HEADER)
            .and_then(|it| it.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY);
        let resume_from = http_util::header_text(&request, model::RESUME_HEADER)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let body: RequestBody = http_util::read_json(request).await?;
        let prompt = match (body.prompt, body.messages) {
            (Some(prompt), None) if !chat => prompt,
            (None, Some(messages)) if chat => messages.into_iter().map(|it| it.content).collect(),
            _ => {
                let message =
                    "a completion requires `prompt`, a chat completion requires `messages`";
                return Err(Box::new(http_util::text(StatusCode::BAD_REQUEST, message)));
            }
        };
        Ok(Self {
            request_id,
            prompt,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: body.stream,
            chat,
            priority,
            resume_from,
        })
    }
}
